package experiment

import (
	"math/rand"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// policy chooses chains at one instance. The functions started and ended must be called when a request starts and
// ends.
type policy struct {
	update  func(servers []chain.Server)
	choose  func(request chain.Request) (chain.Chain, bool)
	started func(picked chain.Chain)
	ended   func(picked chain.Chain)
}

// policyKind is a named kind of policy; create returns the policy of one instance.
type policyKind struct {
	name   string
	create func(c *clock, source *rand.Rand, instances int) policy
}

// stagePolicy returns a policy that goes through the layers in order and picks a server for each stage independently of
// the other stages. The function pick returns the index of its choice among the candidates.
func stagePolicy(pick func(candidates []chain.Server) int) policy {
	var reported []chain.Server
	noop := func(chain.Chain) {}
	return policy{
		update: func(servers []chain.Server) { reported = servers },
		choose: func(request chain.Request) (chain.Chain, bool) {
			built := chain.Chain{Version: "v1"}
			for layer := 0; layer < poolLayers; {
				candidates := startingAt(reported, layer, request)
				if len(candidates) == 0 {
					return chain.Chain{}, false
				}
				server := candidates[pick(candidates)]
				built.Stages = append(built.Stages, engine.Stage{
					Server: server.Name, First: layer, Last: server.Status.Last,
				})
				layer = server.Status.Last
			}
			return built, true
		},
		started: noop, ended: noop,
	}
}

// startingAt returns the usable servers whose range begins at the layer, without those in request.Avoid.
func startingAt(servers []chain.Server, layer int, request chain.Request) []chain.Server {
	var candidates []chain.Server
	for _, server := range servers {
		if server.Usable && server.Status.First == layer && !request.Avoid[server.Name] {
			candidates = append(candidates, server)
		}
	}
	return candidates
}

func randomPolicy(_ *clock, source *rand.Rand, _ int) policy {
	return stagePolicy(func(candidates []chain.Server) int { return source.Intn(len(candidates)) })
}

// roundRobinPolicy picks the servers of a stage in turn. It starts each stage at a random server, so that the instances
// do not all pick the same server at the same time.
func roundRobinPolicy(_ *clock, source *rand.Rand, _ int) policy {
	positions := make(map[int]int)
	return stagePolicy(func(candidates []chain.Server) int {
		layer := candidates[0].Status.First
		if _, ok := positions[layer]; !ok {
			positions[layer] = source.Intn(len(candidates))
		}
		positions[layer]++
		return positions[layer] % len(candidates)
	})
}

// leastLoadPolicy picks the server with the fewest reported requests per slot; of equal servers it picks the first.
func leastLoadPolicy(*clock, *rand.Rand, int) policy {
	return stagePolicy(func(candidates []chain.Server) int {
		best := 0
		for i, server := range candidates {
			if server.Status.Queue*candidates[best].Status.Slots < candidates[best].Status.Queue*server.Status.Slots {
				best = i
			}
		}
		return best
	})
}

// leastCostPolicy uses chain.ChooseCheapest, whose cost includes compute time and reported load, but neither link latency nor
// requests that started after the report.
func leastCostPolicy(*clock, *rand.Rand, int) policy {
	var reported []chain.Server
	noop := func(chain.Chain) {}
	return policy{
		update: func(servers []chain.Server) { reported = servers },
		choose: func(request chain.Request) (chain.Chain, bool) {
			request.Layers = poolLayers
			return chain.ChooseCheapest(reported, request)
		},
		started: noop, ended: noop,
	}
}

// pickerPolicy returns a function that creates a policy with a chain.Picker. The function assumedInstances maps the actual
// number of instances to the number that the picker assumes.
func pickerPolicy(samples int, assumedInstances func(instances int) int) func(*clock, *rand.Rand, int) policy {
	return func(c *clock, source *rand.Rand, instances int) policy {
		picker := chain.New(chain.Config{Zone: "zone-0", LinkLatency: linkLatency, Random: source, Samples: samples, ReportLag: reportLag})
		picker.SetInstances(assumedInstances(instances))
		return policy{
			update:  func(servers []chain.Server) { picker.Update(servers, poolLayers) },
			choose:  picker.Choose,
			started: func(picked chain.Chain) { picker.Started(c.wallTime(), picked) },
			ended:   func(picked chain.Chain) { picker.Ended(c.wallTime(), picked) },
		}
	}
}

// actualInstanceCount returns the actual number of instances, which an instance gets from its list of members.
func actualInstanceCount(instances int) int { return instances }

// singleInstanceCount returns 1, as if no other instance sent requests.
func singleInstanceCount(int) int { return 1 }
