package chain

import "sort"

// stageKey identifies a group of interchangeable servers, which hold the same layers of the same model version.
type stageKey struct {
	version     string
	first, last int
}

// Subset returns the servers that the instance uses, sorted by name: for each range of layers of each model version the
// servers that rank highest for the instance, at most size of them.
//
// Servers are ranked by rendezvous hashing, so that instances choose without coordination, a server that joins or
// leaves changes the choice only of instances for which it ranks high enough, and every available range stays covered.
func Subset(servers []Server, instance string, size int) []Server {
	seed := hashName(instance)
	stages := make(map[stageKey][]Server)
	for _, server := range servers {
		if server.Usable && !server.Status.Leaving {
			key := stageKey{version: server.Status.Version, first: server.Status.First, last: server.Status.Last}
			stages[key] = append(stages[key], server)
		}
	}
	var chosen []Server
	for _, stage := range stages {
		sort.Slice(stage, func(i, j int) bool {
			return mix(hashName(stage[i].Name), seed) > mix(hashName(stage[j].Name), seed)
		})
		chosen = append(chosen, stage[:min(size, len(stage))]...)
	}
	sort.Slice(chosen, func(i, j int) bool { return chosen[i].Name < chosen[j].Name })
	return chosen
}
