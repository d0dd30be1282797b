package pipeline

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Times and factors of an engine's speed. Slowness is the time that work takes as a multiple of the usual one.
const (
	// slowFrom is the slowness from which an engine, or an event, counts as slow.
	slowFrom = 1.6
	// maxSlow bounds what a slow engine costs more.
	maxSlow = 20.0
	// slowWindow is the time over which the least slowness of an engine's events is taken.
	slowWindow = 400 * time.Millisecond
	// slowMemory is how long a slow engine without events counts as slow.
	slowMemory = 3 * time.Second
	// reportMemory is how long an engine's own report of its speed holds.
	reportMemory = 2 * time.Second
	// reaskSlow is the time after which an engine that reported to be slow is asked again.
	reaskSlow = 600 * time.Millisecond
	// reaskUnanswered is the time after which an engine that did not answer is asked again.
	reaskUnanswered = 500 * time.Millisecond
	// reaskDead is the time after which an engine that did not answer is asked whether it is back.
	reaskDead = 400 * time.Millisecond
	// enoughDoubts is the number of slow events in succession after which an engine is asked for its speed.
	enoughDoubts = 5
)

// speed is what this instance knows of how fast an engine works.
type speed struct {
	seen       float64 // least slowness of the events in the window before the present one
	seenAt     time.Time
	least      float64 // least slowness of the events in the present window
	leastFrom  time.Time
	doubts     int     // slow events in succession
	reported   float64 // what the engine said last
	reportedAt time.Time
	asked      time.Time // when it was asked last
}

// progressed notes an event that took so many times the expected time, zero if that is not known.
func (s *speed) progressed(now time.Time, slowness float64) {
	if slowness <= 0 {
		return
	}
	if slowness < slowFrom {
		s.doubts = 0
	} else {
		s.doubts++
	}
	if now.Sub(s.leastFrom) >= slowWindow {
		s.seen, s.seenAt = s.least, now
		s.least, s.leastFrom = slowness, now
		return
	}
	s.least = min(s.least, slowness)
}

// inferred returns the slowness as far as events tell: 1 unless every event of a request through the engine was slow.
func (s *speed) inferred(now time.Time) float64 {
	if s.seen < slowFrom || now.Sub(s.seenAt) > slowMemory {
		return 1
	}
	return min(s.seen, maxSlow)
}

// doubtful reports whether the engine should be asked for its speed now.
func (s *speed) doubtful(now time.Time) bool {
	if now.Sub(s.asked) < reaskUnanswered {
		return false
	}
	fresh := now.Sub(s.reportedAt) < reportMemory
	if fresh && s.reported >= slowFrom {
		return now.Sub(s.reportedAt) >= reaskSlow
	}
	return !fresh && s.doubts >= enoughDoubts
}

// reported returns the slowness that an engine told this instance or another one, and 1 and false if none is known.
func (c *Chooser) reported(now time.Time, id string) (slowness float64, ok bool) {
	if held := c.loads[id]; held != nil && now.Sub(held.speed.reportedAt) < reportMemory {
		return held.speed.reported, true
	}
	if others, known := c.config.PeerUsage(id); known && others.Slowness >= 1 {
		return others.Slowness, true
	}
	return 1, false
}

// slowness returns how many times the usual time an engine takes: what it reports, or else what events tell.
func (c *Chooser) slowness(now time.Time, id string) float64 {
	if reported, ok := c.reported(now, id); ok {
		return reported
	}
	return c.load(id).speed.inferred(now)
}

// Report is what an engine says of itself.
type Report struct {
	// Slowness is how many times the usual time its work takes.
	Slowness float64
	// KVUsed is the memory that requests hold, in tokens times layers.
	KVUsed float64
}

// Reported notes what an engine says of itself.
func (c *Chooser) Reported(now time.Time, id string, report Report) {
	held := c.load(id)
	held.health.answered()
	held.speed.reported, held.speed.reportedAt, held.speed.doubts = min(max(report.Slowness, 1), maxSlow), now, 0
	for _, server := range c.servers {
		if server.ID == id {
			c.learnUse(now, server, report.KVUsed)
		}
	}
}

// FirstEventDelayed notes that a request on the path has waited unusually long for its first event.
func (c *Chooser) FirstEventDelayed(path Path) {
	for _, stage := range path {
		c.load(stage.Server.ID).speed.doubts++
	}
}

// inDoubt reports whether an engine should be asked now: one that did not answer, or one whose speed nobody has told lately.
func (c *Chooser) inDoubt(now time.Time, id string, held *load) bool {
	if !held.health.dead.IsZero() {
		return now.Sub(held.health.dead) >= reaskDead && now.Sub(held.speed.asked) >= reaskDead
	}
	if !held.speed.doubtful(now) {
		return false
	}
	if now.Sub(held.speed.reportedAt) < reportMemory {
		return true
	}
	_, told := c.reported(now, id)
	return !told
}

// NextProbes returns up to so many engines that should be asked for a report now, the most doubtful first, and counts them as
// asked.
func (c *Chooser) NextProbes(now time.Time, most int) (doubtful []backend.Server) {
	for _, server := range c.servers {
		if held := c.loads[server.ID]; held != nil && c.inDoubt(now, server.ID, held) {
			doubtful = append(doubtful, server)
		}
	}
	slices.SortFunc(doubtful, func(a, b backend.Server) int {
		return cmp.Compare(c.loads[b.ID].speed.doubts, c.loads[a.ID].speed.doubts)
	})
	doubtful = doubtful[:min(len(doubtful), most)]
	for _, server := range doubtful {
		c.loads[server.ID].speed.asked = now
	}
	return doubtful
}
