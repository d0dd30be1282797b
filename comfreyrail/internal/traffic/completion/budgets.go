package completion

import (
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// Retry budget of each pool. Only attempts that follow an attempt without a new token are counted.
const (
	// retryRatio is the number of attempts that each successful request adds to the budget.
	retryRatio = 0.2
	// retryPerSecond is the number of attempts that each second adds to the budget.
	retryPerSecond = 5
	// retryBurst is the greatest number of attempts that the budget holds.
	retryBurst = 64
)

// budgets holds the retry budget of each pool. The zero value is ready for use, also concurrently.
type budgets struct {
	mu     sync.Mutex
	byPool map[string]*retry.Budget
}

// budget returns the budget of the pool and creates it if necessary. The caller holds b.mu.
func (b *budgets) budget(now time.Time, pool string) *retry.Budget {
	if b.byPool == nil {
		b.byPool = make(map[string]*retry.Budget)
	}
	budget, ok := b.byPool[pool]
	if !ok {
		budget = retry.NewBudget(now, retry.BudgetConfig{Ratio: retryRatio, PerSecond: retryPerSecond, Burst: retryBurst})
		b.byPool[pool] = budget
	}
	return budget
}

// allow reports whether the pool's budget permits one more attempt, and if so takes it from the budget.
func (b *budgets) allow(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(now, pool).Allow(now)
}

// succeeded adds retryRatio to the budget of the pool.
func (b *budgets) succeeded(now time.Time, pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(now, pool).Succeeded()
}
