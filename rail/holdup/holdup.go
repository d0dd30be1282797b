package holdup

import "time"

// Times between the observations of a Meter.
const (
	// Interval is the time between two observations that a caller must make while its process runs.
	Interval = 50 * time.Millisecond
	// maxGap is the longest time between two observations in which the process counts as running.
	maxGap = 150 * time.Millisecond
)

// Meter measures for how long a process has run. The zero value is ready to use; its methods must not be called concurrently.
type Meter struct {
	observed   bool
	observedAt time.Duration
	heldUp     time.Duration // total time of all hold-ups
	holdUps    int
}

// Running returns for how long the process has run at now, a reading of a monotonic clock. Each call is an observation that the
// process runs; a hold-up counts as one Interval.
func (m *Meter) Running(now time.Duration) time.Duration {
	if gap := now - m.observedAt; m.observed && gap > maxGap {
		m.heldUp += gap - Interval
		m.holdUps++
	}
	m.observed, m.observedAt = true, max(now, m.observedAt)
	return m.observedAt - m.heldUp
}

// grace is the time that a timeout lasts at least after the first hold-up in it, so that what arrived meanwhile is handled.
const grace = 50 * time.Millisecond

// Timeout is a timeout that does not count hold-ups.
type Timeout struct {
	endsAt  time.Duration // of the running time
	holdUps int           // number of hold-ups before the start
	graced  bool          // whether it has been prolonged by grace
}

// Start starts a timeout of the duration d.
func (m *Meter) Start(now, d time.Duration) Timeout {
	return Timeout{endsAt: m.Running(now) + d, holdUps: m.holdUps}
}

// Left returns how long the timeout still lasts unless there are further hold-ups, zero or less if it has ended.
func (m *Meter) Left(now time.Duration, t *Timeout) time.Duration {
	left := t.endsAt - m.Running(now)
	if m.holdUps == t.holdUps || t.graced {
		return left
	}
	t.graced = true
	return max(left, grace)
}
