package completion

import (
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// Limits of the attempts that follow one without a new token, for each pool.
const (
	retryShare = 0.2
	retryFloor = 5
	retryBurst = 64
)

// budgets holds the retry budget of each pool; the zero value is ready for use.
type budgets struct {
	mu    sync.Mutex
	pools map[string]*retry.Budget
}

func (b *budgets) pool(now time.Time, name string) *retry.Budget {
	if b.pools == nil {
		b.pools = make(map[string]*retry.Budget)
	}
	held, ok := b.pools[name]
	if !ok {
		held = retry.NewBudget(now, retry.BudgetConfig{Ratio: retryShare, PerSecond: retryFloor, Burst: retryBurst})
		b.pools[name] = held
	}
	return held
}

func (b *budgets) allow(now time.Time, name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool(now, name).Allow(now)
}

func (b *budgets) succeeded(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool(now, name).Succeeded()
}
