package chain

import "sort"

// stageKey names the servers that can stand in for each other.
type stageKey struct {
	version     string
	first, last int
}

// Subset returns the servers that the instance uses: of each range of layers the size that rank highest for it.
//
// The ranking is rendezvous hashing, so that each instance chooses alone, a server that joins or leaves changes the
// choice only where it ranks, and every range that is held stays covered.
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
