package member

import "github.com/cespare/xxhash/v2"

// Role is the name of a task that a few instances perform for all instances.
type Role string

// RoleWatch is the role of the instances that hold an open watch on the tables in the platform's store.
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
