package stall

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// Config configures a Detector.
type Config struct {
	// MinFrameTimeout is the least silence of the connection that calls for a probe; it exceeds engine.KeepAliveInterval.
	MinFrameTimeout time.Duration
	// MinTokenTimeout is the least time without a token that calls for a probe.
	MinTokenTimeout time.Duration
	// MaxTimeout is the greatest silence, of the connection or of tokens, before a probe.
	MaxTimeout time.Duration
	// MaxIdleProbes is the number of probes that find nothing wrong before the stream is resumed all the same.
	MaxIdleProbes int
}

// DefaultConfig returns the Config for production.
func DefaultConfig() Config {
	return Config{MinFrameTimeout: 5 * engine.KeepAliveInterval / 2, MinTokenTimeout: engine.KeepAliveInterval, MaxTimeout: 2 * time.Second, MaxIdleProbes: 8}
}

// Detector tracks the liveness of one attempt; it is not safe for concurrent use.
type Detector struct {
	config Config

	lastFrame time.Time
	lastToken time.Time
	tokens    int
	frameGap  estimate
	tokenGap  estimate
	fruitless int
	gapped    bool
	probedAt  time.Time
}

// New returns a Detector for a stream whose run starts now.
func New(config Config, now time.Time) *Detector {
	w := &Detector{config: config}
	w.Restart(now)
	return w
}

// Restart begins a new attempt; the gaps observed between tokens stay.
func (w *Detector) Restart(now time.Time) {
	w.lastFrame, w.lastToken, w.probedAt = now, now, time.Time{}
	w.tokens, w.fruitless, w.gapped = 0, 0, false
	w.frameGap = estimate{}
}

// ObserveFrame notes a frame without a token.
func (w *Detector) ObserveFrame(now time.Time) {
	w.frameGap.add(now.Sub(w.lastFrame))
	w.lastFrame = now
}

// ObserveToken notes a frame with a token.
func (w *Detector) ObserveToken(now time.Time) {
	w.ObserveFrame(now)
	if w.tokens > 0 {
		w.tokenGap.add(now.Sub(w.lastToken))
	}
	w.tokens++
	w.lastToken = now
	w.fruitless, w.gapped = 0, false
}

// NextProbe returns when to probe the stages unless a frame arrives before.
func (w *Detector) NextProbe() time.Time {
	connection := w.lastFrame.Add(w.bound(w.frameGap, w.config.MinFrameTimeout, w.config.MinFrameTimeout))
	progress := w.lastToken.Add(w.bound(w.tokenGap, w.config.MinFrameTimeout, w.config.MinTokenTimeout))
	if w.probedAt.After(w.lastToken) {
		progress = w.probedAt.Add(min(w.config.MinTokenTimeout<<min(w.fruitless, maxDoublings), w.config.MaxTimeout))
	}
	if connection.Before(progress) {
		return connection
	}
	return progress
}

// maxDoublings bounds how often the time between probes doubles.
const maxDoublings = 8

// bound returns the silence that is allowed after gaps as estimated; initial applies before the first gap.
func (w *Detector) bound(gaps estimate, initial, floor time.Duration) time.Duration {
	if !gaps.known {
		return initial
	}
	return min(max(gaps.high(), floor), w.config.MaxTimeout)
}

// ConnectionTimedOut reports whether the connection itself has been silent for longer than its bound.
func (w *Detector) ConnectionTimedOut(now time.Time) bool {
	return now.Sub(w.lastFrame) >= w.bound(w.frameGap, w.config.MinFrameTimeout, w.config.MinFrameTimeout)
}

// ProbeResult is what a probe of all stages over new connections found.
type ProbeResult struct {
	// StartedAt is the time at which the probe began.
	StartedAt time.Time
	// Unresponsive tells that at least one stage did not answer.
	Unresponsive bool
	// AttemptLost tells that at least one stage does not know the attempt.
	AttemptLost bool
	// Undelivered tells that an activation left one stage and did not arrive at the next.
	Undelivered bool
	// Progressed tells that a stage has worked on the stream since the probe before.
	Progressed bool
}

// Action says how to go on after a probe.
type Action int

const (
	// Wait means that the stream is slow but alive.
	Wait Action = iota
	// Resume means that the stages are alive and the stream must be resumed on them over new connections.
	Resume
	// Replace means that the stages that did not answer must be replaced.
	Replace
)

// HandleProbe decides after a probe.
func (w *Detector) HandleProbe(now time.Time, finding ProbeResult) Action {
	gapped := w.gapped
	w.gapped = finding.Undelivered
	switch {
	case w.lastToken.After(finding.StartedAt):
		return Wait
	case finding.Unresponsive:
		return Replace
	case finding.AttemptLost, finding.Undelivered && gapped, w.ConnectionTimedOut(now):
		return Resume
	}
	w.probedAt = now
	if finding.Undelivered {
		return Wait
	}
	w.fruitless++
	if finding.Progressed {
		w.fruitless = 1
	}
	if w.fruitless > w.config.MaxIdleProbes {
		return Resume
	}
	return Wait
}

// estimate is a moving mean of gaps with their mean deviation.
type estimate struct {
	known     bool
	mean      time.Duration
	deviation time.Duration
}

// Weights of a new gap in the mean and in the deviation, as divisors, and of the deviation in the bound.
const (
	meanWeight      = 8
	deviationWeight = 4
	deviations      = 4
)

func (e *estimate) add(gap time.Duration) {
	if !e.known {
		e.known, e.mean, e.deviation = true, gap, gap/2
		return
	}
	difference := gap - e.mean
	e.mean += difference / meanWeight
	e.deviation += (difference.Abs() - e.deviation) / deviationWeight
}

// high returns a gap that is rarely exceeded.
func (e *estimate) high() time.Duration { return e.mean + deviations*e.deviation }
