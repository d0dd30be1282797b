package pipeline

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Times and factors that determine an engine's speed. Slowness is the time that work takes as a multiple of the usual time.
const (
	// slowThreshold is the slowness from which an engine, or an event, counts as slow.
	slowThreshold = 1.6
	// maxSlowness caps the slowness of an engine, and with it the factor on its cost.
	maxSlowness = 20.0
	// slownessWindow is the period over which the minimum slowness of an engine's events is computed.
	slownessWindow = 400 * time.Millisecond
	// inferredTTL is how long slowness inferred from events is valid.
	inferredTTL = 3 * time.Second
	// reportTTL is how long an engine's report of its speed is valid.
	reportTTL = 2 * time.Second
	// slowProbeInterval is the time after which an engine that reported slowness is probed again.
	slowProbeInterval = 600 * time.Millisecond
	// minProbeInterval is the shortest time between two probes of an engine, and so the time after which it is probed again
	// without a response; after a failed probe deadProbeInterval applies.
	minProbeInterval = 500 * time.Millisecond
	// deadProbeInterval is the time after a failed probe at which the engine is probed again.
	deadProbeInterval = 400 * time.Millisecond
	// slowEventsBeforeProbe is the number of consecutive slow events after which an engine is probed.
	slowEventsBeforeProbe = 5
)

// speed is the state of one engine's speed, from its events and its reports.
type speed struct {
	lastWindowMin float64 // minimum slowness of the events in the previous window
	lastWindowEnd time.Time
	windowMin     float64 // minimum slowness of the events in the current window
	windowStart   time.Time
	slowEvents    int     // consecutive slow events, and delayed first events
	reported      float64 // slowness that the engine reported last
	reportedAt    time.Time
	probedAt      time.Time
}

// recordEvent records an event that took slowness times the typical time; zero means that the ratio is unknown.
func (s *speed) recordEvent(now time.Time, slowness float64) {
	if slowness <= 0 {
		return
	}
	if slowness < slowThreshold {
		s.slowEvents = 0
	} else {
		s.slowEvents++
	}
	if now.Sub(s.windowStart) >= slownessWindow {
		s.lastWindowMin, s.lastWindowEnd = s.windowMin, now
		s.windowMin, s.windowStart = slowness, now
		return
	}
	s.windowMin = min(s.windowMin, slowness)
}

// inferredSlowness returns the slowness inferred from events: 1 unless every event through the engine in the previous window
// was slow.
func (s *speed) inferredSlowness(now time.Time) float64 {
	if s.lastWindowMin < slowThreshold || now.Sub(s.lastWindowEnd) > inferredTTL {
		return 1
	}
	return min(s.lastWindowMin, maxSlowness)
}

// needsProbe reports whether the engine should be probed for its speed now.
func (s *speed) needsProbe(now time.Time) bool {
	if now.Sub(s.probedAt) < minProbeInterval {
		return false
	}
	reportValid := now.Sub(s.reportedAt) < reportTTL
	if reportValid && s.reported >= slowThreshold {
		return now.Sub(s.reportedAt) >= slowProbeInterval
	}
	return !reportValid && s.slowEvents >= slowEventsBeforeProbe
}

// reportedSlowness returns the slowness that an engine reported to this instance or to another one, and 1 and false if there
// is no valid report.
func (c *Chooser) reportedSlowness(now time.Time, id string) (slowness float64, ok bool) {
	if state := c.states[id]; state != nil && now.Sub(state.speed.reportedAt) < reportTTL {
		return state.speed.reported, true
	}
	if peers, known := c.config.PeerUsage(id); known && peers.Slowness >= 1 {
		return peers.Slowness, true
	}
	return 1, false
}

// slowness returns the reported slowness of an engine or, without a valid report, the slowness inferred from events.
func (c *Chooser) slowness(now time.Time, id string) float64 {
	if reported, ok := c.reportedSlowness(now, id); ok {
		return reported
	}
	return c.state(id).speed.inferredSlowness(now)
}

// Report is the response of an engine to a probe.
type Report struct {
	// Slowness is the time that the engine's work takes as a multiple of the usual time.
	Slowness float64
	// KVUsed is the KV memory that requests hold, in tokens times layers.
	KVUsed float64
}

// ProbeSucceeded records the response of an engine to a probe.
func (c *Chooser) ProbeSucceeded(now time.Time, id string, report Report) {
	state := c.state(id)
	state.health.recordProbeResponse()
	state.speed.reported, state.speed.reportedAt, state.speed.slowEvents = min(max(report.Slowness, 1), maxSlowness), now, 0
	for _, server := range c.servers {
		if server.ID == id {
			c.updateKVUseRatio(now, server, report.KVUsed)
		}
	}
}

// FirstEventDelayed records that a request on the chain has waited unusually long for its first event. It counts as a slow
// event of each engine of the chain.
func (c *Chooser) FirstEventDelayed(chain Chain) {
	for _, stage := range chain {
		c.state(stage.Server.ID).speed.slowEvents++
	}
}

// shouldProbe reports whether an engine should be probed now: after a failed probe, or if its speed is in doubt and no other
// instance has a valid report of it.
func (c *Chooser) shouldProbe(now time.Time, id string, state *resourceState) bool {
	if !state.health.probeFailedAt.IsZero() {
		return now.Sub(state.health.probeFailedAt) >= deadProbeInterval && now.Sub(state.speed.probedAt) >= deadProbeInterval
	}
	if !state.speed.needsProbe(now) {
		return false
	}
	if now.Sub(state.speed.reportedAt) < reportTTL {
		return true
	}
	_, reported := c.reportedSlowness(now, id)
	return !reported
}

// NextProbes returns at most limit engines that should be probed now, those with the most slow events first, and records that
// they are being probed.
func (c *Chooser) NextProbes(now time.Time, limit int) (probes []backend.Server) {
	for _, server := range c.servers {
		if state := c.states[server.ID]; state != nil && c.shouldProbe(now, server.ID, state) {
			probes = append(probes, server)
		}
	}
	slices.SortFunc(probes, func(a, b backend.Server) int {
		return cmp.Compare(c.states[b.ID].speed.slowEvents, c.states[a.ID].speed.slowEvents)
	})
	probes = probes[:min(len(probes), limit)]
	for _, server := range probes {
		c.states[server.ID].speed.probedAt = now
	}
	return probes
}
