package notice

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/call"
)

// Limits of what is kept.
const (
	// MaxWait is the maximum wait; a server that asks for more gets requests again once it is over.
	MaxWait = 2 * time.Minute
	// ForgetAfter is the time after which what an unlisted incarnation said is forgotten. A server that still runs
	// may be missing from the list for a shorter time.
	ForgetAfter = 10 * time.Minute
	// maxTracked is the maximum number of incarnations that Forget keeps.
	maxTracked = 1024
)

// incarnation identifies one run of a backend server.
type incarnation struct {
	id   string
	born int64 // start time in Unix milliseconds, zero if it is not reported
}

// incarnationOf returns the incarnation of a listed server.
func incarnationOf(server backend.Server) incarnation {
	return incarnation{id: server.ID, born: server.Born}
}

// record is what one incarnation has said.
type record struct {
	leaving    bool
	waitUntil  time.Time     // end of the last wait, zero if there was none
	waitLength time.Duration // whole length of that wait
	malformed  bool          // whether it has sent a malformed delay
	unlistedAt time.Time     // when Forget first found it unlisted, zero if it is listed
}

// Change says what a response has changed.
type Change struct {
	// Leaving reports whether the server is leaving and has not said so before.
	Leaving bool
	// Wait is the wait that has begun, zero if there is none or if the server was in one already.
	Wait time.Duration
	// Bounded reports whether Wait is MaxWait because the server asked for more.
	Bounded bool
	// Malformed reports whether the delay is malformed and no earlier one of the server was.
	Malformed bool
}

// Any reports whether anything has changed.
func (c Change) Any() bool { return c != Change{} }

// Tracker keeps what each incarnation of a backend server said; it is not safe for concurrent use.
type Tracker struct {
	records map[incarnation]*record
}

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{records: make(map[incarnation]*record)} }

// Record records what a server said of itself in a response. A later response cannot take it back: responses may overtake one
// another, and a server that is leaving doesn't return.
func (t *Tracker) Record(now time.Time, server backend.Server, response call.Response) (change Change) {
	if !response.Leaving && !response.RetryAfter.Malformed && response.RetryAfter.Delay <= 0 {
		return change
	}
	key := incarnationOf(server)
	r := t.records[key]
	if r == nil {
		r = &record{}
		t.records[key] = r
	}
	change.Leaving = response.Leaving && !r.leaving
	r.leaving = r.leaving || response.Leaving
	change.Malformed = response.RetryAfter.Malformed && !r.malformed
	r.malformed = r.malformed || response.RetryAfter.Malformed
	change.Wait, change.Bounded = r.extendWait(now, response.RetryAfter.Delay)
	return change
}

// extendWait moves the end of the wait to the delay from now, unless the delay is zero or the end is later already. If no wait was
// running, it returns the length of the new one and whether MaxWait has shortened it.
func (r *record) extendWait(now time.Time, delay time.Duration) (begun time.Duration, bounded bool) {
	length := min(delay, MaxWait)
	until := now.Add(length)
	if length <= 0 || !until.After(r.waitUntil) {
		return 0, false
	}
	if !r.waiting(now) {
		begun, bounded = length, delay > MaxWait
	}
	r.waitUntil, r.waitLength = until, length
	return begun, bounded
}

// waiting reports whether the incarnation wants no requests now.
func (r *record) waiting(now time.Time) bool { return now.Before(r.waitUntil) }

// Leaving reports whether a server has said that it is leaving.
func (t *Tracker) Leaving(server backend.Server) bool {
	r := t.records[incarnationOf(server)]
	return r != nil && r.leaving
}

// Waiting reports whether a server wants no requests now.
func (t *Tracker) Waiting(now time.Time, server backend.Server) bool {
	r := t.records[incarnationOf(server)]
	return r != nil && r.waiting(now)
}

// Excluded lists the servers that must not get a request because of what they said.
type Excluded struct {
	// IDs are the IDs of the servers.
	IDs []string
	// Leaving is the number of them that are leaving.
	Leaving int
	// Waiting is the number of the others, which want no requests now.
	Waiting int
}

// Exclude returns which of the servers must not get a request now.
func (t *Tracker) Exclude(now time.Time, servers []backend.Server) (excluded Excluded) {
	if len(t.records) == 0 {
		return excluded
	}
	for _, server := range servers {
		r := t.records[incarnationOf(server)]
		switch {
		case r == nil || server.Draining:
			continue
		case r.leaving:
			excluded.Leaving++
		case r.waiting(now):
			excluded.Waiting++
		default:
			continue
		}
		excluded.IDs = append(excluded.IDs, server.ID)
	}
	return excluded
}
