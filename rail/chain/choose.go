package chain

import (
	"sort"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// Request describes the request for which a chain is chosen.
type Request struct {
	// Pool names the pool that serves the request, for the code that selects the servers to choose from.
	Pool string
	// Layers is the number of layers of the model; Picker.Choose uses that of the last Update.
	Layers int
	// Avoid is the set of backend servers that must not be used, such as those that failed an earlier attempt.
	Avoid map[string]bool
	// Zone is the availability zone of the instance that chooses; neither ChooseCheapest nor Picker reads it.
	Zone string
	// Prefix is the hash of the beginning of the prompt, or zero to choose without prefix affinity.
	Prefix uint64
	// Version is the required model version, or empty for any.
	Version string
}

// ChooseCheapest returns the chain with the lowest expected time for each token in the last model version, in lexical
// order, that has one, and false if no chain covers the layers. It is a simple alternative to Picker.Choose for tests
// and experiments, and the default where no Picker is configured. Each server runs its whole range, and unlike in
// Picker the cost counts neither the latency between stages nor the slots of a server; Request.Zone, Request.Prefix and
// Request.Version are ignored.
func ChooseCheapest(servers []Server, request Request) (chain Chain, ok bool) {
	for _, version := range versions(servers) {
		chain, ok = cheapestChain(servers, request, version)
		if ok {
			return chain, true
		}
	}
	return Chain{}, false
}

// versions returns the model versions of the servers in descending lexical order.
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

// cheapestChain returns the cheapest chain in one model version. For each layer, from the last to the first, it
// computes the cheapest chain that covers the layers from there to the end.
func cheapestChain(servers []Server, request Request, version string) (chain Chain, ok bool) {
	type suffix struct {
		cost   time.Duration
		server int
	}
	best := make(map[int]suffix, request.Layers+1)
	best[request.Layers] = suffix{server: -1}
	for layer := request.Layers - 1; layer >= 0; layer-- {
		for i, server := range servers {
			if !server.Usable || request.Avoid[server.Name] || server.Status.Version != version || server.Status.First != layer {
				continue
			}
			remaining, found := best[server.Status.Last]
			if !found || server.Status.Last <= layer {
				continue
			}
			cost := remaining.cost + stageCost(server)
			if known, exists := best[layer]; !exists || cost < known.cost {
				best[layer] = suffix{cost: cost, server: i}
			}
		}
	}
	if _, ok = best[0]; !ok {
		return Chain{}, false
	}
	chain.Version = version
	for layer := 0; layer < request.Layers; {
		server := servers[best[layer].server]
		stage := engine.Stage{Server: server.Name, Address: server.Address, First: layer, Last: server.Status.Last}
		chain.Stages = append(chain.Stages, stage)
		layer = stage.Last
	}
	return chain, true
}

// stageCost returns the expected time for one token at the backend server.
func stageCost(server Server) time.Duration {
	layers := time.Duration(server.Status.Last - server.Status.First)
	load := time.Duration(1 + server.Status.Queue + server.InFlight)
	return layers * server.Status.LayerTime * load
}
