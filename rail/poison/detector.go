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
	config   Config
	survived map[string]time.Time // when an engine last survived a prompt with the part
	crashes  []seenCrash
	index    crashIndex
	told     nameSets          // parts by engine, which were reported as cleared of its crash
	reports  map[string]Report // by instance, also of a previous incarnation of this one
	adopted  bool              // whether the report of the previous incarnation, or an own one, was adopted
}

// seenCrash is a crash that this instance saw.
type seenCrash struct {
	Crash
	at time.Time
}

// add adds parts and returns the new ones for which there was room.
func (c *seenCrash) add(parts []string) (added []string) {
	for _, part := range parts {
		if len(c.Parts) < maxParts && !slices.Contains(c.Parts, part) {
			c.Parts = append(c.Parts, part)
			added = append(added, part)
		}
	}
	return added
}

// New returns a Detector with the given configuration.
func New(config Config) *Detector {
	return &Detector{config: config, survived: make(map[string]time.Time), index: newCrashIndex(), told: make(nameSets)}
}

// Survived records that an engine has not crashed under a prompt with the parts.
func (d *Detector) Survived(now time.Time, parts []string) {
	for _, part := range parts {
		d.survived[part] = now
		for engine := range d.index.listed[part] {
			d.clearIfSurvived(engine, part)
		}
	}
	if len(d.survived) > maxSurvived {
		d.forgetSurvived(now)
	}
}

// clearIfSurvived clears a part of a crash if an engine has survived it shortly before the crash became known, or later.
func (d *Detector) clearIfSurvived(engine, part string) {
	if survived, ok := d.survived[part]; ok && !survived.Before(d.index.learnedAt[engine].Add(-clearMargin)) {
		d.index.clear(engine, part)
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
	d.learn(now, engine, d.seen(now, engine).add(parts))
}

// seen returns the crash of an engine as this instance saw it, without parts if it is new. The oldest crash makes room for a new one.
func (d *Detector) seen(now time.Time, engine string) *seenCrash {
	i := slices.IndexFunc(d.crashes, func(c seenCrash) bool { return c.Engine == engine })
	if i >= 0 {
		return &d.crashes[i]
	}
	if len(d.crashes) == maxCrashes {
		d.forget(d.crashes[0].Crash)
		d.crashes = d.crashes[1:]
	}
	d.crashes = append(d.crashes, seenCrash{Crash: Crash{Engine: engine}, at: now})
	return &d.crashes[len(d.crashes)-1]
}

// learn adds parts of a crash that a report lists, and clears those of the new ones that an engine has survived.
func (d *Detector) learn(now time.Time, engine string, parts []string) {
	for _, part := range d.index.add(now, engine, parts) {
		d.clearIfSurvived(engine, part)
	}
}

// forget removes the parts of a crash that a report no longer lists.
func (d *Detector) forget(crash Crash) {
	d.index.remove(crash.Engine, crash.Parts)
	if d.index.reports[crash.Engine] == nil {
		delete(d.told, crash.Engine)
	}
}

// SetReports replaces the reports of all instances, by their names. Neither the map nor the reports may be changed afterwards. A report
// that is the same slices as before costs nothing.
func (d *Detector) SetReports(now time.Time, reports map[string]Report) {
	previous := d.reports
	d.reports = reports
	for name, report := range reports {
		if name != d.config.Name && !report.sharesContent(previous[name]) {
			d.addReport(now, report)
		}
	}
	for name, report := range previous {
		if name != d.config.Name && !report.sharesContent(reports[name]) {
			d.removeReport(report)
		}
	}
	if own, ok := reports[d.config.Name]; ok && !d.adopted {
		d.adopt(now, own)
	}
}

func (d *Detector) addReport(now time.Time, report Report) {
	for _, crash := range report.Crashes {
		d.learn(now, crash.Engine, crash.Parts)
	}
	for _, crash := range report.Cleared {
		d.index.addClears(crash.Engine, crash.Parts, 1)
	}
}

func (d *Detector) removeReport(report Report) {
	for _, crash := range report.Cleared {
		d.index.addClears(crash.Engine, crash.Parts, -1)
	}
	for _, crash := range report.Crashes {
		d.forget(crash)
	}
}

// adopt takes over what a previous incarnation of this instance has told.
func (d *Detector) adopt(now time.Time, previous Report) {
	d.adopted = true
	for _, crash := range previous.Crashes {
		d.learn(now, crash.Engine, d.seen(now, crash.Engine).add(crash.Parts))
	}
	for _, crash := range previous.Cleared {
		for _, part := range crash.Parts {
			d.told.add(crash.Engine, part)
			d.index.clear(crash.Engine, part)
		}
	}
}

// Report returns what this instance has to tell the others, which includes what its previous incarnation told.
func (d *Detector) Report(now time.Time) (report Report) {
	d.crashes = slices.DeleteFunc(d.crashes, func(c seenCrash) bool {
		expired := now.Sub(c.at) > ReportTTL
		if expired {
			d.forget(c.Crash)
		}
		return expired
	})
	for _, crash := range d.crashes {
		report.Crashes = append(report.Crashes, crash.Crash)
	}
	report.Cleared = d.clearedHere()
	return report
}

// clearedHere returns the parts that this instance clears of crashes for the others: those that are close to being poisoned
// without that, unless another instance has cleared them before. What has been told once stays.
func (d *Detector) clearedHere() (cleared []Crash) {
	for part, engines := range d.index.cleared {
		if len(d.index.listed[part]) < d.config.MinCrashes {
			continue
		}
		open := d.index.unclearedElsewhere(part)
		if len(open) < d.config.MinCrashes {
			continue
		}
		for _, engine := range open {
			if engines[engine] {
				d.told.add(engine, part)
			}
		}
	}
	for _, engine := range slices.Sorted(maps.Keys(d.told)) {
		if d.index.reports[engine] != nil {
			cleared = append(cleared, Crash{Engine: engine, Parts: slices.Sorted(maps.Keys(d.told[engine]))})
		}
	}
	return cleared
}

// Blocked returns a poisoned part because of which a request with the parts must not be sent, and false if there is none. If
// other parts explain all crashes of the poisoned part as well, only a request that has these too is blocked: which of them
// causes the crashes is not known yet, and most requests have but one.
func (d *Detector) Blocked(now time.Time, parts []string) (part string, ok bool) {
	missing := func(companion string) bool { return !slices.Contains(parts, companion) }
	for _, part := range parts {
		if d.isPoisoned(now, part) && !slices.ContainsFunc(d.index.companions(part), missing) {
			return part, true
		}
	}
	return "", false
}

// isPoisoned reports whether so many engines crashed under a part that requests with it are blocked now.
func (d *Detector) isPoisoned(now time.Time, part string) bool {
	engines := d.index.suspected[part]
	if len(engines) < d.config.MinCrashes {
		return false
	}
	until := d.suspectedUntil(engines)
	return until.IsZero() || !now.After(until)
}

// suspectedUntil returns when a part is no longer blocked under which the engines crashed, or zero if it stays blocked.
func (d *Detector) suspectedUntil(engines map[string]bool) (until time.Time) {
	if len(engines) >= confirmingCrashes {
		return until
	}
	for engine := range engines {
		if end := d.index.learnedAt[engine].Add(suspicionTTL); end.After(until) {
			until = end
		}
	}
	return until
}
