package placement

import (
	"math"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// capacity is the serving capacity of a block: its speed, relative to a card whose factors sum to 1, and the number of
// tokens that fit in the KV cache.
type capacity struct{ speed, kvTokens float64 }

// blockCapacities holds the capacity of each block, in the fleet and in each availability zone.
type blockCapacities struct {
	spec      *backend.EngineSpec
	blockSize int
	mean      capacity // mean capacity of a block if all engines were spread evenly
	fleet     []capacity
	zones     map[string][]capacity
}

// newBlockCapacities returns blockCapacities without engines, whose mean is that of an even spread of the given servers.
func newBlockCapacities(spec *backend.EngineSpec, servers []backend.Server, blockSize int) *blockCapacities {
	s := &blockCapacities{spec: spec, blockSize: blockSize, fleet: make([]capacity, spec.Layers/blockSize), zones: make(map[string][]capacity)}
	for _, server := range servers {
		if s.zones[server.Zone] == nil {
			s.zones[server.Zone] = make([]capacity, len(s.fleet))
		}
		card, ok := spec.Card(server.Card)
		if !ok || server.Draining {
			continue
		}
		added := s.capacityPerBlock(card, s.blockCount(card))
		s.mean.speed += added.speed * float64(s.blockCount(card)) / float64(len(s.fleet))
		s.mean.kvTokens += added.kvTokens * float64(s.blockCount(card)) / float64(len(s.fleet))
	}
	s.mean.speed = max(s.mean.speed, math.SmallestNonzeroFloat32)
	s.mean.kvTokens = max(s.mean.kvTokens, math.SmallestNonzeroFloat32)
	return s
}

// blockCount returns the number of blocks that fit on a card, at least 1.
func (s *blockCapacities) blockCount(card backend.Card) int {
	return min(max(maxLayers(s.spec, card)/s.blockSize, 1), len(s.fleet))
}

// capacityPerBlock returns the capacity that a card which holds a number of blocks adds to each of them.
func (s *blockCapacities) capacityPerBlock(card backend.Card, blocks int) capacity {
	speed := 1 / max(card.PrefillFactor+card.DecodeFactor, math.SmallestNonzeroFloat32)
	return capacity{speed: speed / float64(blocks), kvTokens: s.spec.KVCapacity(card, blocks*s.blockSize)}
}

// add adds the capacity of an engine that holds the layers if sign is 1, and removes it if sign is -1.
func (s *blockCapacities) add(server backend.Server, layers backend.Range, sign float64) {
	card, _ := s.spec.Card(server.Card)
	blocks := max(layers.Len()/s.blockSize, 1)
	added := s.capacityPerBlock(card, blocks)
	zone := s.zones[server.Zone]
	for _, i := range s.blocksIn(layers) {
		s.fleet[i].speed += sign * added.speed
		s.fleet[i].kvTokens += sign * added.kvTokens
		zone[i].speed += sign * added.speed
		zone[i].kvTokens += sign * added.kvTokens
	}
}

// bestRange returns the layers with which the engine reduces the shortage of blocks the most, and by how much it does.
func (s *blockCapacities) bestRange(server backend.Server) (best backend.Range, highest float64) {
	card, _ := s.spec.Card(server.Card)
	blocks := s.blockCount(card)
	highest = -1
	for first := 0; first+blocks <= len(s.fleet); first++ {
		layers := backend.Range{From: first * s.blockSize, To: (first + blocks) * s.blockSize}
		if gain := s.gain(server, layers); gain > highest {
			best, highest = layers, gain
		}
	}
	return best, highest
}

// gain returns by how much the engine reduces the shortage of blocks with the layers.
func (s *blockCapacities) gain(server backend.Server, layers backend.Range) (gain float64) {
	card, _ := s.spec.Card(server.Card)
	added := s.capacityPerBlock(card, max(layers.Len()/s.blockSize, 1))
	zone, zoneCount := s.zones[server.Zone], float64(len(s.zones))
	for _, i := range s.blocksIn(layers) {
		gain += s.shortage(s.fleet[i], 1, fleetOffset) - s.shortage(sum(s.fleet[i], added), 1, fleetOffset)
		gain += zoneWeight * (s.shortage(zone[i], zoneCount, zoneOffset) - s.shortage(sum(zone[i], added), zoneCount, zoneOffset))
	}
	return gain
}

// blocksIn returns the indexes of the blocks that the layers contain.
func (s *blockCapacities) blocksIn(layers backend.Range) (blocks []int) {
	first := (layers.From + s.blockSize - 1) / s.blockSize
	for i := first; (i+1)*s.blockSize <= layers.To; i++ {
		blocks = append(blocks, i)
	}
	return blocks
}

func sum(a, b capacity) capacity {
	return capacity{speed: a.speed + b.speed, kvTokens: a.kvTokens + b.kvTokens}
}

// shortage returns how short of capacity a block is; it decreases as the capacity grows. The capacity is measured as a
// fraction of an equal share, which is the mean divided by shares: the number of availability zones for the capacity in
// one zone, 1 for that in the fleet. The offset is added to the fraction and bounds the shortage of a block without
// capacity.
func (s *blockCapacities) shortage(current capacity, shares, offset float64) float64 {
	speedRatio := max(current.speed, 0) * shares / s.mean.speed
	kvRatio := max(current.kvTokens, 0) * shares / s.mean.kvTokens
	return 1/(speedRatio+offset) + 1/(kvRatio+offset)
}
