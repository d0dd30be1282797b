package silence

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// Config configures a Watch.
type Config struct {
	// Floor is the least silence of the connection that calls for a probe; it exceeds engine.AliveInterval.
	Floor time.Duration
	// TokenFloor is the least time without a token that calls for a probe.
	TokenFloor time.Duration
	// Ceiling is the greatest silence, of the connection or of tokens, before a probe.
	Ceiling time.Duration
	// Patience is the number of probes that find nothing wrong before the stream is resumed all the same.
	Patience int
}

// DefaultConfig returns the Config for production.
func DefaultConfig() Config {
	return Config{Floor: 5 * engine.AliveInterval / 2, TokenFloor: engine.AliveInterval, Ceiling: 2 * time.Second, Patience: 8}
}

// Watch tracks the liveness of one attempt; it is not safe for concurrent use.
type Watch struct {
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

// New returns a Watch for a stream whose run starts now.
func New(config Config, now time.Time) *Watch {
	w := &Watch{config: config}
	w.Restart(now)
	return w
}

// Restart begins a new attempt; the gaps observed between tokens stay.
func (w *Watch) Restart(now time.Time) {
	w.lastFrame, w.lastToken, w.probedAt = now, now, time.Time{}
	w.tokens, w.fruitless, w.gapped = 0, 0, false
	w.frameGap = estimate{}
}

// Alive notes a frame without a token.
func (w *Watch) Alive(now time.Time) {
	w.frameGap.add(now.Sub(w.lastFrame))
	w.lastFrame = now
}

// Token notes a frame with a token.
func (w *Watch) Token(now time.Time) {
	w.Alive(now)
	if w.tokens > 0 {
		w.tokenGap.add(now.Sub(w.lastToken))
	}
	w.tokens++
	w.lastToken = now
	w.fruitless, w.gapped = 0, false
}

// Deadline returns when to probe the stages unless a frame arrives before.
func (w *Watch) Deadline() time.Time {
	connection := w.lastFrame.Add(w.bound(w.frameGap, w.config.Floor, w.config.Floor))
	progress := w.lastToken.Add(w.bound(w.tokenGap, w.config.Floor, w.config.TokenFloor))
	if w.probedAt.After(w.lastToken) {
		progress = w.probedAt.Add(min(w.config.TokenFloor<<min(w.fruitless, maxDoublings), w.config.Ceiling))
	}
	if connection.Before(progress) {
		return connection
	}
	return progress
}

// maxDoublings bounds how often the time between probes doubles.
const maxDoublings = 8

// bound returns the silence that is allowed after gaps as estimated; initial applies before the first gap.
func (w *Watch) bound(gaps estimate, initial, floor time.Duration) time.Duration {
	if !gaps.known {
		return initial
	}
	return min(max(gaps.high(), floor), w.config.Ceiling)
}

// Quiet reports whether the connection itself has been silent for longer than its bound.
func (w *Watch) Quiet(now time.Time) bool {
	return now.Sub(w.lastFrame) >= w.bound(w.frameGap, w.config.Floor, w.config.Floor)
}

// Finding is what a probe of all stages over new connections found.
type Finding struct {
	// Began is the time at which the probe began.
	Began time.Time
	// Silent tells that at least one stage did not answer.
	Silent bool
	// Lost tells that at least one stage does not know the attempt.
	Lost bool
	// Gap tells that an activation left one stage and did not arrive at the next.
	Gap bool
	// Moved tells that a stage has worked on the stream since the probe before.
	Moved bool
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

// Probed decides after a probe.
func (w *Watch) Probed(now time.Time, finding Finding) Action {
	gapped := w.gapped
	w.gapped = finding.Gap
	switch {
	case w.lastToken.After(finding.Began):
		return Wait
	case finding.Silent:
		return Replace
	case finding.Lost, finding.Gap && gapped, w.Quiet(now):
		return Resume
	}
	w.probedAt = now
	if finding.Gap {
		return Wait
	}
	w.fruitless++
	if finding.Moved {
		w.fruitless = 1
	}
	if w.fruitless > w.config.Patience {
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
