package placement

import (
	"sort"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// MaxWeightFraction is the largest fraction of an engine's memory that weights may take; the rest holds the KV cache of
// requests.
const MaxWeightFraction = 0.66

// Parameters of the shortage of a block. The offsets are fractions of a block's equal share of the mean capacity (see
// shortage) and are added to the block's capacity, which bounds the shortage of a block that no engine holds.
const (
	// fleetOffset is the offset for the whole fleet.
	fleetOffset = 0.001
	// zoneOffset is the offset within an availability zone. It is larger, as requests can cross to another zone for a
	// block that no engine in theirs holds.
	zoneOffset = 0.05
	// zoneWeight is the weight of the shortage in an availability zone relative to the shortage in the fleet.
	zoneWeight = 0.3
)

// maxImproveRounds is the maximum number of times that the assignment of each engine is reconsidered.
const maxImproveRounds = 8

// Assignment is the range of layers that an engine should load.
type Assignment struct {
	// Server is the engine.
	Server backend.Server
	// Layers is the range that it should load.
	Layers backend.Range
}

// BlockSize returns the number of layers in a block: the greatest divisor of the number of all layers for which a block
// fits on the smallest card, at least 1.
func BlockSize(spec *backend.EngineSpec) int {
	smallest := spec.Layers
	for _, card := range spec.Cards {
		smallest = min(smallest, maxLayers(spec, card))
	}
	for block := smallest; block > 1; block-- {
		if spec.Layers%block == 0 {
			return block
		}
	}
	return 1
}

// maxLayers returns the number of layers that fit on a card within MaxWeightFraction, at least 1.
func maxLayers(spec *backend.EngineSpec, card backend.Card) int {
	layers := int(card.MemoryMB * MaxWeightFraction / spec.LayerMB)
	return max(min(layers, spec.Layers), 1)
}

// Plan returns the assignments of the engines that neither hold layers nor have a pending assignment. By the ID of the engine,
// pending holds the layers of all pending assignments, also of engines that hold other layers. Plan leaves out engines that are
// draining, have an unknown card, or hold layers or have pending ones that the model does not have.
func Plan(spec *backend.EngineSpec, servers []backend.Server, pending map[string]backend.Range) (plan []Assignment) {
	servers = withValidLayers(spec, servers, pending)
	blockSize := BlockSize(spec)
	capacities := newBlockCapacities(spec, servers, blockSize)
	var unassigned []backend.Server
	for _, server := range servers {
		layers, loading := pending[server.ID]
		if !loading {
			layers = server.Layers
		}
		if _, ok := spec.Card(server.Card); !ok || server.Draining {
			continue
		}
		if layers.Len() == 0 {
			unassigned = append(unassigned, server)
			continue
		}
		capacities.add(server, layers, 1)
	}
	sortBySize(spec, unassigned)
	for _, server := range unassigned {
		layers, _ := capacities.bestRange(server)
		capacities.add(server, layers, 1)
		plan = append(plan, Assignment{Server: server, Layers: layers})
	}
	improve(capacities, plan)
	return plan
}

// withValidLayers returns the engines all of whose held and pending layers exist in the model.
func withValidLayers(spec *backend.EngineSpec, servers []backend.Server, pending map[string]backend.Range) (valid []backend.Server) {
	for _, server := range servers {
		if spec.HasLayers(server.Layers) && spec.HasLayers(pending[server.ID]) {
			valid = append(valid, server)
		}
	}
	return valid
}

// improve changes one assignment at a time to a better one until there is none, or maxImproveRounds is reached.
func improve(capacities *blockCapacities, plan []Assignment) {
	for range maxImproveRounds {
		changed := false
		for i := range plan {
			capacities.add(plan[i].Server, plan[i].Layers, -1)
			best, _ := capacities.bestRange(plan[i].Server)
			changed = changed || best != plan[i].Layers
			plan[i].Layers = best
			capacities.add(plan[i].Server, best, 1)
		}
		if !changed {
			return
		}
	}
}

// sortBySize sorts the engines by descending memory, as those that hold the most layers have the fewest possible ranges.
func sortBySize(spec *backend.EngineSpec, servers []backend.Server) {
	sort.Slice(servers, func(i, j int) bool {
		first, _ := spec.Card(servers[i].Card)
		second, _ := spec.Card(servers[j].Card)
		if first.MemoryMB != second.MemoryMB {
			return first.MemoryMB > second.MemoryMB
		}
		return servers[i].ID < servers[j].ID
	})
}
