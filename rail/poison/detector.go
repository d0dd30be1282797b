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
	// fewer, which may be a coincidence, it is blocked for suspicionTTL after the last one; also if the cause is in doubt.
	confirmingCrashes = 3
	// suspicionTTL is how long a part with fewer crashes is blocked.
	suspicionTTL = 10 * time.Second
	// ReportTTL is how long a crash counts.
	ReportTTL = 5 * time.Minute
	// clearMargin is how long before a crash became known an engine may have survived the parts that this clears of the crash.
	clearMargin = 3 * time.Second
	// maxCrashes is the maximum number of crashes in a report; old ones are left out.
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
	// IsExplained reports whether the cause of an engine's crash is known from other evidence, so that the others need not be told of
	// it. Nil means that it never is, and that crashes are reported at once.
	IsExplained func(now time.Time, engine string) bool
	// IsOutweighed reports whether other evidence explains all crashes of the engines and besides, by something that a request with the
	// given other parts does not have. Nil means that there is none.
	IsOutweighed func(engines map[string]bool, others []string) bool
	// IsInDoubt reports whether other evidence explains all crashes of the engines, so that a part is blocked for suspicionTTL after the
	// last one only, however many they are. Nil means that there never is.
	IsInDoubt func(engines map[string]bool) bool
	// WholeRequests means that each part is the digest of a request, so that a request has no other part which explains its crashes.
	WholeRequests bool
	// MayBeExplained reports whether other evidence of an engine's crash is known, so that the others are told of requests whose
	// answers had begun later; nil means that there never is.
	MayBeExplained func(engine string) bool
}

// Detector decides which requests are blocked, from what this instance saw and from the other instances' reports. Its methods
// must not be called concurrently.
type Detector struct {
	config   Config
	survived map[string]time.Time // when an engine last survived a prompt with the part
	crashes  []seenCrash
	heard    []heardCrash
	index    crashIndex
	told     nameSets             // parts by engine, which were reported as cleared of its crash
	reports  map[string]Report    // by instance, also of a previous incarnation of this one
	adopted  bool                 // whether the report of the previous incarnation, or an own one, was adopted
	clearAt  map[string]time.Time // when to report a part that is cleared, not told yet and close to being poisoned
	vouched  map[string]time.Time // when another instance last cleared the part of a crash
}

// seenCrash is a crash that this instance saw.
type seenCrash struct {
	Crash
	at       time.Time
	reported []string // the parts that were reported
	begun    []string // the requests whose answers had begun

	promptParts map[string][]string // by request, the parts of its prompt
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
	return &Detector{
		config: config, survived: make(map[string]time.Time), index: newCrashIndex(), told: make(nameSets), vouched: make(map[string]time.Time),
	}
}

// Survived records that an engine has not crashed under a prompt with the parts.
func (d *Detector) Survived(now time.Time, parts []string) {
	for _, part := range parts {
		d.survived[part] = now
		for engine := range d.index.listed[part] {
			d.clearIfSurvived(engine, part)
		}
	}
	forgetSurvived(now, d.survived)
}

// clearIfSurvived clears a part of a crash if an engine has survived it shortly before the crash became known, or later.
func (d *Detector) clearIfSurvived(engine, part string) {
	if survived, ok := d.survived[part]; ok && !survived.Before(d.index.learnedAt[engine].Add(-clearMargin)) {
		d.index.clear(engine, part)
	}
}

// forgetSurvived removes the parts that were survived too long ago to be cleared of a new crash if there are more than maxSurvived, or
// all of them if that does not make much room.
func forgetSurvived(now time.Time, survived map[string]time.Time) {
	if len(survived) <= maxSurvived {
		return
	}
	maps.DeleteFunc(survived, func(_ string, at time.Time) bool { return now.Sub(at) > clearMargin })
	if len(survived) > maxSurvived*3/4 {
		clear(survived)
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

// seen returns the crash of an engine as this instance saw it, without parts if it is new. An old crash makes room for a new one.
func (d *Detector) seen(now time.Time, engine string) *seenCrash {
	i := slices.IndexFunc(d.crashes, func(c seenCrash) bool { return c.Engine == engine })
	if i >= 0 {
		return &d.crashes[i]
	}
	if len(d.crashes) == maxCrashes {
		i = d.dispensable(len(d.crashes), func(i int) Crash { return d.crashes[i].Crash })
		d.forget(d.crashes[i].Crash)
		d.crashes = slices.Delete(d.crashes, i, i+1)
	}
	d.crashes = append(d.crashes, seenCrash{Crash: Crash{Engine: engine}, at: now})
	return &d.crashes[len(d.crashes)-1]
}

// dispensable returns which of a number of crashes, oldest first, makes room for a new one: the oldest of the first half of which no
// part is suspected of another crash as well, or else the oldest. Crashes that block a part, or soon may, thus outlast others.
func (d *Detector) dispensable(crashes int, crash func(i int) Crash) int {
	for i := range crashes / 2 {
		candidate := crash(i)
		isNeeded := func(part string) bool {
			return d.index.suspected[part][candidate.Engine] && d.isSuspectedElsewhere(part, candidate.Engine)
		}
		if !slices.ContainsFunc(candidate.Parts, isNeeded) {
			return i
		}
	}
	return 0
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
		for _, part := range d.index.addClears(crash.Engine, crash.Parts) {
			d.vouched[part] = now
		}
	}
	forgetSurvived(now, d.vouched)
}

func (d *Detector) removeReport(report Report) {
	for _, crash := range report.Cleared {
		d.index.removeClears(crash.Engine, crash.Parts)
	}
	for _, crash := range report.Crashes {
		d.forget(crash)
	}
}

// adopt takes over what a previous incarnation of this instance has told.
func (d *Detector) adopt(now time.Time, previous Report) {
	d.adopted = true
	for _, crash := range previous.Crashes {
		seen := d.seen(now, crash.Engine)
		seen.reported = slices.Clone(crash.Parts)
		d.learn(now, crash.Engine, seen.add(crash.Parts))
	}
	for _, crash := range previous.Cleared {
		for _, part := range crash.Parts {
			d.told.add(crash.Engine, part)
			d.index.clearUntil(crash.Engine, part)
		}
	}
}

// Report returns what this instance has to tell the others, which includes what its previous incarnation told. The number of live
// instances, this one included, decides how long it waits for others to clear a part.
func (d *Detector) Report(now time.Time, instances int) (report Report) {
	d.forgetHeard(now)
	d.crashes = slices.DeleteFunc(d.crashes, func(c seenCrash) bool {
		expired := now.Sub(c.at) > ReportTTL
		if expired {
			d.forget(c.Crash)
		}
		return expired
	})
	for i := range d.crashes {
		if parts := d.reportParts(now, &d.crashes[i], instances); len(parts) > 0 {
			report.Crashes = append(report.Crashes, Crash{Engine: d.crashes[i].Engine, Parts: parts})
		}
	}
	report.Cleared = d.clearedHere(now, instances)
	return report
}

// reportParts returns the parts of a crash that the others are told: those that were told before, and those that no answer clears here,
// nor elsewhere of a crash at that time.
func (d *Detector) reportParts(now time.Time, crash *seenCrash, instances int) (parts []string) {
	if d.config.WholeRequests {
		return d.reportRequests(now, crash, instances)
	}
	if d.config.IsExplained != nil && len(crash.reported) == 0 {
		if now.Sub(crash.at) < answerReportDelay(d.config.Name, crash.Engine, instances) || d.config.IsExplained(now, crash.Engine) {
			return nil
		}
	}
	for _, part := range crash.Parts {
		if !d.isCleared(crash, part) && !slices.Contains(crash.reported, part) {
			crash.reported = append(crash.reported, part)
		}
	}
	return crash.reported
}

// isCleared reports whether an answer seen here clears a part of a crash, or an answer elsewhere one of a crash at that time.
func (d *Detector) isCleared(crash *seenCrash, part string) bool {
	vouchedAt, vouched := d.vouched[part]
	return vouched && crash.at.Sub(vouchedAt) <= clearMargin || d.index.cleared[part][crash.Engine]
}

// explains reports whether a part is known under which the engine crashed, as did most others lately.
func (d *Detector) explains(now time.Time, engine string) bool {
	lately := 0
	for _, at := range d.index.learnedAt {
		if now.Sub(at) <= suspicionTTL {
			lately++
		}
	}
	for part := range d.index.reports[engine] {
		engines := d.index.suspected[part]
		if engines[engine] && len(engines) >= max(d.config.MinCrashes, lately/2) {
			return true
		}
	}
	return false
}

// clearedHere returns the parts that this instance clears of crashes for the others: those that are close to being poisoned
// without that, unless another instance has cleared them before. What has been told once stays.
func (d *Detector) clearedHere(now time.Time, instances int) (cleared []Crash) {
	waiting := make(map[string]time.Time)
	for part, engine := range d.untold() {
		at, ok := d.clearAt[part]
		if !ok {
			at = now.Add(clearDelay(d.config.Name, part, instances))
		}
		if now.Before(at) {
			waiting[part] = at
			continue
		}
		d.told.add(engine, part)
	}
	d.clearAt = waiting
	for _, engine := range slices.Sorted(maps.Keys(d.told)) {
		if d.index.reports[engine] != nil {
			cleared = append(cleared, Crash{Engine: engine, Parts: slices.Sorted(maps.Keys(d.told[engine]))})
		}
	}
	return cleared
}

// untold returns, for each part that answers seen here clear and that is close to being poisoned, the engine whose crash became known
// last of those that neither this instance nor another has told to be cleared of it: that tells the same of the ones before.
func (d *Detector) untold() (engineByPart map[string]string) {
	engineByPart = make(map[string]string)
	for part, engines := range d.index.cleared {
		if len(d.index.listed[part]) < d.config.MinCrashes {
			continue
		}
		open := d.index.unclearedElsewhere(part)
		if len(open) < d.config.MinCrashes {
			continue
		}
		open = slices.DeleteFunc(open, func(engine string) bool { return !engines[engine] })
		if last := d.index.lastLearned(open); last != "" && !d.told[last][part] {
			engineByPart[part] = last
		}
	}
	return engineByPart
}

// Blocked returns a poisoned part because of which a request with the parts must not be sent, and false if there is none. If
// other parts explain all crashes of the poisoned part as well, only a request that has these too is blocked: which of them
// causes the crashes is not known yet, and most requests have but one.
func (d *Detector) Blocked(now time.Time, parts []string) (part string, ok bool) {
	for _, part := range parts {
		if d.isPoisoned(now, part) && !d.hasOtherCause(part, parts) {
			return part, true
		}
	}
	return "", false
}

// hasOtherCause reports whether something else than a poisoned part, which a request with the parts does not have, may explain its
// crashes.
func (d *Detector) hasOtherCause(poisoned string, parts []string) bool {
	missing := func(companion string) bool { return !slices.Contains(parts, companion) }
	return slices.ContainsFunc(d.index.companions(poisoned), missing) || d.isOutweighedElsewhere(poisoned, nil)
}

// isOutweighedElsewhere reports whether other evidence explains all crashes of a part and besides, by something that a request with the
// other parts does not have.
func (d *Detector) isOutweighedElsewhere(part string, others []string) bool {
	return d.config.IsOutweighed != nil && d.config.IsOutweighed(d.index.suspected[part], others)
}

// isPoisoned reports whether so many engines crashed under a part that requests with it are blocked now.
func (d *Detector) isPoisoned(now time.Time, part string) bool {
	engines := d.unexplained(now, part)
	if len(engines) < d.config.MinCrashes {
		return false
	}
	until := d.suspectedUntil(engines)
	return until.IsZero() || !now.After(until)
}

// unexplained returns the engines that crashed under a suspected part and whose crashes have no known cause.
func (d *Detector) unexplained(now time.Time, part string) (engines map[string]bool) {
	suspected := d.index.suspected[part]
	if d.config.IsExplained == nil || len(suspected) < d.config.MinCrashes {
		return suspected
	}
	engines = make(map[string]bool, len(suspected))
	for engine := range suspected {
		if !d.config.IsExplained(now, engine) {
			engines[engine] = true
		}
	}
	return engines
}

// suspectedUntil returns when a part is no longer blocked under which the engines crashed, or zero if it stays blocked.
func (d *Detector) suspectedUntil(engines map[string]bool) (until time.Time) {
	isInDoubt := d.config.IsInDoubt != nil && d.config.IsInDoubt(engines)
	if len(engines) >= confirmingCrashes && !isInDoubt {
		return until
	}
	for engine := range engines {
		if end := d.index.learnedAt[engine].Add(suspicionTTL); end.After(until) {
			until = end
		}
	}
	return until
}
