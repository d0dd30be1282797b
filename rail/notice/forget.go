package notice

import (
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Forget removes the records of waits that are over and of incarnations that have not been listed for ForgetAfter, given the lists
// of all services. If more than maxTracked records remain, it also removes those that have been unlisted for longest.
func (t *Tracker) Forget(now time.Time, listed [][]backend.Server) {
	t.updateUnlisted(now, listed)
	for key, r := range t.records {
		if r.expired(now) {
			delete(t.records, key)
		}
	}
	t.removeExcess()
}

// updateUnlisted sets unlistedAt in all records.
func (t *Tracker) updateUnlisted(now time.Time, listed [][]backend.Server) {
	current := make(map[incarnation]bool)
	for _, servers := range listed {
		for _, server := range servers {
			current[incarnationOf(server)] = true
		}
	}
	for key, r := range t.records {
		switch {
		case current[key]:
			r.unlistedAt = time.Time{}
		case r.unlistedAt.IsZero():
			r.unlistedAt = now
		}
	}
}

// expired reports whether a record holds nothing but a wait that is over, or has been unlisted for ForgetAfter.
func (r *record) expired(now time.Time) bool {
	if !r.leaving && !r.malformed && !r.waiting(now) {
		return true
	}
	return !r.unlistedAt.IsZero() && now.Sub(r.unlistedAt) >= ForgetAfter
}

// removeExcess removes records until maxTracked are left: first those that have been unlisted for longest, then listed ones.
func (t *Tracker) removeExcess() {
	excess := len(t.records) - maxTracked
	if excess <= 0 {
		return
	}
	keys := make([]incarnation, 0, len(t.records))
	for key := range t.records {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b incarnation) int { return compareUnlisted(t.records[a], t.records[b]) })
	for _, key := range keys[:excess] {
		delete(t.records, key)
	}
}

// compareUnlisted orders records by unlistedAt, with listed ones last.
func compareUnlisted(a, b *record) int {
	switch {
	case a.unlistedAt.IsZero() && b.unlistedAt.IsZero():
		return 0
	case a.unlistedAt.IsZero():
		return 1
	case b.unlistedAt.IsZero():
		return -1
	default:
		return a.unlistedAt.Compare(b.unlistedAt)
	}
}
