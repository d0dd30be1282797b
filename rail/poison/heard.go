package poison

import (
	"slices"
	"time"
)

// maxHeard is the maximum number of crashes that a Detector keeps as heard; the oldest are left out.
const maxHeard = 256

// heardCrash is a crash of which another instance told at once, before its report was known.
type heardCrash struct {
	from string
	seenCrash
}

// Heard records crashes of which another instance tells at once. They count like those of its report, which follows.
func (d *Detector) Heard(now time.Time, from string, crashes []Crash) {
	if from == d.config.Name {
		return
	}
	changed := false
	for _, crash := range crashes {
		changed = d.hear(now, from, crash) || changed
	}
	if changed {
		d.update(now)
	}
}

// hear adds a heard crash and reports whether it has a new part.
func (d *Detector) hear(now time.Time, from string, crash Crash) (added bool) {
	same := func(c heardCrash) bool { return c.from == from && c.Engine == crash.Engine }
	i := slices.IndexFunc(d.heard, same)
	if i < 0 {
		d.heard = append(d.heard, heardCrash{from: from, seenCrash: seenCrash{Crash: Crash{Engine: crash.Engine}, at: now}})
		d.heard = d.heard[max(len(d.heard)-maxHeard, 0):]
		i = len(d.heard) - 1
	}
	return d.heard[i].add(crash.Parts)
}

// forgetHeard removes the heard crashes that no longer count.
func (d *Detector) forgetHeard(now time.Time) {
	d.heard = slices.DeleteFunc(d.heard, func(c heardCrash) bool { return now.Sub(c.at) > ReportTTL })
}

// SeenCrash returns the crash of the engine as this instance saw it, and false if it saw none.
func (d *Detector) SeenCrash(engine string) (crash Crash, ok bool) {
	for _, c := range d.crashes {
		if c.Engine == engine {
			return Crash{Engine: engine, Parts: slices.Clone(c.Parts)}, true
		}
	}
	return Crash{}, false
}
