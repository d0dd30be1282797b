package forward

import (
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// Guards against more retries than the ratio and this instance's part of the burst allow.
func TestBudgetsLimitRetries(t *testing.T) {
	b := NewBudgets(BudgetConfig{
		Window:    retry.WindowBudgetConfig{Ratio: 0.2, Burst: 20, Period: time.Minute},
		Instances: func() int { return 2 },
	})
	for range 100 {
		b.CountRequest("app")
	}
	allowed := 0
	for range 1000 {
		if b.Allow("app") {
			allowed++
		}
	}
	if want := 20 + 5; allowed != want {
		t.Errorf("got %d retries, want a fifth of the requests and a part of the burst: %d", allowed, want)
	}
}
