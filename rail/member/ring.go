package member

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Successor returns the name of the member after self on the ring with the given number; found is false if there is no
// other member. On each ring, every member is the successor of exactly one other.
func Successor(self string, ring int, members []Member) (name string, found bool) {
	ownPosition := ringPosition(self, ring)
	var first, next *ringEntry
	for _, other := range members {
		if other.Name == self {
			continue
		}
		candidate := ringEntry{ringPosition(other.Name, ring), other.Name}
		if first == nil || candidate.before(*first) {
			first = &candidate
		}
		if (ringEntry{ownPosition, self}).before(candidate) && (next == nil || candidate.before(*next)) {
			next = &candidate
		}
	}
	if next != nil {
		return next.name, true
	}
	if first != nil {
		return first.name, true
	}
	return "", false
}

// ringEntry is a name with its position on a ring.
type ringEntry struct {
	position uint64
	name     string
}

func (e ringEntry) before(other ringEntry) bool {
	return e.position < other.position || e.position == other.position && e.name < other.name
}

// ringPosition returns the hash by which a ring orders the names. It differs for each ring, so that a member usually
// has different successors on different rings.
func ringPosition(name string, ring int) uint64 {
	return xxhash.Sum64String(strconv.Itoa(ring) + "\x00" + name)
}
