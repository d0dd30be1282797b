package completion

import (
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// Attempt budget of each pool, in addition to the budget of Config.TakeRetry. Only attempts that follow an attempt
// without a new token are counted.
const (
	// attemptRatio is the number of attempts that each successful request adds to the budget.
	attemptRatio = 0.2
	// attemptsPerSecond is the number of attempts that each second adds to the budget.
	attemptsPerSecond = 5
	// attemptBurst is the maximum number of attempts that the budget holds.
	attemptBurst = 64
)

// attemptBudgets holds the attempt budget of each pool. The zero value is ready for use; allow and succeeded may be
// called concurrently.
type attemptBudgets struct {
	mu     sync.Mutex
	byPool map[string]*retry.Budget
}

// budget returns the budget of the pool and creates it if necessary. The caller holds b.mu.
func (b *attemptBudgets) budget(now time.Time, pool string) *retry.Budget {
	if b.byPool == nil {
		b.byPool = make(map[string]*retry.Budget)
	}
	budget, ok := b.byPool[pool]
	if !ok {
		budget = retry.NewBudget(now, retry.BudgetConfig{Ratio: attemptRatio, PerSecond: attemptsPerSecond, Burst: attemptBurst})
		b.byPool[pool] = budget
	}
	return budget
}

// allow reports whether the pool's budget allows one more attempt, and if so takes it from the budget.
func (b *attemptBudgets) allow(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(now, pool).Allow(now)
}

// succeeded adds attemptRatio to the budget of the pool.
func (b *attemptBudgets) succeeded(now time.Time, pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(now, pool).Succeeded()
}
