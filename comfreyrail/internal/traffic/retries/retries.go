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
	// Control publishes the state.
	Control *control.Control
	// Budget configures the budget of each pool.
	Budget retry.BudgetConfig
	// Metrics counts the retries that were allowed and denied; nil counts none.
	Metrics metrics.Registry
}

// Budgets holds a retry.Budget for each pool.
type Budgets struct {
	config Config

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// New returns Budgets with full budgets.
func New(config Config) *Budgets {
	return &Budgets{config: config, budgets: make(map[string]*retry.Budget)}
}

// Allow reports whether one more request to the pool may be sent again, and takes it from the budget.
func (r *Budgets) Allow(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	allowed := r.budget(now, pool).Allow(now)
	if r.config.Metrics != nil {
		name := "retries." + pool + ".denied"
		if allowed {
			name = "retries." + pool + ".allowed"
		}
		metrics.GetOrRegisterCounter(name, r.config.Metrics).Inc(1)
	}
	return allowed
}

// Succeeded adds the share of one success to the budget of the pool.
func (r *Budgets) Succeeded(pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(time.Now(), pool).Succeeded()
}

// budget returns the budget of the pool; a new one drops the budgets of pools that are no longer in the tables.
func (r *Budgets) budget(now time.Time, pool string) *retry.Budget {
	held, ok := r.budgets[pool]
	if ok {
		return held
	}
	tables := r.config.Control.Snapshot().Tables
	for name := range r.budgets {
		if _, listed := tables.FindPool(name); !listed {
			delete(r.budgets, name)
		}
	}
	held = retry.NewBudget(now, r.config.Budget)
	r.budgets[pool] = held
	return held
}
