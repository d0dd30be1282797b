package poison

import (
	"maps"
	"time"
)

// Times and limits of requests that come again although they are blocked.
const (
	// repeatInterval is the minimum time between two repeats of a request that count, so that other attempts of one don't.
	repeatInterval = time.Second
	// minRepeats is the number of repeats that tell that a request comes again and again: a sound one comes again once or twice.
	minRepeats = 3
	// maxRepeated is the maximum number of blocked requests whose repeats are counted.
	maxRepeated = 256
)

// repeats counts how often a blocked request came again.
type repeats struct {
	count int
	last  time.Time
}

// countRepeat records that a blocked request has come.
func (f *Finder) countRepeat(now time.Time, digest string) {
	r := f.repeats[digest]
	if !r.last.IsZero() && now.Sub(r.last) < repeatInterval {
		return
	}
	if _, ok := f.repeats[digest]; !ok && len(f.repeats) == maxRepeated {
		maps.DeleteFunc(f.repeats, func(_ string, r repeats) bool { return now.Sub(r.last) > suspicionTTL })
		if len(f.repeats) == maxRepeated {
			return
		}
	}
	f.repeats[digest] = repeats{count: r.count + 1, last: now}
}

// repeatExplains reports whether a blocked request that comes again and again explains all crashes of the engines.
func (f *Finder) repeatExplains(engines map[string]bool) bool {
	for digest, r := range f.repeats {
		if r.count > minRepeats && f.requests.index.covers(digest, engines) {
			return true
		}
	}
	return false
}
