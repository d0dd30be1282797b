package chain

import (
	"sort"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// Request describes the request for which a chain is chosen.
type Request struct {
	// Pool names the pool that serves the request.
	Pool string
	// Layers is the number of layers of the model.
	Layers int
	// Avoid lists backend servers that failed an earlier attempt.
	Avoid map[string]bool
	// Zone is the availability zone of the instance that chooses.
	Zone string
	// Prefix is the hash of the beginning of the prompt, zero for none.
	Prefix uint64
	// Version is the only model version that will do, empty for any.
	Version string
}

// Choose returns the chain of least cost, and false if no chain covers the layers.
func Choose(servers []Server, request Request) (plan Plan, ok bool) {
	for _, version := range versions(servers) {
		plan, ok = chooseVersion(servers, request, version)
		if ok {
			return plan, true
		}
	}
	return Plan{}, false
}

// versions returns the model versions on offer, the greatest first.
func versions(servers []Server) []string {
	seen := make(map[string]bool)
	var names []string
	for _, server := range servers {
		if !seen[server.Status.Version] {
			seen[server.Status.Version] = true
			names = append(names, server.Status.Version)
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(names)))
	return names
}

// chooseVersion walks the layers from the last to the first and keeps the cheapest rest of the chain for each.
func chooseVersion(servers []Server, request Request, version string) (plan Plan, ok bool) {
	type rest struct {
		cost   time.Duration
		server int
	}
	best := make(map[int]rest, request.Layers+1)
	best[request.Layers] = rest{server: -1}
	for layer := request.Layers - 1; layer >= 0; layer-- {
		for i, server := range servers {
			if !server.Usable || request.Avoid[server.Name] || server.Status.Version != version || server.Status.First != layer {
				continue
			}
			after, found := best[server.Status.Last]
			if !found || server.Status.Last <= layer {
				continue
			}
			cost := after.cost + stageCost(server)
			if old, exists := best[layer]; !exists || cost < old.cost {
				best[layer] = rest{cost: cost, server: i}
			}
		}
	}
	if _, ok = best[0]; !ok {
		return Plan{}, false
	}
	plan.Version = version
	for layer := 0; layer < request.Layers; {
		server := servers[best[layer].server]
		hop := engine.Hop{Server: server.Name, Address: server.Address, First: layer, Last: server.Status.Last}
		plan.Hops = append(plan.Hops, hop)
		layer = hop.Last
	}
	return plan, true
}

// stageCost returns the expected time of one token at the backend server.
func stageCost(server Server) time.Duration {
	layers := time.Duration(server.Status.Last - server.Status.First)
	load := time.Duration(1 + server.Status.Queue + server.InFlight)
	return layers * server.Status.LayerTime * load
}
