package poison

import (
	"slices"
	"time"
)

// nameSets holds a set of names for each name.
type nameSets map[string]map[string]bool

func (n nameSets) add(key, name string) {
	if n[key] == nil {
		n[key] = make(map[string]bool)
	}
	n[key][name] = true
}

func (n nameSets) remove(key, name string) {
	delete(n[key], name)
	if len(n[key]) == 0 {
		delete(n, key)
	}
}

// nameCounts holds a number for each pair of names.
type nameCounts map[string]map[string]int

// add adds to the number of a pair and returns it. A number that becomes zero is removed.
func (n nameCounts) add(key, name string, change int) (count int) {
	if n[key] == nil {
		n[key] = make(map[string]int)
	}
	count = n[key][name] + change
	n[key][name] = count
	if count == 0 {
		delete(n[key], name)
	}
	if len(n[key]) == 0 {
		delete(n, key)
	}
	return count
}

// orderMargin is how much earlier an instance may know of a crash than of another one, if others know of them in the opposite order.
const orderMargin = 1500 * time.Millisecond

// crashIndex holds the crashes that all instances saw, and of which crashes each part has been cleared. A change costs as much as the
// crashes and parts that it is about, however many others there are.
type crashIndex struct {
	learnedAt map[string]time.Time // when each crash became known, by engine
	reports   nameCounts           // number of reports that list a part, by engine and part
	listed    nameSets             // engines by part, under which they may have crashed
	clears    nameCounts           // number of reports of other instances that clear a part, by engine and part
	cleared   nameSets             // engines by part, which answers seen here clear of their crashes
	suspected nameSets             // engines by part, which has not been cleared of their crashes

	// clearedUpTo holds the time by part up to which crashes became known that other instances clear it of: an answer that clears a
	// part of one crash clears it of those before.
	clearedUpTo map[string]time.Time
}

func newCrashIndex() crashIndex {
	return crashIndex{
		learnedAt: make(map[string]time.Time), reports: make(nameCounts), listed: make(nameSets), clears: make(nameCounts),
		cleared: make(nameSets), suspected: make(nameSets), clearedUpTo: make(map[string]time.Time),
	}
}

// add adds parts of a crash that a report lists. It returns those that no report listed before.
func (x *crashIndex) add(now time.Time, engine string, parts []string) (added []string) {
	for _, part := range parts {
		if x.reports.add(engine, part, 1) > 1 {
			continue
		}
		if _, ok := x.learnedAt[engine]; !ok {
			x.learnedAt[engine] = now
		}
		x.listed.add(part, engine)
		x.setSuspected(engine, part)
		if x.clears[engine][part] > 0 {
			x.clearUpTo(engine, part)
		}
		added = append(added, part)
	}
	return added
}

// remove removes parts of a crash that a report no longer lists.
func (x *crashIndex) remove(engine string, parts []string) {
	for _, part := range parts {
		if x.reports.add(engine, part, -1) > 0 {
			continue
		}
		x.listed.remove(part, engine)
		x.cleared.remove(part, engine)
		x.setSuspected(engine, part)
		if x.listed[part] == nil {
			delete(x.clearedUpTo, part)
		}
	}
	if x.reports[engine] == nil {
		delete(x.learnedAt, engine)
	}
}

// addClears adds parts of a crash that a report of another instance clears. It returns those that no report cleared before.
func (x *crashIndex) addClears(engine string, parts []string) (added []string) {
	for _, part := range parts {
		if x.clears.add(engine, part, 1) == 1 {
			added = append(added, part)
			x.clearUpTo(engine, part)
		}
	}
	return added
}

// clearUpTo records that another instance clears a part of a crash, and thus of those that became known before, if it is known.
func (x *crashIndex) clearUpTo(engine, part string) {
	until := x.learnedAt[engine].Add(orderMargin)
	if !x.listed[part][engine] || !until.After(x.clearedUpTo[part]) {
		return
	}
	x.clearedUpTo[part] = until
	for engine := range x.listed[part] {
		x.setSuspected(engine, part)
	}
}

// removeClears removes parts of a crash that a report of another instance no longer clears.
func (x *crashIndex) removeClears(engine string, parts []string) {
	for _, part := range parts {
		x.clears.add(engine, part, -1)
		x.setSuspected(engine, part)
	}
}

// clear records that an answer seen here clears a part of a known crash.
func (x *crashIndex) clear(engine, part string) {
	if x.listed[part][engine] {
		x.cleared.add(part, engine)
		x.setSuspected(engine, part)
	}
}

// setSuspected adds a pair to the suspected ones or removes it.
func (x *crashIndex) setSuspected(engine, part string) {
	if x.listed[part][engine] && !x.cleared[part][engine] && !x.isClearedElsewhere(engine, part) {
		x.suspected.add(part, engine)
		return
	}
	x.suspected.remove(part, engine)
}

// isClearedElsewhere reports whether other instances clear a part of a crash.
func (x *crashIndex) isClearedElsewhere(engine, part string) bool {
	return x.clears[engine][part] > 0 || !x.learnedAt[engine].After(x.clearedUpTo[part])
}

// clearUntil records that an answer seen here clears a part of a crash and of those that became known before.
func (x *crashIndex) clearUntil(engine, part string) {
	learnedAt := x.learnedAt[engine]
	for other := range x.listed[part] {
		if !x.learnedAt[other].After(learnedAt) {
			x.clear(other, part)
		}
	}
}

// unclearedElsewhere returns the engines that crashed under a part and that no other instance clears it of.
func (x *crashIndex) unclearedElsewhere(part string) (engines []string) {
	for engine := range x.listed[part] {
		if !x.isClearedElsewhere(engine, part) {
			engines = append(engines, engine)
		}
	}
	return engines
}

// lastLearned returns the engine whose crash became known last, the first by name of several, and an empty name if there is none.
func (x *crashIndex) lastLearned(engines []string) (last string) {
	for _, engine := range engines {
		order := x.learnedAt[engine].Compare(x.learnedAt[last])
		if last == "" || order > 0 || order == 0 && engine < last {
			last = engine
		}
	}
	return last
}

// isExplainedBy reports whether all the engines that crashed under a suspected part crashed under the other one as well.
func (x *crashIndex) isExplainedBy(part, other string) bool {
	return x.covers(other, x.suspected[part])
}

// outweighs reports whether a part explains all crashes of the engines, and crashes besides. The excluded parts don't count.
func (x *crashIndex) outweighs(engines map[string]bool, excluded []string) bool {
	return x.explainsAll(engines, excluded, len(engines)+1)
}

// explainsAll reports whether a part that is not excluded explains all crashes of the engines, and at least the given number in all.
func (x *crashIndex) explainsAll(engines map[string]bool, excluded []string, minCrashes int) bool {
	for engine := range engines {
		for part := range x.reports[engine] {
			if len(x.suspected[part]) >= minCrashes && !slices.Contains(excluded, part) && x.covers(part, engines) {
				return true
			}
		}
		return false
	}
	return false
}

// covers reports whether all the engines crashed under a suspected part.
func (x *crashIndex) covers(part string, engines map[string]bool) bool {
	for engine := range engines {
		if !x.suspected[part][engine] {
			return false
		}
	}
	return true
}

// companions returns the other parts that explain all the crashes of a suspected part.
func (x *crashIndex) companions(part string) (others []string) {
	for engine := range x.suspected[part] {
		for other := range x.reports[engine] {
			if other != part && x.isExplainedBy(part, other) {
				others = append(others, other)
			}
		}
		return others
	}
	return others
}
