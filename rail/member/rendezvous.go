package member

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Role names a task that a few instances hold for all.
type Role string

// RoleWatch is the duty to hold a waiting watch on the tables.
const RoleWatch Role = "watch"

// HasRole reports whether the named instance is one of the holders that an availability zone has for the duty.
//
// Every instance that sees the same members comes to the same answer, and a change of members moves few duties.
func HasRole(name string, duty Role, holders int, members []Member) bool {
	zone, found := zoneOf(name, members)
	if !found {
		return false
	}
	own := score(name, duty)
	higher := 0
	for _, other := range members {
		if other.Zone != zone || other.Name == name {
			continue
		}
		theirs := score(other.Name, duty)
		if theirs > own || theirs == own && other.Name < name {
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

// score is the rendezvous hash of an instance for a duty.
func score(name string, duty Role) uint64 {
	return xxhash.Sum64String(string(duty) + "\x00" + name)
}

// Successor returns the name that follows self on one of many rings over the members, none if self is alone.
//
// Each ring orders the names by a hash of its own, so that every member has exactly one predecessor on each ring.
func Successor(self string, ring int, members []Member) (name string, found bool) {
	own := place(self, ring)
	var first, next *placed
	for _, other := range members {
		if other.Name == self {
			continue
		}
		candidate := placed{place(other.Name, ring), other.Name}
		if first == nil || candidate.before(*first) {
			first = &candidate
		}
		if (placed{own, self}).before(candidate) && (next == nil || candidate.before(*next)) {
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

// placed is a name with its place on a ring.
type placed struct {
	place uint64
	name  string
}

func (p placed) before(other placed) bool {
	return p.place < other.place || p.place == other.place && p.name < other.name
}

func place(name string, ring int) uint64 {
	return xxhash.Sum64String(strconv.Itoa(ring) + "\x00" + name)
}
