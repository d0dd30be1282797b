package pipeline

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Times and factors that determine an engine's slowness, the time that its work takes as a multiple of the usual time.
const (
	// slowThreshold is the slowness from which an engine, or an event, counts as slow.
	slowThreshold = 1.6
	// maxSlowness caps the slowness of an engine, and with it the factor on its cost.
	maxSlowness = 20.0
	// slownessWindow is the period over which the minimum slowness of an engine's events is computed.
	slownessWindow = 400 * time.Millisecond
	// inferredTTL is how long slowness inferred from events is valid.
	inferredTTL = 3 * time.Second
	// reportTTL is how long an engine's report of its slowness is valid.
	reportTTL = 2 * time.Second
	// slowProbeInterval is the time after which an engine is probed again if it reported at least slowThreshold.
	slowProbeInterval = 600 * time.Millisecond
	// minProbeInterval is the minimum time between two probes of an engine, also while there is no response to the
	// first one. After a failed probe failedProbeInterval applies instead.
	minProbeInterval = 500 * time.Millisecond
	// failedProbeInterval is the time from a failed probe to the next one, and the minimum time between two probes until
	// the engine responds.
	failedProbeInterval = 400 * time.Millisecond
	// slowEventsBeforeProbe is the number of consecutive slow events after which an engine is probed.
	slowEventsBeforeProbe = 5
)

// slownessState is the slowness of one engine, from the events of requests and from the engine's reports.
type slownessState struct {
	lastWindowMin float64 // minimum slowness of the events in the previous window
	lastWindowEnd time.Time
	windowMin     float64 // minimum slowness of the events in the current window
	windowStart   time.Time
	slowEvents    int     // consecutive slow events, including delayed headers, since the last report
	reported      float64 // slowness that the engine reported last
	reportedAt    time.Time
	probedAt      time.Time
}

// recordEvent records an event after a gap of slowness times the typical gap; zero means that the gap is unknown.
func (s *slownessState) recordEvent(now time.Time, slowness float64) {
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

// inferredSlowness returns the slowness inferred from events: the minimum in the previous window, at most maxSlowness. It
// returns 1 if an event in that window was not slow, or if the window ended more than inferredTTL ago.
func (s *slownessState) inferredSlowness(now time.Time) float64 {
	if s.lastWindowMin < slowThreshold || now.Sub(s.lastWindowEnd) > inferredTTL {
		return 1
	}
	return min(s.lastWindowMin, maxSlowness)
}

// needsSpeedProbe reports whether this instance's own observations require a probe of the slowness now: the engine
// reported at least slowThreshold, or it has no valid report and slowEventsBeforeProbe slow events in a row.
func (s *slownessState) needsSpeedProbe(now time.Time) bool {
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
	if state := c.states[id]; state != nil && now.Sub(state.slowness.reportedAt) < reportTTL {
		return state.slowness.reported, true
	}
	if peerUsage, known := c.config.PeerUsage(id); known && peerUsage.Slowness >= 1 {
		return peerUsage.Slowness, true
	}
	return 1, false
}

// slowness returns the reported slowness of an engine or, without a valid report, the slowness inferred from events.
func (c *Chooser) slowness(now time.Time, id string) float64 {
	if reported, ok := c.reportedSlowness(now, id); ok {
		return reported
	}
	return c.state(id).slowness.inferredSlowness(now)
}

// ProbeResponse is the response of an engine to a probe.
type ProbeResponse struct {
	// Slowness is the time that the engine's work takes as a multiple of the usual time; values below 1 count as 1.
	Slowness float64
	// KVUsed is the KV memory that requests hold, in tokens times layers.
	KVUsed float64
}

// ProbeSucceeded records the response of an engine to a probe. If a probe of the engine had failed, the engine is no
// longer dead or suspected.
func (c *Chooser) ProbeSucceeded(now time.Time, id string, response ProbeResponse) {
	state := c.state(id)
	state.health.recordProbeResponse()
	state.slowness.reported, state.slowness.reportedAt, state.slowness.slowEvents = min(max(response.Slowness, 1), maxSlowness), now, 0
	for _, server := range c.servers {
		if server.ID == id {
			c.updateKVUseRatio(now, server, response.KVUsed)
		}
	}
}

// HeadersDelayed records that the response headers of a request on the chain are unusually late. It counts as a slow event
// of each engine of the chain.
func (c *Chooser) HeadersDelayed(chain Chain) {
	for _, stage := range chain {
		c.state(stage.Server.ID).slowness.slowEvents++
	}
}

// shouldProbe reports whether an engine should be probed now: after a failed probe, after it reported to this instance
// that it is slow, or after slow events if no instance has a valid report.
func (c *Chooser) shouldProbe(now time.Time, id string, state *resourceState) bool {
	if !state.health.probeFailedAt.IsZero() {
		return now.Sub(state.health.probeFailedAt) >= failedProbeInterval && now.Sub(state.slowness.probedAt) >= failedProbeInterval
	}
	if !state.slowness.needsSpeedProbe(now) {
		return false
	}
	if now.Sub(state.slowness.reportedAt) < reportTTL {
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
		return cmp.Compare(c.states[b.ID].slowness.slowEvents, c.states[a.ID].slowness.slowEvents)
	})
	probes = probes[:min(len(probes), max(limit, 0))]
	for _, server := range probes {
		c.states[server.ID].slowness.probedAt = now
	}
	return probes
}
