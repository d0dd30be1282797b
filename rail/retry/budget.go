package retry

import "time"

// Defaults of a BudgetConfig.
const (
	defaultShare = 0.1
	defaultFloor = 0.5
	defaultBurst = 10.0
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Ratio is the number of retries that each success earns; zero means 0.1.
	Ratio float64
	// PerSecond is the number of retries that each second earns; zero means 0.5.
	PerSecond float64
	// Burst is the greatest number of retries that are saved up; zero means 10.
	Burst float64
}

// Budget bounds the retries of one pool to a share of its successes; it is not safe for concurrent use.
//
// Over any time it allows at most Ratio * successes + PerSecond * seconds + Burst retries.
type Budget struct {
	config BudgetConfig
	saved  float64
	at     time.Time
}

// NewBudget returns a Budget that has saved up the burst at the time.
func NewBudget(now time.Time, config BudgetConfig) *Budget {
	if config.Ratio == 0 {
		config.Ratio = defaultShare
	}
	if config.PerSecond == 0 {
		config.PerSecond = defaultFloor
	}
	if config.Burst == 0 {
		config.Burst = defaultBurst
	}
	return &Budget{config: config, saved: config.Burst, at: now}
}

// Succeeded earns the share of one success.
func (b *Budget) Succeeded() { b.earn(b.config.Ratio) }

// Allow reports whether one more request may be sent again, and takes it from the budget.
func (b *Budget) Allow(now time.Time) bool {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.earn(elapsed.Seconds() * b.config.PerSecond)
		b.at = now
	}
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *Budget) earn(amount float64) { b.saved = min(b.saved+amount, b.config.Burst) }
