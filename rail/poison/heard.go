package poison

import (
	"slices"
	"time"
)

// maxHeard is the maximum number of crashes that a Detector keeps as heard; old ones are left out.
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
	d.forgetHeard(now)
	for _, crash := range crashes {
		d.learn(now, crash.Engine, d.hear(now, from, crash.Engine).add(crash.Parts))
	}
}

// hear returns the crash of an engine as another instance told it, without parts if it is new. An old crash makes room for a new
// one.
func (d *Detector) hear(now time.Time, from, engine string) *seenCrash {
	i := slices.IndexFunc(d.heard, func(c heardCrash) bool { return c.from == from && c.Engine == engine })
	if i >= 0 {
		return &d.heard[i].seenCrash
	}
	if len(d.heard) == maxHeard {
		i = d.dispensable(len(d.heard), func(i int) Crash { return d.heard[i].Crash })
		d.forget(d.heard[i].Crash)
		d.heard = slices.Delete(d.heard, i, i+1)
	}
	d.heard = append(d.heard, heardCrash{from: from, seenCrash: seenCrash{Crash: Crash{Engine: engine}, at: now}})
	return &d.heard[len(d.heard)-1].seenCrash
}

// forgetHeard removes the heard crashes that no longer count.
func (d *Detector) forgetHeard(now time.Time) {
	d.heard = slices.DeleteFunc(d.heard, func(c heardCrash) bool {
		expired := now.Sub(c.at) > ReportTTL
		if expired {
			d.forget(c.Crash)
		}
		return expired
	})
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
