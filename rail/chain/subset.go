package chain

import "sort"

// groupKey identifies a group of interchangeable servers, which hold the same layers of the same model version.
type groupKey struct {
	version string
	// first and last are the range of layers; last is the layer after the range.
	first, last int
}

// Subset returns the servers that the instance uses, sorted by name: for each range of layers of each model version the
// servers that rank highest for the instance, at most size of them.
//
// Servers are ranked by rendezvous hashing, so that instances choose without coordination, a server that joins or
// leaves changes the choice only of instances for which it ranks high enough, and every available range stays covered.
func Subset(servers []Server, instance string, size int) []Server {
	seed := hashName(instance)
	groups := make(map[groupKey][]Server)
	for _, server := range servers {
		if server.Usable && !server.Status.Leaving {
			key := groupKey{version: server.Status.Version, first: server.Status.First, last: server.Status.Last}
			groups[key] = append(groups[key], server)
		}
	}
	var chosen []Server
	for _, group := range groups {
		sort.Slice(group, func(i, j int) bool {
			return mix(hashName(group[i].Name), seed) > mix(hashName(group[j].Name), seed)
		})
		chosen = append(chosen, group[:min(size, len(group))]...)
	}
	sort.Slice(chosen, func(i, j int) bool { return chosen[i].Name < chosen[j].Name })
	return chosen
}
