package pipeline

import "time"

// Times and factors of an engine's health.
const (
	// suspectTime is how long an engine is left alone after its first failure; it doubles with each further one.
	suspectTime = time.Second
	// maxSuspectTime bounds it.
	maxSuspectTime = 8 * time.Second
	// trialTime is the time between requests that try an engine which has been left alone.
	trialTime = 500 * time.Millisecond
	// freshTime is how long a failure is told to other instances.
	freshTime = 800 * time.Millisecond
	// livesTime is how long progress through an engine shows that it lives.
	livesTime = 300 * time.Millisecond
	// deadTime is how long an engine that did not answer counts as dead unless it is asked again.
	deadTime = time.Second
	// usualMemory is the number of events over which the usual pause is taken.
	usualMemory = 256
	// maxUsual bounds the weight of a single long pause in the usual one.
	maxUsual = 3.0
)

// health is what this instance saw of one engine lately.
type health struct {
	event    time.Time // when a request through the engine last made progress
	failed   time.Time
	until    time.Time // until when it is left alone
	failures int
	tried    time.Time
	dead     time.Time // when it last did not answer a question, zero if it has answered since
}

func (h *health) started(now time.Time) {
	if h.failures > 0 {
		h.tried = now
	}
}

// fail leaves the engine alone for a while; requests that fail together count once.
func (h *health) fail(now time.Time) {
	if now.Before(h.until) {
		return
	}
	h.failures++
	h.failed = now
	h.until = now.Add(min(suspectTime<<min(h.failures-1, 3), maxSuspectTime))
}

// suspected reports whether the engine is left alone, but for a request now and then once its time is over.
func (h *health) suspected(now time.Time) bool {
	if h.failures == 0 {
		return false
	}
	return now.Before(h.until) || now.Sub(h.tried) < trialTime
}

// fresh reports whether the engine has failed just now.
func (h *health) fresh(now time.Time) bool { return h.failures > 0 && now.Sub(h.failed) < freshTime }

// progressed notes an event of a request.
func (h *health) progressed(now time.Time) {
	h.event = now
	if h.failures > 0 && now.Sub(h.failed) > trialTime {
		h.failures, h.until = 0, time.Time{}
	}
}

// answered notes that the engine answered a question, which ends what was concluded from its silence.
func (h *health) answered() {
	if !h.dead.IsZero() {
		h.dead, h.failures, h.until = time.Time{}, 0, time.Time{}
	}
}

// unanswered leaves an engine that did not answer a question alone, but not longer each time: it is asked again.
func (h *health) unanswered(now time.Time) {
	h.failures = max(h.failures, 1)
	h.failed, h.dead, h.until = now, now, now.Add(deadTime)
}

// lives reports whether a request through the engine made progress just now, whatever other instances say.
func (h *health) lives(now time.Time) bool { return now.Sub(h.event) < livesTime }

// isDead reports whether the engine did not answer a question just now.
func (h *health) isDead(now time.Time) bool { return now.Sub(h.dead) < deadTime }

// SuspectAddress leaves the engine at the address alone for a while.
func (c *Chooser) SuspectAddress(now time.Time, address string) {
	for _, server := range c.servers {
		if server.Address == address {
			c.load(server.ID).health.fail(now)
		}
	}
}

// Progressed notes that a request on the path made progress after a pause; a pause of zero says nothing of its speed.
func (c *Chooser) Progressed(now time.Time, path Path, pause time.Duration) {
	slowness := 0.0
	if pause > 0 {
		ratio := float64(pause) / float64(max(c.ExpectedGap(now, path), time.Millisecond))
		if c.usual == 0 {
			c.usual = ratio
		}
		slowness = ratio / c.usual
		c.usual += (min(ratio, maxUsual*c.usual) - c.usual) / usualMemory
	}
	for _, stage := range path {
		held := c.load(stage.Server.ID)
		held.health.progressed(now)
		held.speed.progressed(now, slowness)
	}
}

// ExpectedGap returns the expected pause between two events of a request on the path, given what is known of its engines' speed.
func (c *Chooser) ExpectedGap(now time.Time, path Path) time.Duration {
	total := time.Duration(0)
	for _, stage := range path {
		card, _ := c.engine.Card(stage.Server.Card)
		share := float64(stage.Layers.Len()) / float64(c.engine.Layers)
		slowness, _ := c.reported(now, stage.Server.ID)
		total += time.Duration(float64(c.engine.StepTime) * card.DecodeFactor * share * float64(c.engine.StepsPerPass) * slowness)
		total += hopCost
	}
	return total
}

// TypicalGap returns the usual pause between two events of a request on the path, as far as events have shown.
func (c *Chooser) TypicalGap(now time.Time, path Path) time.Duration {
	return time.Duration(c.usual * float64(c.ExpectedGap(now, path)))
}

// ProbeFailed notes that an engine did not answer a question.
func (c *Chooser) ProbeFailed(now time.Time, id string) { c.load(id).health.unanswered(now) }

// DeadStage returns the first stage of a path whose engine did not answer a question just now, and through which nothing has
// passed for a time.
func (c *Chooser) DeadStage(now time.Time, path Path, least time.Duration) (stage int, ok bool) {
	for _, i := range c.SilentStages(now, path, least) {
		if c.load(path[i].Server.ID).health.isDead(now) {
			return i, true
		}
	}
	return 0, false
}

// SilentStages returns the stages of a path through which no request has made progress for a time.
func (c *Chooser) SilentStages(now time.Time, path Path, least time.Duration) (stages []int) {
	for i := range path {
		if now.Sub(c.load(path[i].Server.ID).health.event) >= least {
			stages = append(stages, i)
		}
	}
	return stages
}

// Reroute returns the path with the part of one stage given to other engines; the first stage has to stay.
func (c *Chooser) Reroute(now time.Time, path Path, stage int, request Request) (rerouted Path, ok bool) {
	if stage <= 0 || stage >= len(path) || c.engine == nil {
		return nil, false
	}
	banned := make(map[string]bool, len(path))
	for i := range path {
		banned[path[i].Server.ID] = true
	}
	lost := path[stage].Layers
	over := span{from: lost.From, to: lost.To, before: path[stage-1].Server.Zone}
	if stage+1 < len(path) {
		over.after = path[stage+1].Server.Zone
	}
	part, ok := c.search(now, c.candidates(now, request, banned), request, over)
	if !ok {
		return nil, false
	}
	rerouted = append(rerouted, path[:stage]...)
	rerouted = append(rerouted, part...)
	rerouted = append(rerouted, path[stage+1:]...)
	if _, twice := doubled(rerouted); twice || !Covers(rerouted, c.engine.Layers) {
		return nil, false
	}
	return rerouted, true
}
