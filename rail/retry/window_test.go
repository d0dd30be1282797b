package retry

import (
	"testing"
	"time"
)

// TestWindowLimitsRetries guards against more retries in any period of 10 seconds than a fifth of the requests plus the
// burst. Every second request fails and may be retried.
func TestWindowLimitsRetries(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	w := NewWindowBudget(now, WindowBudgetConfig{Ratio: 0.2, Burst: 20, Period: 10 * time.Second})
	var retries []time.Time
	for i := range 3000 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		w.CountRequest(at)
		if i%2 == 0 && w.Allow(at, 2) {
			retries = append(retries, at)
		}
	}
	if len(retries) == 0 {
		t.Fatal("got no retries, want some")
	}
	for i, from := range retries {
		got := 0
		for _, at := range retries[i:] {
			if at.Sub(from) < 10*time.Second {
				got++
			}
		}
		if want := int(0.2*1000) + 20; got > want {
			t.Fatalf("got %d retries in 10 s from %v, want at most %d", got, from.Sub(now), want)
		}
	}
}

// TestRefundedRetriesAreAllowedAgain guards against a budget that is used up by retries that were not sent.
func TestRefundedRetriesAreAllowedAgain(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	w := NewWindowBudget(now, WindowBudgetConfig{Burst: 2, Period: 10 * time.Second})
	for i := range 5 {
		if !w.Allow(now, 1) {
			t.Fatalf("got no retry %d after the ones before were refunded, want one", i)
		}
		w.Refund(now)
	}
	if !w.Allow(now, 1) || w.Allow(now, 1) {
		t.Error("want one retry that isn't refunded, and no other")
	}
	w.Refund(now.Add(time.Minute))
	if !w.Allow(now.Add(time.Minute), 1) || w.Allow(now.Add(time.Minute), 1) {
		t.Error("want one retry after a refund of a period that has ended, and no other")
	}
}
