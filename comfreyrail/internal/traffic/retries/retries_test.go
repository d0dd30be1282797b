package retries

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// TestBudgetsPerPool checks that the retries of one pool don't use up the budget of another, and that successes refill the
// budget of their own pool.
func TestBudgetsPerPool(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	state := control.New(control.Config{Log: logrus.NewEntry(logger), Checker: new(invariant.Checker)})
	budgets := New(Config{Control: state, Budget: retry.BudgetConfig{Ratio: 0.5, PerSecond: 1e-9, Burst: 2}})
	for i, want := range []bool{true, true, false} {
		if got := budgets.Allow("one"); got != want {
			t.Errorf("retry %d: got %v, want %v", i, got, want)
		}
	}
	budgets.Succeeded("one")
	budgets.Succeeded("one")
	if !budgets.Allow("one") || budgets.Allow("one") {
		t.Error("after two successes: got a number of retries other than one, want one")
	}
	if !budgets.Allow("other") {
		t.Error("other pool: got denied, want allowed")
	}
}
