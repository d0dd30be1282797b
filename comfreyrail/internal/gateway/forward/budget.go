package forward

import (
	"sync"
	"time"
)

// BudgetConfig configures Budgets.
type BudgetConfig struct {
	// Ratio is the part of the requests to a service that may be sent once more, over all instances.
	Ratio float64
	// Burst is the number of repeats in a window beyond that, over all instances.
	Burst float64
	// Window is the time over which repeats are counted.
	Window time.Duration
	// Instances returns the number of instances that share the burst.
	Instances func() int
}

// budgetMargin is the part of the burst that one instance uses, so that uneven shares and newcomers stay within it.
const budgetMargin = 0.5

// Budgets bounds the repeats to each service by the requests that this instance took for it.
type Budgets struct {
	config BudgetConfig
	mu     sync.Mutex
	held   map[string]*budget
}

// budget counts the requests and repeats of one service over the present window and the one before.
type budget struct {
	since             time.Time
	requests, repeats float64
	lastRequests      float64
	lastRepeats       float64
}

// NewBudgets returns Budgets that have counted nothing.
func NewBudgets(config BudgetConfig) *Budgets {
	return &Budgets{config: config, held: make(map[string]*budget)}
}

func (b *Budgets) budget(service string, now time.Time) *budget {
	held := b.held[service]
	if held == nil {
		held = &budget{since: now}
		b.held[service] = held
	}
	if passed := now.Sub(held.since); passed >= b.config.Window {
		held.lastRequests, held.lastRepeats = held.requests, held.repeats
		if passed >= 2*b.config.Window {
			held.lastRequests, held.lastRepeats = 0, 0
		}
		held.requests, held.repeats, held.since = 0, 0, now
	}
	return held
}

// Count takes a request for a service.
func (b *Budgets) Count(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service, time.Now()).requests++
}

// Allow reports whether a request may be sent once more, and counts it.
func (b *Budgets) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.budget(service, time.Now())
	most := b.config.Ratio*max(held.requests, held.lastRequests) + budgetMargin*b.config.Burst/float64(max(b.config.Instances(), 1))
	if held.repeats+held.lastRepeats >= most {
		return false
	}
	held.repeats++
	return true
}
