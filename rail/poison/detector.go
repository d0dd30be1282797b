package poison

import (
	"maps"
	"slices"
	"time"
)

// Times and limits of a Detector.
const (
	// MinCrashes is the number of engines that must have crashed under a part before it is poisoned.
	MinCrashes = 3
	// ReportTTL is how long a crash counts.
	ReportTTL = 5 * time.Minute
	// clearMargin is how long before a crash became known an answer may have begun that clears its parts of the crash.
	clearMargin = 3 * time.Second
	// maxCrashes is the maximum number of crashes in a report; the oldest are left out.
	maxCrashes = 32
	// maxParts is the maximum number of parts in a crash.
	maxParts = 16
	// maxBegun is the maximum number of parts for which the begin of an answer is kept.
	maxBegun = 8192
)

// Detector decides which requests are blocked, from what this instance saw and from the other instances' reports. Its methods
// must not be called concurrently.
type Detector struct {
	self       string
	begun      map[string]time.Time // when an answer to a prompt with the part last began
	crashes    []seenCrash
	learnedAt  map[string]time.Time // when each crash became known, by engine
	known      nested               // parts by engine, of all crashes
	cleared    nested               // parts by engine, which answers seen here clear of its crash
	told       nested               // what of cleared was reported
	reports    map[string]Report    // by instance, also of a previous incarnation of this one
	adopted    bool                 // whether the report of the previous incarnation, or an own one, was adopted
	suspected  nested               // engines by part, which has not been cleared of their crashes
	companions map[string][]string  // by poisoned part: the parts that explain all its crashes as well
}

// seenCrash is a crash that this instance saw.
type seenCrash struct {
	Crash
	at time.Time
}

// add adds parts and reports whether there was a new one and room for it.
func (c *seenCrash) add(parts []string) (added bool) {
	for _, part := range parts {
		if len(c.Parts) < maxParts && !slices.Contains(c.Parts, part) {
			c.Parts = append(c.Parts, part)
			added = true
		}
	}
	return added
}

// nested holds a set of names for each name.
type nested map[string]map[string]bool

func (n nested) add(key string, names ...string) {
	if n[key] == nil {
		n[key] = make(map[string]bool)
	}
	for _, name := range names {
		n[key][name] = true
	}
}

// crash returns the parts of an engine's crash in order.
func (n nested) crash(engine string) Crash {
	return Crash{Engine: engine, Parts: slices.Sorted(maps.Keys(n[engine]))}
}

// New returns a Detector of the instance with the name.
func New(self string) *Detector {
	return &Detector{self: self, begun: make(map[string]time.Time), learnedAt: make(map[string]time.Time), cleared: make(nested), told: make(nested)}
}

// Began records that an answer to a prompt with the parts has begun.
func (d *Detector) Began(now time.Time, parts []string) {
	suspected := false
	for _, part := range parts {
		d.begun[part] = now
		suspected = suspected || d.suspected[part] != nil
	}
	if len(d.begun) > maxBegun {
		maps.DeleteFunc(d.begun, func(_ string, at time.Time) bool { return now.Sub(at) > clearMargin })
	}
	if suspected {
		d.update(now)
	}
}

// Crashed records that an engine has crashed while a request with the parts was waiting for the begin of its answer.
func (d *Detector) Crashed(now time.Time, engine string, parts []string) {
	i := slices.IndexFunc(d.crashes, func(c seenCrash) bool { return c.Engine == engine })
	if i < 0 {
		d.crashes = append(d.crashes, seenCrash{Crash: Crash{Engine: engine}, at: now})
		d.crashes = d.crashes[max(len(d.crashes)-maxCrashes, 0):]
		i = len(d.crashes) - 1
	}
	if d.crashes[i].add(parts) {
		d.update(now)
	}
}

// SetReports replaces the reports of all instances, by their names.
func (d *Detector) SetReports(now time.Time, reports map[string]Report) {
	d.reports = reports
	if previous, ok := reports[d.self]; ok && !d.adopted {
		d.adopt(now, previous)
	}
	d.update(now)
}

// adopt takes over what a previous incarnation of this instance has told.
func (d *Detector) adopt(now time.Time, previous Report) {
	d.adopted = true
	for _, crash := range previous.Crashes {
		if !slices.ContainsFunc(d.crashes, func(c seenCrash) bool { return c.Engine == crash.Engine }) {
			d.crashes = append(d.crashes, seenCrash{Crash: crash, at: now})
		}
	}
	d.crashes = d.crashes[max(len(d.crashes)-maxCrashes, 0):]
	for _, crash := range previous.Cleared {
		d.told.add(crash.Engine, crash.Parts...)
	}
}

// Report returns what this instance has to tell the others, which includes what its previous incarnation told.
func (d *Detector) Report(now time.Time) (report Report) {
	d.crashes = slices.DeleteFunc(d.crashes, func(c seenCrash) bool { return now.Sub(c.at) > ReportTTL })
	for _, crash := range d.crashes {
		report.Crashes = append(report.Crashes, crash.Crash)
	}
	report.Cleared = d.clearedHere()
	return report
}

// clearedHere returns the parts that this instance clears of crashes for the others: those that are close to being poisoned
// without that, unless another instance has cleared them before. What has been told once stays.
func (d *Detector) clearedHere() (cleared []Crash) {
	elsewhere := d.clearedBy(func(name string) bool { return name != d.self })
	for part, engines := range uncleared(d.known, elsewhere) {
		if len(engines) < MinCrashes-1 {
			continue
		}
		for engine := range engines {
			if d.cleared[engine][part] {
				d.told.add(engine, part)
			}
		}
	}
	for _, engine := range slices.Sorted(maps.Keys(d.told)) {
		if d.known[engine] != nil {
			cleared = append(cleared, d.told.crash(engine))
		}
	}
	return cleared
}

// clearedBy returns the parts that the reports of the chosen instances clear of crashes.
func (d *Detector) clearedBy(chosen func(name string) bool) (cleared nested) {
	cleared = make(nested)
	for name, report := range d.reports {
		for _, crash := range report.Cleared {
			if chosen(name) {
				cleared.add(crash.Engine, crash.Parts...)
			}
		}
	}
	return cleared
}

// uncleared returns the engines that crashed under each part and that the part is not cleared of.
func uncleared(known, cleared nested) (engines nested) {
	engines = make(nested)
	for engine, parts := range known {
		for part := range parts {
			if !cleared[engine][part] {
				engines.add(part, engine)
			}
		}
	}
	return engines
}

// Blocked returns a poisoned part because of which a request with the parts must not be sent, and false if there is none. If
// other parts explain all crashes of the poisoned part as well, only a request that has these too is blocked: which of them
// causes the crashes is not known yet, and most requests have but one.
func (d *Detector) Blocked(parts []string) (part string, ok bool) {
	for _, part := range parts {
		companions, poisoned := d.companions[part]
		missing := func(companion string) bool { return !slices.Contains(parts, companion) }
		if poisoned && !slices.ContainsFunc(companions, missing) {
			return part, true
		}
	}
	return "", false
}

// update recomputes which parts are suspected and which are poisoned.
func (d *Detector) update(now time.Time) {
	d.known = d.knownCrashes(now)
	for engine, parts := range d.known {
		for part := range parts {
			if begun, ok := d.begun[part]; ok && !begun.Before(d.learnedAt[engine].Add(-clearMargin)) {
				d.cleared.add(engine, part)
			}
		}
	}
	cleared := d.clearedBy(func(string) bool { return true })
	for engine := range d.cleared {
		cleared.add(engine, d.cleared.crash(engine).Parts...)
	}
	d.suspected = uncleared(d.known, cleared)
	d.companions = findCompanions(d.suspected)
}

// knownCrashes returns the crashes that this instance saw and those that are reported, and keeps when each became known.
func (d *Detector) knownCrashes(now time.Time) (known nested) {
	known = make(nested)
	for _, crash := range d.crashes {
		known.add(crash.Engine, crash.Parts...)
	}
	for _, report := range d.reports {
		for _, crash := range report.Crashes {
			known.add(crash.Engine, crash.Parts...)
		}
	}
	for engine := range known {
		if _, ok := d.learnedAt[engine]; !ok {
			d.learnedAt[engine] = now
		}
	}
	gone := func(engine string) bool { return known[engine] == nil }
	maps.DeleteFunc(d.learnedAt, func(engine string, _ time.Time) bool { return gone(engine) })
	maps.DeleteFunc(d.cleared, func(engine string, _ map[string]bool) bool { return gone(engine) })
	maps.DeleteFunc(d.told, func(engine string, _ map[string]bool) bool { return gone(engine) })
	return known
}

// findCompanions returns the poisoned parts, each with the other parts under which all the engines crashed that crashed under it.
func findCompanions(engines nested) (companions map[string][]string) {
	companions = make(map[string][]string)
	for part, crashed := range engines {
		if len(crashed) < MinCrashes {
			continue
		}
		companions[part] = nil
		for other, otherCrashed := range engines {
			if other != part && containsAll(otherCrashed, crashed) {
				companions[part] = append(companions[part], other)
			}
		}
	}
	return companions
}

func containsAll(set, subset map[string]bool) bool {
	for key := range subset {
		if !set[key] {
			return false
		}
	}
	return true
}
