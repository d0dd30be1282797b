package retries

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/retry"
)

func TestPoolsHaveBudgetsOfTheirOwn(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	state := control.New(control.Config{Log: logrus.NewEntry(logger), Checker: new(invariant.Checker)})
	retries := New(Config{Control: state, Budget: retry.BudgetConfig{Ratio: 0.5, PerSecond: 1e-9, Burst: 2}})
	for i, want := range []bool{true, true, false} {
		if got := retries.Allow("one"); got != want {
			t.Errorf("retry %d: got %v, want %v", i, got, want)
		}
	}
	retries.Succeeded("one")
	retries.Succeeded("one")
	if !retries.Allow("one") || retries.Allow("one") {
		t.Error("after two successes: got other than one retry, want one")
	}
	if !retries.Allow("other") {
		t.Error("other pool: got denied, want allowed")
	}
}
