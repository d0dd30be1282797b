package placement

import (
	"math"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// amount is what a block is served with: speed, and room for the KV cache of requests.
type amount struct{ rate, room float64 }

// supply is what each block is served with, by the fleet and by each availability zone.
type supply struct {
	engine *backend.EngineSpec
	block  int
	mean   amount // of a block, if all engines were spread evenly
	fleet  []amount
	zones  map[string][]amount
}

// newSupply returns the supply of no engines, measured against an even spread of the given ones.
func newSupply(engine *backend.EngineSpec, servers []backend.Server, block int) *supply {
	s := &supply{engine: engine, block: block, fleet: make([]amount, engine.Layers/block), zones: make(map[string][]amount)}
	for _, server := range servers {
		if s.zones[server.Zone] == nil {
			s.zones[server.Zone] = make([]amount, len(s.fleet))
		}
		card, ok := engine.Card(server.Card)
		if !ok || server.Draining {
			continue
		}
		one := s.amount(card, s.blocks(card))
		s.mean.rate += one.rate * float64(s.blocks(card)) / float64(len(s.fleet))
		s.mean.room += one.room * float64(s.blocks(card)) / float64(len(s.fleet))
	}
	s.mean.rate = max(s.mean.rate, math.SmallestNonzeroFloat32)
	s.mean.room = max(s.mean.room, math.SmallestNonzeroFloat32)
	return s
}

// blocks returns the number of blocks that a card holds.
func (s *supply) blocks(card backend.Card) int {
	return min(max(capacity(s.engine, card)/s.block, 1), len(s.fleet))
}

// amount returns what a card that holds so many blocks gives to each.
func (s *supply) amount(card backend.Card, blocks int) amount {
	speed := 1 / max(card.PrefillFactor+card.DecodeFactor, math.SmallestNonzeroFloat32)
	return amount{rate: speed / float64(blocks), room: s.engine.KVCapacity(card, blocks*s.block)}
}

// add counts an engine that holds the layers, or takes it away with the sign -1.
func (s *supply) add(server backend.Server, layers backend.Range, sign float64) {
	card, _ := s.engine.Card(server.Card)
	held := max(layers.Len()/s.block, 1)
	one := s.amount(card, held)
	zone := s.zones[server.Zone]
	for i := range s.fleet {
		if !layers.Contains(backend.Range{From: i * s.block, To: (i + 1) * s.block}) {
			continue
		}
		s.fleet[i].rate += sign * one.rate
		s.fleet[i].room += sign * one.room
		zone[i].rate += sign * one.rate
		zone[i].room += sign * one.room
	}
}

// best returns the window of blocks in which an engine is of most use.
func (s *supply) best(server backend.Server) backend.Range {
	card, _ := s.engine.Card(server.Card)
	blocks := s.blocks(card)
	one := s.amount(card, blocks)
	zone := s.zones[server.Zone]
	start, most := 0, -1.0
	for first := 0; first+blocks <= len(s.fleet); first++ {
		use := 0.0
		for i := first; i < first+blocks; i++ {
			use += s.lack(s.fleet[i], 1, fleetFloor) - s.lack(plus(s.fleet[i], one), 1, fleetFloor)
			part := float64(len(s.zones))
			use += zoneWeight * (s.lack(zone[i], part, zoneFloor) - s.lack(plus(zone[i], one), part, zoneFloor))
		}
		if use > most {
			start, most = first, use
		}
	}
	return backend.Range{From: start * s.block, To: (start + blocks) * s.block}
}

func plus(a, b amount) amount { return amount{rate: a.rate + b.rate, room: a.room + b.room} }

// lack returns how badly a block is served that should have one of so many parts of the mean.
func (s *supply) lack(have amount, parts, floor float64) float64 {
	rate := max(have.rate, 0) * parts / s.mean.rate
	room := max(have.room, 0) * parts / s.mean.room
	return 1/(rate+floor) + 1/(room+floor)
}
