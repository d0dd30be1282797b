package forward

import (
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// BudgetConfig holds the settings of Budgets.
type BudgetConfig struct {
	// Window limits the retries to each service within a period of time.
	Window retry.WindowBudgetConfig
	// Instances returns the number of instances that share the burst of each budget.
	Instances func() int
}

// Budgets holds a retry.WindowBudget for each service, whereas retries.Budgets of the router mode holds a retry.Budget for each
// pool; its methods may be called concurrently.
type Budgets struct {
	config  BudgetConfig
	mu      sync.Mutex
	budgets map[string]*retry.WindowBudget
}

// NewBudgets returns Budgets without any counted requests.
func NewBudgets(config BudgetConfig) *Budgets {
	return &Budgets{config: config, budgets: make(map[string]*retry.WindowBudget)}
}

func (b *Budgets) budget(service string, now time.Time) *retry.WindowBudget {
	w := b.budgets[service]
	if w == nil {
		w = retry.NewWindowBudget(now, b.config.Window)
		b.budgets[service] = w
	}
	return w
}

// CountRequest adds a request to the service's count, on which the number of allowed retries depends.
func (b *Budgets) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.budget(service, now).CountRequest(now)
}

// Allow reports whether a request to the service may be retried, and if so counts the retry.
func (b *Budgets) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return b.budget(service, now).Allow(now, b.config.Instances())
}

// Refund takes back a retry that Allow has counted, because its request was certainly not sent.
func (b *Budgets) Refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.budget(service, now).Refund(now)
}
