package pipeline

import "time"

// Times and factors that determine an engine's health.
const (
	// baseSuspectTime is how long an engine is suspected after its first failure; each further failure doubles the time.
	baseSuspectTime = time.Second
	// maxSuspectTime is the longest time for which an engine is suspected after a failure.
	maxSuspectTime = 8 * time.Second
	// trialInterval is the time between trial requests to an engine whose suspicion has expired. Progress ends a
	// suspicion only if the failure is older than that.
	trialInterval = 500 * time.Millisecond
	// failureReportTime is how long a failure is reported to other instances.
	failureReportTime = 800 * time.Millisecond
	// recentProgressTime is how long progress through an engine overrides failures of it that other instances report.
	recentProgressTime = 300 * time.Millisecond
	// deadDuration is how long an engine counts as dead after a failed probe, unless it responds to a probe before.
	deadDuration = time.Second
	// lostDuration is how long an engine counts as lost after a failed probe, unless it responds to a probe before.
	lostDuration = 3 * time.Second
	// gapRatioEvents is the number of events over which the moving average of the ratio of gaps to expected gaps is
	// taken.
	gapRatioEvents = 256
	// maxGapOutlier caps the ratio of a single gap in that average, as a multiple of the average.
	maxGapOutlier = 3.0
)

// health is the state of one engine as this instance observed it.
type health struct {
	lastProgress  time.Time // when a request through the engine last made progress
	failedAt      time.Time
	suspectUntil  time.Time
	failures      int       // counted failures since progress or a probe's response last ended a suspicion
	trialAt       time.Time // when a trial request was last sent to the engine
	probeFailedAt time.Time // when a probe last failed; zero if none has, or if the engine has responded since
}

// recordStart records that a request was sent to the engine; after a failure it is a trial request.
func (h *health) recordStart(now time.Time) {
	if h.failures > 0 {
		h.trialAt = now
	}
}

// recordFailure marks the engine as suspected. Failures before suspectUntil are ignored, so that requests that fail
// together count once; later ones, such as that of a trial, count.
func (h *health) recordFailure(now time.Time) {
	if now.Before(h.suspectUntil) {
		return
	}
	h.failures++
	h.failedAt = now
	h.suspectUntil = now.Add(min(baseSuspectTime<<min(h.failures-1, 3), maxSuspectTime))
}

// isSuspected reports whether the engine is suspected. After the suspicion has expired, one trial request per
// trialInterval may be sent to the engine until one of them makes progress.
func (h *health) isSuspected(now time.Time) bool {
	if h.failures == 0 {
		return false
	}
	return now.Before(h.suspectUntil) || now.Sub(h.trialAt) < trialInterval
}

// failedRecently reports whether the engine failed within failureReportTime and neither progress nor a probe's response has
// ended the suspicion since.
func (h *health) failedRecently(now time.Time) bool {
	return h.failures > 0 && now.Sub(h.failedAt) < failureReportTime
}

// recordProgress records an event of a request. It ends a suspicion if the failure is older than trialInterval.
func (h *health) recordProgress(now time.Time) {
	h.lastProgress = now
	if h.failures > 0 && now.Sub(h.failedAt) > trialInterval {
		h.failures, h.suspectUntil = 0, time.Time{}
	}
}

// recordProbeResponse records a response to a probe. If a probe had failed, the response ends every suspicion of the
// engine.
func (h *health) recordProbeResponse() {
	if !h.probeFailedAt.IsZero() {
		h.probeFailedAt, h.failures, h.suspectUntil = time.Time{}, 0, time.Time{}
	}
}

// recordProbeFailure marks the engine as dead and suspected for deadDuration. The time does not double with further
// failed probes, as the engine is probed again.
func (h *health) recordProbeFailure(now time.Time) {
	h.failures = max(h.failures, 1)
	h.failedAt, h.probeFailedAt, h.suspectUntil = now, now, now.Add(deadDuration)
}

// progressedRecently reports whether a request through the engine made progress within recentProgressTime. Such an engine
// is used even if other instances suspect it.
func (h *health) progressedRecently(now time.Time) bool {
	return now.Sub(h.lastProgress) < recentProgressTime
}

// isDead reports whether a probe of the engine failed within the last deadDuration and the engine has not responded to
// one since.
func (h *health) isDead(now time.Time) bool { return now.Sub(h.probeFailedAt) < deadDuration }

// IsLost reports whether a probe of the engine with the ID failed within the last lostDuration and the engine has not responded to one
// since. It is probably gone, even if it is still listed.
func (c *Chooser) IsLost(now time.Time, id string) bool {
	state := c.states[id]
	return state != nil && now.Sub(state.health.probeFailedAt) < lostDuration
}

// MarkSuspected records a failure of the engine at the address, which is then suspected.
func (c *Chooser) MarkSuspected(now time.Time, address string) {
	for _, server := range c.servers {
		if server.Address == address {
			c.state(server.ID).health.recordFailure(now)
		}
	}
}

// Progressed records that a request on the chain received an event after a gap. A gap of zero means that the gap is unknown
// and does not count as an observation of the slowness.
func (c *Chooser) Progressed(now time.Time, chain Chain, gap time.Duration) {
	slowness := 0.0
	if gap > 0 {
		ratio := float64(gap) / float64(max(c.ExpectedGap(now, chain), time.Millisecond))
		if c.gapRatio == 0 {
			c.gapRatio = ratio
		}
		slowness = ratio / c.gapRatio
		c.gapRatio += (min(ratio, maxGapOutlier*c.gapRatio) - c.gapRatio) / gapRatioEvents
	}
	for _, stage := range chain {
		state := c.state(stage.Server.ID)
		state.health.recordProgress(now)
		state.slowness.recordEvent(now, slowness)
	}
}

// ExpectedGap returns the expected gap between two events of a request on the chain, given the reported slowness of its
// engines.
func (c *Chooser) ExpectedGap(now time.Time, chain Chain) time.Duration {
	total := time.Duration(0)
	for _, stage := range chain {
		card, _ := c.spec.Card(stage.Server.Card)
		fraction := float64(stage.Layers.Len()) / float64(c.spec.Layers)
		slowness, _ := c.reportedSlowness(now, stage.Server.ID)
		total += time.Duration(float64(c.spec.StepTime) * card.DecodeFactor * fraction * float64(c.spec.StepsPerPass) * slowness)
		total += stageOverhead
	}
	return total
}

// TypicalGap returns the typical gap between two events of a request on the chain: the expected gap times the average ratio
// of observed gaps to expected ones. It is zero until a gap has been observed.
func (c *Chooser) TypicalGap(now time.Time, chain Chain) time.Duration {
	return time.Duration(c.gapRatio * float64(c.ExpectedGap(now, chain)))
}

// ProbeFailed records that the engine with the ID did not respond to a probe.
func (c *Chooser) ProbeFailed(now time.Time, id string) { c.state(id).health.recordProbeFailure(now) }

// DeadStage returns the index of the first stage of the chain whose engine is dead and has not made progress with any
// request of this instance in the last minSilence, and false if there is none.
func (c *Chooser) DeadStage(now time.Time, chain Chain, minSilence time.Duration) (stage int, ok bool) {
	for _, i := range c.SilentStages(now, chain, minSilence) {
		if c.state(chain[i].Server.ID).health.isDead(now) {
			return i, true
		}
	}
	return 0, false
}

// SilentStages returns the indexes of the stages of the chain whose engines have not made progress with any request of
// this instance in the last minSilence.
func (c *Chooser) SilentStages(now time.Time, chain Chain, minSilence time.Duration) (stages []int) {
	for i := range chain {
		if now.Sub(c.state(chain[i].Server.ID).health.lastProgress) >= minSilence {
			stages = append(stages, i)
		}
	}
	return stages
}

// Reroute returns the chain with the layers of one stage moved to other engines, and false if there is no such chain. The
// first stage cannot be replaced. Engines that the request avoids are not used.
func (c *Chooser) Reroute(now time.Time, chain Chain, stage int, request Request) (rerouted Chain, ok bool) {
	if stage <= 0 || stage >= len(chain) || c.spec == nil {
		return nil, false
	}
	excluded := make(map[string]bool, len(chain)+len(request.Avoid))
	for _, id := range request.Avoid {
		excluded[id] = true
	}
	for i := range chain {
		excluded[chain[i].Server.ID] = true
	}
	replaced := chain[stage].Layers
	target := span{from: replaced.From, to: replaced.To, zoneBefore: chain[stage-1].Server.Zone}
	if stage+1 < len(chain) {
		target.zoneAfter = chain[stage+1].Server.Zone
	}
	replacement, ok := c.search(now, c.candidates(now, request, excluded), request, target)
	if !ok {
		return nil, false
	}
	rerouted = append(rerouted, chain[:stage]...)
	rerouted = append(rerouted, replacement...)
	rerouted = append(rerouted, chain[stage+1:]...)
	if _, repeated := findRepeat(rerouted); repeated || !Covers(rerouted, c.spec.Layers) {
		return nil, false
	}
	return rerouted, true
}
