package poison

import "slices"

// isOutweighed reports whether another request explains all crashes under a poisoned one, and crashes besides. Two requests that share
// all their crashes explain none of each other's.
func (d *Detector) isOutweighed(digest string) bool {
	own := d.index.suspected[digest]
	for engine := range own {
		for other := range d.index.reports[engine] {
			if len(d.index.suspected[other]) > len(own) && d.index.isExplainedBy(digest, other) {
				return true
			}
		}
		return false
	}
	return false
}

// makeRoom removes a part from a crash that is full if the new part is suspected of another crash and the removed one is not: an engine
// may have crashed under more requests than a report holds, and the one that comes again is the cause.
func (d *Detector) makeRoom(crash *seenCrash, part string) {
	if len(crash.Parts) < maxParts || slices.Contains(crash.Parts, part) || !d.isSuspectedElsewhere(part, crash.Engine) {
		return
	}
	i := slices.IndexFunc(crash.Parts, func(part string) bool { return !d.isSuspectedElsewhere(part, crash.Engine) })
	if i < 0 {
		return
	}
	removed := crash.Parts[i]
	crash.Parts = slices.Delete(crash.Parts, i, i+1)
	crash.reported = slices.DeleteFunc(slices.Clone(crash.reported), func(part string) bool { return part == removed })
	d.forget(Crash{Engine: crash.Engine, Parts: []string{removed}})
}

// isSuspectedElsewhere reports whether a part is suspected of the crash of another engine.
func (d *Detector) isSuspectedElsewhere(part, engine string) bool {
	for other := range d.index.suspected[part] {
		if other != engine {
			return true
		}
	}
	return false
}

// knows reports whether a part is known under which the engine may have crashed.
func (d *Detector) knows(engine string) bool { return d.index.reports[engine] != nil }
