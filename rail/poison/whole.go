package poison

import (
	"slices"
	"time"
)

// RequestCrashed records that a server may have crashed under a request, and whether its answer had begun.
func (d *Detector) RequestCrashed(now time.Time, engine string, request Request, began bool) {
	digest := request.Digest
	crash := d.seen(now, engine)
	d.makeRoom(crash, digest)
	d.Crashed(now, engine, []string{digest})
	if !slices.Contains(crash.Parts, digest) {
		return // it has just been answered, or there is no room
	}
	if crash.promptParts == nil {
		crash.promptParts = make(map[string][]string)
	}
	crash.promptParts[digest] = request.Parts
	if began && !slices.Contains(crash.begun, digest) {
		crash.begun = append(crash.begun, digest)
	}
}

// RequestBlocked reports whether the request must not be sent.
func (d *Detector) RequestBlocked(now time.Time, request Request) bool {
	return d.isPoisoned(now, request.Digest) && !d.isOutweighed(request.Digest, request.Parts)
}

// reportRequests returns the requests at a crash that the others are told: those that no answer clears, unless something else explains
// their crashes and more. They are told of an answer that had begun later than of others, unless it has become suspected of another
// crash: an engine answers far more requests than it begins, and parts may explain the crash soon.
func (d *Detector) reportRequests(now time.Time, crash *seenCrash, instances int) (digests []string) {
	mayBeExplained := d.config.MayBeExplained != nil && d.config.MayBeExplained(crash.Engine)
	waits := mayBeExplained && now.Sub(crash.at) < begunReportDelay(d.config.Name, crash.Engine, instances)
	for _, digest := range crash.Parts {
		waits := waits && slices.Contains(crash.begun, digest) && !slices.Contains(crash.reported, digest) && !d.isSuspectedElsewhere(digest, crash.Engine)
		if !waits && !d.isCleared(crash, digest) && !d.isOutweighed(digest, crash.promptParts[digest]) {
			digests = append(digests, digest)
		}
	}
	return digests
}

// isOutweighed reports whether another request, or a part that the prompt of this one does not have, explains all its crashes, and
// crashes besides. What shares all crashes explains none of the other's.
func (d *Detector) isOutweighed(digest string, promptParts []string) bool {
	return d.index.outweighs(d.index.suspected[digest], nil) || d.isOutweighedElsewhere(digest, promptParts)
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
	delete(crash.promptParts, removed)
	crash.begun = slices.DeleteFunc(crash.begun, func(digest string) bool { return digest == removed })
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
