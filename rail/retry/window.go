package retry

import "time"

// WindowConfig configures a Window.
type WindowConfig struct {
	// Ratio is the part of the requests that may be sent once more, over all instances.
	Ratio float64
	// Burst is the number of repeats in a period beyond that, over all instances.
	Burst float64
	// Period is the time over which repeats are counted.
	Period time.Duration
}

// burstPart is the part of the burst that the instances share, so that uneven shares and newcomers stay within it.
const burstPart = 0.5

// Window bounds the repeats of one service in any period by the requests that this instance took for it and a share of a
// burst; it is not safe for concurrent use.
type Window struct {
	config            WindowConfig
	since             time.Time
	requests, repeats float64
	lastRequests      float64
	lastRepeats       float64
}

// NewWindow returns a Window that has counted nothing.
func NewWindow(now time.Time, config WindowConfig) *Window {
	return &Window{config: config, since: now}
}

// turn begins a new period once the present one is over.
func (w *Window) turn(now time.Time) {
	passed := now.Sub(w.since)
	if passed < w.config.Period {
		return
	}
	w.lastRequests, w.lastRepeats = w.requests, w.repeats
	if passed >= 2*w.config.Period {
		w.lastRequests, w.lastRepeats = 0, 0
	}
	w.requests, w.repeats, w.since = 0, 0, now
}

// CountRequest takes a request.
func (w *Window) CountRequest(now time.Time) {
	w.turn(now)
	w.requests++
}

// Allow reports whether a request may be sent once more while so many instances share the burst, and counts it.
func (w *Window) Allow(now time.Time, instances int) bool {
	w.turn(now)
	most := w.config.Ratio*max(w.requests, w.lastRequests) + burstPart*w.config.Burst/float64(max(instances, 1))
	if w.repeats+w.lastRepeats >= most {
		return false
	}
	w.repeats++
	return true
}
