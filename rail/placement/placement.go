package placement

import (
	"sort"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// WeightShare is the greatest part of an engine's memory that weights take; the rest holds the KV cache of requests.
const WeightShare = 0.66

// Needs of blocks that nobody serves, as the reciprocal of a rate.
const (
	// fleetFloor is the rate that counts for a block that the whole fleet lacks.
	fleetFloor = 1e-4
	// zoneFloor is the rate that counts for a block that an availability zone lacks.
	zoneFloor = 1e-2
)

// Assignment is a range of layers that an engine is to hold.
type Assignment struct {
	// Server is the engine.
	Server backend.Server
	// Layers is the range that it is to hold.
	Layers backend.Range
}

// Block returns the number of layers in a block: the greatest divisor of all layers that the smallest card holds.
func Block(engine *backend.Engine) int {
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
func capacity(engine *backend.Engine, card backend.Card) int {
	layers := int(card.Memory * WeightShare / engine.LayerMemory)
	return max(min(layers, engine.Layers), 1)
}

// coverage is the rate at which each block is served.
type coverage []float64

// add counts an engine that holds the layers.
func (c coverage) add(layers backend.Range, block int, speed float64) {
	held := float64(layers.Len()) / float64(block)
	for i := range c {
		if layers.Contains(backend.Range{From: i * block, To: (i + 1) * block}) {
			c[i] += speed / held
		}
	}
}

// Plan returns what the engines that hold nothing are to hold; holding and promised layers of the others stay.
func Plan(engine *backend.Engine, servers []backend.Server, promised map[string]backend.Range) (plan []Assignment) {
	block := Block(engine)
	fleet := make(coverage, engine.Layers/block)
	zones := make(map[string]coverage)
	var empty []backend.Server
	for _, server := range servers {
		if zones[server.Zone] == nil {
			zones[server.Zone] = make(coverage, len(fleet))
		}
		layers := server.Layers
		if layers.Len() == 0 {
			layers = promised[server.ID]
		}
		card, ok := engine.Card(server.Card)
		if !ok || server.Draining {
			continue
		}
		if layers.Len() == 0 {
			empty = append(empty, server)
			continue
		}
		fleet.add(layers, block, 1/card.ReadFactor)
		zones[server.Zone].add(layers, block, 1/card.ReadFactor)
	}
	sortBySize(engine, empty)
	for _, server := range empty {
		card, _ := engine.Card(server.Card)
		layers := neediest(fleet, zones[server.Zone], block, capacity(engine, card)/block)
		fleet.add(layers, block, 1/card.ReadFactor)
		zones[server.Zone].add(layers, block, 1/card.ReadFactor)
		plan = append(plan, Assignment{Server: server, Layers: layers})
	}
	return plan
}

// sortBySize puts the engines that hold most first, as they have the fewest places to go.
func sortBySize(engine *backend.Engine, servers []backend.Server) {
	sort.Slice(servers, func(i, j int) bool {
		first, _ := engine.Card(servers[i].Card)
		second, _ := engine.Card(servers[j].Card)
		if first.Memory != second.Memory {
			return first.Memory > second.Memory
		}
		return servers[i].ID < servers[j].ID
	})
}

// neediest returns the window of blocks that are served least.
func neediest(fleet, zone coverage, block, blocks int) backend.Range {
	blocks = min(max(blocks, 1), len(fleet))
	best, most := 0, -1.0
	for start := 0; start+blocks <= len(fleet); start++ {
		need := 0.0
		for i := start; i < start+blocks; i++ {
			need += 1/(zone[i]+zoneFloor) + 1/(fleet[i]+fleetFloor)
		}
		if need > most {
			best, most = start, need
		}
	}
	return backend.Range{From: best * block, To: (best + blocks) * block}
}
