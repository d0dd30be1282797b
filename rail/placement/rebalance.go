package placement

import "github.com/comfreyrail/comfreyrail/rail/backend"

// Conditions of a move.
const (
	// minMoveGain is how much a move must reduce the shortage of blocks for each block that the engine gives up, so that it is
	// worth its load. The shortage of a block with an equal share of the mean capacity is 2.
	minMoveGain = 0.5
	// minHoldersLeft is the minimum number of other engines that hold a block which a move gives up.
	minHoldersLeft = 2
)

// Rebalance returns the move of one engine to other layers that reduces the shortage of blocks the most, and false if none is
// worth its load. There is no move while any engine is still to be assigned layers or to load them. Engines that hold layers or have
// pending ones that the model does not have are left out.
func Rebalance(spec *backend.EngineSpec, servers []backend.Server, pending map[string]backend.Range) (move Assignment, ok bool) {
	servers = withValidLayers(spec, servers, pending)
	blockSize := BlockSize(spec)
	capacities := newBlockCapacities(spec, servers, blockSize)
	holders := make([]int, spec.Layers/blockSize)
	for _, server := range servers {
		if _, known := spec.Card(server.Card); !known || server.Draining {
			continue
		}
		if _, loading := pending[server.ID]; loading || server.Layers.Len() == 0 {
			return Assignment{}, false
		}
		capacities.add(server, server.Layers, 1)
		for _, i := range capacities.blocksIn(server.Layers) {
			holders[i]++
		}
	}
	highest := 0.0
	for _, server := range servers {
		givenUp := capacities.blocksIn(server.Layers)
		if _, known := spec.Card(server.Card); !known || server.Draining || !canGiveUp(givenUp, holders) {
			continue
		}
		capacities.add(server, server.Layers, -1)
		best, gain := capacities.bestRange(server)
		gain -= capacities.gain(server, server.Layers) + minMoveGain*float64(len(givenUp))
		capacities.add(server, server.Layers, 1)
		if gain > highest {
			move, highest, ok = Assignment{Server: server, Layers: best}, gain, true
		}
	}
	return move, ok
}

// canGiveUp reports whether enough other engines hold each of the blocks.
func canGiveUp(blocks, holders []int) bool {
	for _, i := range blocks {
		if holders[i] <= minHoldersLeft {
			return false
		}
	}
	return true
}
