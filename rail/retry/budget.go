package retry

import "time"

// Defaults of a BudgetConfig.
const (
	defaultRatio     = 0.1
	defaultPerSecond = 0.5
	defaultBurst     = 10.0
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Ratio is the number of retries that each success adds to the budget; zero means 0.1.
	Ratio float64
	// PerSecond is the number of retries that each second adds to the budget; zero means 0.5.
	PerSecond float64
	// Burst is the maximum number of retries in the budget; zero means 10.
	Burst float64
}

// Budget is a token bucket that limits the retries of one pool in proportion to its successes; it is not safe for
// concurrent use.
//
// Over any period it allows at most Ratio * successes + PerSecond * seconds + Burst retries.
type Budget struct {
	config    BudgetConfig
	tokens    float64
	updatedAt time.Time
}

// NewBudget returns a Budget that allows a full burst of retries at the time now.
func NewBudget(now time.Time, config BudgetConfig) *Budget {
	if config.Ratio == 0 {
		config.Ratio = defaultRatio
	}
	if config.PerSecond == 0 {
		config.PerSecond = defaultPerSecond
	}
	if config.Burst == 0 {
		config.Burst = defaultBurst
	}
	return &Budget{config: config, tokens: config.Burst, updatedAt: now}
}

// Succeeded records a successful request, which adds Ratio retries to the budget.
func (b *Budget) Succeeded() { b.addTokens(b.config.Ratio) }

// Allow reports whether a request may be retried, and if so takes one retry from the budget.
func (b *Budget) Allow(now time.Time) bool {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.addTokens(elapsed.Seconds() * b.config.PerSecond)
		b.updatedAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) addTokens(amount float64) { b.tokens = min(b.tokens+amount, b.config.Burst) }
