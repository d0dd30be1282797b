package poison

import (
	"maps"
	"slices"
	"time"
)

// Times and limits of a Detector.
const (
	// MinCrashes is the number of engines that must have crashed under a part before an answer began, so that requests with it are
	// blocked.
	MinCrashes = 2
	// confirmingCrashes is the number of such engines from which on the part stays blocked as long as the crashes count. With
	// fewer, which may be a coincidence, it is blocked for suspicionTTL after the last one.
	confirmingCrashes = 3
	// suspicionTTL is how long a part with fewer crashes is blocked.
	suspicionTTL = 10 * time.Second
	// ReportTTL is how long a crash counts.
	ReportTTL = 5 * time.Minute
	// clearMargin is how long before a crash became known an engine may have survived the parts that this clears of the crash.
	clearMargin = 3 * time.Second
	// maxCrashes is the maximum number of crashes in a report; the oldest are left out.
	maxCrashes = 32
	// maxParts is the maximum number of parts in a crash.
	maxParts = 32
	// maxSurvived is the maximum number of parts for which it is kept when an engine survived them.
	maxSurvived = 8192
)

// Config configures a Detector.
type Config struct {
	// Name is the name of this instance.
	Name string
	// MinCrashes is the number of engines that must have crashed under a part before requests with it are blocked.
	MinCrashes int
}

// Detector decides which requests are blocked, from what this instance saw and from the other instances' reports. Its methods
// must not be called concurrently.
type Detector struct {
	config    Config
	survived  map[string]time.Time // when an engine last survived a prompt with the part
	crashes   []seenCrash
	heard     []heardCrash
	learnedAt map[string]time.Time // when each crash became known, by engine
	known     nameSets             // parts by engine, of all crashes
	cleared   nameSets             // parts by engine, which answers seen here clear of its crash
	told      nameSets             // what of cleared was reported
	reports   map[string]Report    // by instance, also of a previous incarnation of this one
	adopted   bool                 // whether the report of the previous incarnation, or an own one, was adopted
	suspected nameSets             // engines by part, which has not been cleared of their crashes
	poisoned  map[string]verdict   // by part
}

// verdict is what is known of a poisoned part.
type verdict struct {
	companions []string  // the other parts under which all the engines crashed that crashed under it
	until      time.Time // when it is no longer blocked, zero if it stays blocked
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

// nameSets holds a set of names for each name.
type nameSets map[string]map[string]bool

func (n nameSets) add(key string, names ...string) {
	if n[key] == nil {
		n[key] = make(map[string]bool)
	}
	for _, name := range names {
		n[key][name] = true
	}
}

// crash returns the parts of an engine's crash in order.
func (n nameSets) crash(engine string) Crash {
	return Crash{Engine: engine, Parts: slices.Sorted(maps.Keys(n[engine]))}
}

// New returns a Detector with the given configuration.
func New(config Config) *Detector {
	return &Detector{config: config, survived: make(map[string]time.Time), learnedAt: make(map[string]time.Time), cleared: make(nameSets), told: make(nameSets)}
}

// Survived records that an engine has not crashed under a prompt with the parts.
func (d *Detector) Survived(now time.Time, parts []string) {
	suspected := false
	for _, part := range parts {
		d.survived[part] = now
		suspected = suspected || d.suspected[part] != nil
	}
	if len(d.survived) > maxSurvived {
		d.forgetSurvived(now)
	}
	if suspected {
		d.update(now)
	}
}

// forgetSurvived removes the parts that were survived too long ago to be cleared of a new crash, or all of them if that does not make
// room.
func (d *Detector) forgetSurvived(now time.Time) {
	maps.DeleteFunc(d.survived, func(_ string, at time.Time) bool { return now.Sub(at) > clearMargin })
	if len(d.survived) > maxSurvived {
		clear(d.survived)
	}
}

// Crashed records that an engine may have crashed under a prompt with the parts. Parts that an engine has just survived are left out,
// so that they take no room from the others.
func (d *Detector) Crashed(now time.Time, engine string, parts []string) {
	parts = slices.DeleteFunc(slices.Clone(parts), func(part string) bool {
		at, ok := d.survived[part]
		return ok && now.Sub(at) <= clearMargin
	})
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
	if previous, ok := reports[d.config.Name]; ok && !d.adopted {
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
	elsewhere := d.clearedBy(func(name string) bool { return name != d.config.Name })
	for part, engines := range uncleared(d.known, elsewhere) {
		if len(engines) < d.config.MinCrashes {
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
func (d *Detector) clearedBy(chosen func(name string) bool) (cleared nameSets) {
	cleared = make(nameSets)
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
func uncleared(known, cleared nameSets) (engines nameSets) {
	engines = make(nameSets)
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
func (d *Detector) Blocked(now time.Time, parts []string) (part string, ok bool) {
	missing := func(companion string) bool { return !slices.Contains(parts, companion) }
	for _, part := range parts {
		v, poisoned := d.poisoned[part]
		expired := !v.until.IsZero() && now.After(v.until)
		if poisoned && !expired && !slices.ContainsFunc(v.companions, missing) {
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
			if survived, ok := d.survived[part]; ok && !survived.Before(d.learnedAt[engine].Add(-clearMargin)) {
				d.cleared.add(engine, part)
			}
		}
	}
	cleared := d.clearedBy(func(string) bool { return true })
	for engine := range d.cleared {
		cleared.add(engine, d.cleared.crash(engine).Parts...)
	}
	d.suspected = uncleared(d.known, cleared)
	d.poisoned = make(map[string]verdict)
	for part, engines := range d.suspected {
		if len(engines) >= d.config.MinCrashes {
			d.poisoned[part] = verdict{companions: d.companions(part), until: d.suspectedUntil(engines)}
		}
	}
}

// knownCrashes returns the crashes that this instance saw, heard of, and those that are reported, and keeps when each became known.
func (d *Detector) knownCrashes(now time.Time) (known nameSets) {
	d.forgetHeard(now)
	known = make(nameSets)
	for _, crash := range d.crashes {
		known.add(crash.Engine, crash.Parts...)
	}
	for _, crash := range d.heard {
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

// suspectedUntil returns when a part is no longer blocked under which the engines crashed, or zero if it stays blocked.
func (d *Detector) suspectedUntil(engines map[string]bool) (until time.Time) {
	if len(engines) >= confirmingCrashes {
		return until
	}
	for engine := range engines {
		if end := d.learnedAt[engine].Add(suspicionTTL); end.After(until) {
			until = end
		}
	}
	return until
}

// companions returns the other parts under which all the engines crashed that crashed under the part.
func (d *Detector) companions(part string) (others []string) {
	for other, engines := range d.suspected {
		if other != part && containsAll(engines, d.suspected[part]) {
			others = append(others, other)
		}
	}
	return others
}

func containsAll(set, subset map[string]bool) bool {
	for key := range subset {
		if !set[key] {
			return false
		}
	}
	return true
}
