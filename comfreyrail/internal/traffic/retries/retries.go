package retries

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// Config configures Budgets.
type Config struct {
	// Control provides the tables, which list the pools.
	Control *control.Control
	// Budget configures the budget of each pool.
	Budget retry.BudgetConfig
	// Metrics counts the retries that were allowed and denied; nil counts none.
	Metrics metrics.Registry
}

// Budgets holds a retry.Budget for each pool; its methods may be called concurrently.
type Budgets struct {
	config Config

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// New returns Budgets in which the budget of every pool is full.
func New(config Config) *Budgets {
	return &Budgets{config: config, budgets: make(map[string]*retry.Budget)}
}

// Allow reports whether one more retry to the pool is allowed, and if so takes it from the budget.
func (b *Budgets) Allow(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	allowed := b.budget(now, pool).Allow(now)
	if b.config.Metrics != nil {
		name := "retries." + pool + ".denied"
		if allowed {
			name = "retries." + pool + ".allowed"
		}
		metrics.GetOrRegisterCounter(name, b.config.Metrics).Inc(1)
	}
	return allowed
}

// Succeeded records one successful request, which adds Config.Budget.Ratio to the budget of the pool.
func (b *Budgets) Succeeded(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(time.Now(), pool).Succeeded()
}

// budget returns the budget of the pool and creates it if necessary. When it creates one, it removes the budgets of pools
// that are no longer in the tables. The caller holds b.mu.
func (b *Budgets) budget(now time.Time, pool string) *retry.Budget {
	budget, ok := b.budgets[pool]
	if ok {
		return budget
	}
	tables := b.config.Control.Snapshot().Tables
	for name := range b.budgets {
		if _, listed := tables.PoolByName(name); !listed {
			delete(b.budgets, name)
		}
	}
	budget = retry.NewBudget(now, b.config.Budget)
	b.budgets[pool] = budget
	return budget
}
