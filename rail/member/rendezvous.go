package member

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Role is the name of a task that a few instances perform for all instances.
type Role string

// RoleWatch is the role of the instances that hold an open watch on the tables in the store.
const RoleWatch Role = "watch"

// HasRole reports whether the named instance is among the given number of holders of the role in its availability zone;
// in a zone with fewer members, all hold it. The result depends only on the arguments, so instances with the same list
// of members get the same result, and a change of members changes few holders.
func HasRole(name string, role Role, holders int, members []Member) bool {
	zone, found := zoneOf(name, members)
	if !found {
		return false
	}
	ownScore := score(name, role)
	higher := 0
	for _, other := range members {
		if other.Zone != zone || other.Name == name {
			continue
		}
		otherScore := score(other.Name, role)
		if otherScore > ownScore || otherScore == ownScore && other.Name < name {
			higher++
		}
	}
	return higher < holders
}

func zoneOf(name string, members []Member) (zone string, found bool) {
	for _, candidate := range members {
		if candidate.Name == name {
			return candidate.Zone, true
		}
	}
	return "", false
}

// score returns the rendezvous hash of an instance for a role.
func score(name string, role Role) uint64 {
	return xxhash.Sum64String(string(role) + "\x00" + name)
}

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
