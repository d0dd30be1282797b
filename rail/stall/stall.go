package stall

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// Config configures a Detector.
type Config struct {
	// MinFrameTimeout is the minimum time without a frame before a probe. It must exceed engine.KeepAliveInterval.
	MinFrameTimeout time.Duration
	// MinTokenTimeout is the minimum time without a token before a probe.
	MinTokenTimeout time.Duration
	// MaxTimeout is the maximum time without a frame or without a token before a probe.
	MaxTimeout time.Duration
	// MaxIdleProbes is the maximum number of probes without a fault or an undelivered activation since the last token,
	// counted from the last one that found progress, if any; one more resumes the stream.
	MaxIdleProbes int
}

// DefaultConfig returns the Config for production.
func DefaultConfig() Config {
	return Config{MinFrameTimeout: 5 * engine.KeepAliveInterval / 2, MinTokenTimeout: engine.KeepAliveInterval, MaxTimeout: 2 * time.Second, MaxIdleProbes: 8}
}

// Detector detects stalls of one stream. It is not safe for concurrent use.
type Detector struct {
	config Config

	// lastFrame and lastToken are the times of the last frame and of the last frame with a token.
	// Until the first one, they are the start of the attempt.
	lastFrame time.Time
	lastToken time.Time
	// tokens is the number of tokens since the attempt started.
	tokens   int
	frameGap gapEstimate
	tokenGap gapEstimate
	// idleProbes is the number of probes since the last token that found neither a fault nor an undelivered activation.
	// Such a probe that found progress restarts the count at one.
	idleProbes int
	// undelivered reports whether the last probe found an undelivered activation.
	undelivered bool
	// lastProbe is the end of the last probe during which no token arrived and whose result did not confirm a fault; zero
	// if there is none since the start of the attempt.
	lastProbe time.Time
}

// New returns a Detector for a stream whose run starts now.
func New(config Config, now time.Time) *Detector {
	d := &Detector{config: config}
	d.Restart(now)
	return d
}

// Restart resets the Detector for a new attempt that starts now. It keeps the estimate of the gap between tokens.
func (d *Detector) Restart(now time.Time) {
	d.lastFrame, d.lastToken, d.lastProbe = now, now, time.Time{}
	d.tokens, d.idleProbes, d.undelivered = 0, 0, false
	d.frameGap = gapEstimate{}
}

// LeaveOut shifts the times so far by a duration in which this process was held up, so that it does not count as time without frames.
func (d *Detector) LeaveOut(heldUp time.Duration) {
	d.lastFrame, d.lastToken = d.lastFrame.Add(heldUp), d.lastToken.Add(heldUp)
	if !d.lastProbe.IsZero() {
		d.lastProbe = d.lastProbe.Add(heldUp)
	}
}

// ObserveFrame records a frame without a token.
func (d *Detector) ObserveFrame(now time.Time) {
	d.frameGap.add(now.Sub(d.lastFrame))
	d.lastFrame = now
}

// ObserveToken records a frame with a token.
func (d *Detector) ObserveToken(now time.Time) {
	d.ObserveFrame(now)
	if d.tokens > 0 {
		d.tokenGap.add(now.Sub(d.lastToken))
	}
	d.tokens++
	d.lastToken = now
	d.idleProbes, d.undelivered = 0, false
}

// NextProbe returns the time at which to probe the stages unless a frame arrives earlier.
func (d *Detector) NextProbe() time.Time {
	frameDeadline := d.lastFrame.Add(d.timeout(d.frameGap, d.config.MinFrameTimeout, d.config.MinFrameTimeout))
	tokenDeadline := d.lastToken.Add(d.timeout(d.tokenGap, d.config.MinFrameTimeout, d.config.MinTokenTimeout))
	if d.lastProbe.After(d.lastToken) {
		tokenDeadline = d.lastProbe.Add(min(d.config.MinTokenTimeout<<min(d.idleProbes, maxDoublings), d.config.MaxTimeout))
	}
	if frameDeadline.Before(tokenDeadline) {
		return frameDeadline
	}
	return tokenDeadline
}

// maxDoublings is the maximum number of times that the interval between probes doubles.
const maxDoublings = 8

// timeout returns the time to wait for the next frame or token, given the estimated gap between them. It returns initial
// before the first gap.
func (d *Detector) timeout(gap gapEstimate, initial, minTimeout time.Duration) time.Duration {
	if !gap.hasGap {
		return initial
	}
	return min(max(gap.upperBound(), minTimeout), d.config.MaxTimeout)
}

// ConnectionTimedOut reports whether no frame has arrived on the connection within the frame timeout.
func (d *Detector) ConnectionTimedOut(now time.Time) bool {
	return now.Sub(d.lastFrame) >= d.timeout(d.frameGap, d.config.MinFrameTimeout, d.config.MinFrameTimeout)
}

// ProbeResult is the result of a probe of all stages over new connections.
type ProbeResult struct {
	// StartedAt is the time at which the probe started.
	StartedAt time.Time
	// Unresponsive reports whether at least one stage did not respond.
	Unresponsive bool
	// AttemptLost reports whether at least one stage no longer has the attempt, such as after a restart.
	AttemptLost bool
	// Undelivered reports whether a stage forwarded an activation or token that has not arrived at its receiver.
	Undelivered bool
	// Progressed reports whether any stage has made progress on the stream since the previous probe.
	Progressed bool
}

// Verdict is how to continue after a probe.
type Verdict int

const (
	// Wait means that no fault was found or confirmed: keep the attempt and wait for frames.
	Wait Verdict = iota
	// Resume means that all stages responded: resume the stream on them over new connections.
	Resume
	// Replace means that the stages that did not respond must be replaced.
	Replace
)

// HandleProbe returns the Verdict for the result of a probe. An undelivered activation leads to a Resume only if the
// previous probe found one too, since it may still be in transit.
func (d *Detector) HandleProbe(now time.Time, result ProbeResult) Verdict {
	wasUndelivered := d.undelivered
	d.undelivered = result.Undelivered
	switch {
	case d.lastToken.After(result.StartedAt):
		return Wait
	case result.Unresponsive:
		return Replace
	case result.AttemptLost, result.Undelivered && wasUndelivered, d.ConnectionTimedOut(now):
		return Resume
	}
	d.lastProbe = now
	if result.Undelivered {
		return Wait
	}
	d.idleProbes++
	if result.Progressed {
		d.idleProbes = 1
	}
	if d.idleProbes > d.config.MaxIdleProbes {
		return Resume
	}
	return Wait
}

// gapEstimate is an exponential moving average of gaps and of their mean deviation.
type gapEstimate struct {
	hasGap    bool
	mean      time.Duration
	deviation time.Duration
}

// Parameters of a gapEstimate: a new gap counts 1/meanDivisor in the mean and 1/deviationDivisor in the deviation, and
// the upper bound is the mean plus deviationFactor deviations.
const (
	meanDivisor      = 8
	deviationDivisor = 4
	deviationFactor  = 4
)

func (e *gapEstimate) add(gap time.Duration) {
	if !e.hasGap {
		e.hasGap, e.mean, e.deviation = true, gap, gap/2
		return
	}
	difference := gap - e.mean
	e.mean += difference / meanDivisor
	e.deviation += (difference.Abs() - e.deviation) / deviationDivisor
}

// upperBound returns a gap that actual gaps rarely exceed.
func (e *gapEstimate) upperBound() time.Duration { return e.mean + deviationFactor*e.deviation }
