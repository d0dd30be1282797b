package experiment

import (
	"math/rand"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// policy chooses chains at one instance.
type policy struct {
	update   func(servers []chain.Server)
	choose   func(request chain.Request) (chain.Plan, bool)
	started  func(plan chain.Plan)
	finished func(plan chain.Plan)
}

// policyKind makes a policy for one instance.
type policyKind struct {
	name string
	make func(c *clock, source *rand.Rand, instances int) policy
}

// stagePolicy walks the layers and picks a server for each stage by itself.
func stagePolicy(pick func(offered []chain.Server) int) policy {
	var known []chain.Server
	ignore := func(chain.Plan) {}
	return policy{
		update: func(servers []chain.Server) { known = servers },
		choose: func(request chain.Request) (chain.Plan, bool) {
			plan := chain.Plan{Version: "v1"}
			for layer := 0; layer < poolLayers; {
				offered := startingAt(known, layer, request)
				if len(offered) == 0 {
					return chain.Plan{}, false
				}
				server := offered[pick(offered)]
				plan.Hops = append(plan.Hops, engine.Hop{
					Server: server.Name, First: layer, Last: server.Status.Last,
				})
				layer = server.Status.Last
			}
			return plan, true
		},
		started: ignore, finished: ignore,
	}
}

// startingAt returns the usable servers whose range begins at the layer.
func startingAt(servers []chain.Server, layer int, request chain.Request) []chain.Server {
	var offered []chain.Server
	for _, server := range servers {
		if server.Usable && server.Status.First == layer && !request.Avoid[server.Name] {
			offered = append(offered, server)
		}
	}
	return offered
}

func randomPolicy(_ *clock, source *rand.Rand, _ int) policy {
	return stagePolicy(func(offered []chain.Server) int { return source.Intn(len(offered)) })
}

// roundRobinPolicy begins at a place of its own in each stage, so that instances do not march in step.
func roundRobinPolicy(_ *clock, source *rand.Rand, _ int) policy {
	turns := make(map[int]int)
	return stagePolicy(func(offered []chain.Server) int {
		layer := offered[0].Status.First
		if _, ok := turns[layer]; !ok {
			turns[layer] = source.Intn(len(offered))
		}
		turns[layer]++
		return turns[layer] % len(offered)
	})
}

// leastLoadPolicy picks the server with the fewest reported requests for each slot, the first one of equals.
func leastLoadPolicy(*clock, *rand.Rand, int) policy {
	return stagePolicy(func(offered []chain.Server) int {
		least := 0
		for i, server := range offered {
			if server.Status.Queue*offered[least].Status.Slots < offered[least].Status.Queue*server.Status.Slots {
				least = i
			}
		}
		return least
	})
}

// leastCostPolicy weighs compute and reported load, but neither links nor requests since the report.
func leastCostPolicy(*clock, *rand.Rand, int) policy {
	var known []chain.Server
	ignore := func(chain.Plan) {}
	return policy{
		update: func(servers []chain.Server) { known = servers },
		choose: func(request chain.Request) (chain.Plan, bool) {
			request.Layers = poolLayers
			return chain.Choose(known, request)
		},
		started: ignore, finished: ignore,
	}
}

// pickerPolicy returns the chain.Picker, told that it is one of as many instances as alike says.
func pickerPolicy(samples int, alike func(instances int) int) func(*clock, *rand.Rand, int) policy {
	return func(c *clock, source *rand.Rand, instances int) policy {
		picker := chain.New(chain.Config{Zone: "zone-0", LinkLatency: link, Random: source, Samples: samples, Lag: reportLag})
		picker.SetInstances(alike(instances))
		return policy{
			update:   func(servers []chain.Server) { picker.Update(servers, poolLayers) },
			choose:   picker.Choose,
			started:  func(plan chain.Plan) { picker.Started(c.wall(), plan) },
			finished: func(plan chain.Plan) { picker.Finished(c.wall(), plan) },
		}
	}
}

// all returns the number of instances, which a picker knows from its peers.
func all(instances int) int { return instances }

// alone returns one, as if no other instance sent requests.
func alone(int) int { return 1 }
