package retry

import "time"

// WindowBudgetConfig configures a WindowBudget.
type WindowBudgetConfig struct {
	// Ratio is the fraction of the requests that may be retried, over all instances.
	Ratio float64
	// Burst is the number of additional retries in a period, over all instances.
	Burst float64
	// Period is the length of the period over which retries are limited.
	Period time.Duration
}

// sharedBurstFraction is the fraction of the burst that is divided among the instances. The rest is a margin that keeps
// all instances together within the burst when their shares are uneven or instances join.
const sharedBurstFraction = 0.5

// WindowBudget limits the retries to one service; it is not safe for concurrent use.
//
// In any period it allows a fraction of the requests that this instance received for the service, plus this instance's
// equal share of sharedBurstFraction of the burst.
type WindowBudget struct {
	config      WindowBudgetConfig
	periodStart time.Time
	// requests and retries are counted since periodStart, lastRequests and lastRetries in the period before.
	requests, retries float64
	lastRequests      float64
	lastRetries       float64
}

// NewWindowBudget returns a WindowBudget without requests whose first period starts now.
func NewWindowBudget(now time.Time, config WindowBudgetConfig) *WindowBudget {
	return &WindowBudget{config: config, periodStart: now}
}

// advance starts a new period if the current one is over.
func (w *WindowBudget) advance(now time.Time) {
	elapsed := now.Sub(w.periodStart)
	if elapsed < w.config.Period {
		return
	}
	w.lastRequests, w.lastRetries = w.requests, w.retries
	if elapsed >= 2*w.config.Period {
		w.lastRequests, w.lastRetries = 0, 0
	}
	w.requests, w.retries, w.periodStart = 0, 0, now
}

// CountRequest counts a request that a caller sent to the service.
func (w *WindowBudget) CountRequest(now time.Time) {
	w.advance(now)
	w.requests++
}

// Allow reports whether a request may be retried, and if so counts the retry; instances is the number of instances that
// share the burst.
func (w *WindowBudget) Allow(now time.Time, instances int) bool {
	w.advance(now)
	limit := w.config.Ratio*max(w.requests, w.lastRequests) + sharedBurstFraction*w.config.Burst/float64(max(instances, 1))
	if w.retries+w.lastRetries >= limit {
		return false
	}
	w.retries++
	return true
}

// Refund takes back a retry that was allowed shortly before and then not sent. It does nothing if the current period has no retries.
func (w *WindowBudget) Refund(now time.Time) {
	w.advance(now)
	w.retries = max(w.retries-1, 0)
}
