package placement

import (
	"sort"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// MaxWeightFraction is the greatest part of an engine's memory that weights take; the rest holds the KV cache of requests.
const MaxWeightFraction = 0.66

// Floors of what a block is served with, as parts of the mean over all blocks; they bound the cost of a block that is not
// served at all.
const (
	// fleetFloor holds for the whole fleet.
	fleetFloor = 0.001
	// zoneFloor holds within an availability zone, where the lack of a block costs a crossing only.
	zoneFloor = 0.05
	// zoneWeight is what an availability zone counts beside the fleet.
	zoneWeight = 0.3
)

// improvements bounds how often each engine's place is looked at again.
const improvements = 8

// Assignment is a range of layers that an engine is to hold.
type Assignment struct {
	// Server is the engine.
	Server backend.Server
	// Layers is the range that it is to hold.
	Layers backend.Range
}

// BlockSize returns the number of layers in a block: the greatest divisor of all layers that the smallest card holds.
func BlockSize(engine *backend.EngineSpec) int {
	smallest := engine.Layers
	for _, card := range engine.Cards {
		smallest = min(smallest, capacity(engine, card))
	}
	for block := smallest; block > 1; block-- {
		if engine.Layers%block == 0 {
			return block
		}
	}
	return 1
}

// capacity returns the number of layers that a card holds beside its share for requests.
func capacity(engine *backend.EngineSpec, card backend.Card) int {
	layers := int(card.MemoryMB * MaxWeightFraction / engine.LayerMB)
	return max(min(layers, engine.Layers), 1)
}

// Plan returns what the engines that hold nothing are to hold; holding and promised layers of the others stay.
func Plan(engine *backend.EngineSpec, servers []backend.Server, promised map[string]backend.Range) (plan []Assignment) {
	block := BlockSize(engine)
	supplied := newSupply(engine, servers, block)
	var empty []backend.Server
	for _, server := range servers {
		layers := server.Layers
		if layers.Len() == 0 {
			layers = promised[server.ID]
		}
		if _, ok := engine.Card(server.Card); !ok || server.Draining {
			continue
		}
		if layers.Len() == 0 {
			empty = append(empty, server)
			continue
		}
		supplied.add(server, layers, 1)
	}
	sortBySize(engine, empty)
	for _, server := range empty {
		layers := supplied.best(server)
		supplied.add(server, layers, 1)
		plan = append(plan, Assignment{Server: server, Layers: layers})
	}
	improve(supplied, plan)
	return plan
}

// improve moves one engine at a time to a better place while there is one.
func improve(supplied *supply, plan []Assignment) {
	for range improvements {
		moved := false
		for i := range plan {
			supplied.add(plan[i].Server, plan[i].Layers, -1)
			better := supplied.best(plan[i].Server)
			moved = moved || better != plan[i].Layers
			plan[i].Layers = better
			supplied.add(plan[i].Server, better, 1)
		}
		if !moved {
			return
		}
	}
}

// sortBySize puts the engines that hold most first, as they have the fewest places to go.
func sortBySize(engine *backend.EngineSpec, servers []backend.Server) {
	sort.Slice(servers, func(i, j int) bool {
		first, _ := engine.Card(servers[i].Card)
		second, _ := engine.Card(servers[j].Card)
		if first.MemoryMB != second.MemoryMB {
			return first.MemoryMB > second.MemoryMB
		}
		return servers[i].ID < servers[j].ID
	})
}
