package headroom

import (
	"math"
	"time"
)

// Times of a backlog.
const (
	// backlogTime is the time constant of the exponential decay of the counts.
	backlogTime = 5 * time.Second
	// newShare is the share of new requests, which were not refused before, in those that start during a shortage.
	newShare = 0.5
	// maxBacklogWait is the longest wait that a backlog asks for.
	maxBacklogWait = 12 * time.Second
)

// backlog estimates how long the requests that were refused lately would take to be served, if all of them came back.
type backlog struct {
	started, refused float64 // decayed counts of requests
	updatedAt        time.Time
}

// decay brings the counts up to date.
func (b *backlog) decay(now time.Time) {
	if !b.updatedAt.IsZero() {
		factor := math.Exp(-now.Sub(b.updatedAt).Seconds() / backlogTime.Seconds())
		b.started *= factor
		b.refused *= factor
	}
	b.updatedAt = now
}

// wait returns the time in which as many requests start beside new ones as were refused lately, at most maxBacklogWait.
func (b *backlog) wait(now time.Time) time.Duration {
	b.decay(now)
	ratio := b.refused / max(b.started, 1) / (1 - newShare)
	return time.Duration(min(ratio*float64(backlogTime), float64(maxBacklogWait)))
}
