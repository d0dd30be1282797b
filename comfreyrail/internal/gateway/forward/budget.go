package forward

import (
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// BudgetConfig configures Budgets.
type BudgetConfig struct {
	// Window bounds the repeats to each service.
	Window retry.WindowConfig
	// Instances returns the number of instances that share a burst.
	Instances func() int
}

// Budgets bounds the repeats to each service.
type Budgets struct {
	config BudgetConfig
	mu     sync.Mutex
	held   map[string]*retry.Window
}

// NewBudgets returns Budgets that have counted nothing.
func NewBudgets(config BudgetConfig) *Budgets {
	return &Budgets{config: config, held: make(map[string]*retry.Window)}
}

func (b *Budgets) window(service string, now time.Time) *retry.Window {
	held := b.held[service]
	if held == nil {
		held = retry.NewWindow(now, b.config.Window)
		b.held[service] = held
	}
	return held
}

// CountRequest takes a request for a service.
func (b *Budgets) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.window(service, now).CountRequest(now)
}

// Allow reports whether a request may be sent once more, and counts it.
func (b *Budgets) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return b.window(service, now).Allow(now, b.config.Instances())
}
