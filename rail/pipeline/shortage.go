package pipeline

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Shortage describes why Choose found no chain: the first layers that no engine offers, and the state of the engines that hold
// them.
type Shortage struct {
	// Layers is the first range that no candidate covers; it is empty if every layer has a candidate.
	Layers backend.Range
	// Engines is the number of engines that hold the first of these layers, Dead and Suspected the numbers of those that failed
	// a probe or a request lately. Those that are not dead lack memory or were excluded.
	Engines, Dead, Suspected int
	// LowestFill is the lowest filled fraction of the KV memory of an engine that holds the layer, and FillLimit the highest
	// at which the request would get memory.
	LowestFill, FillLimit float64
	// OwnKV and PeerKV are what this instance has reserved at that engine and what the others are taken to have, in tokens times
	// layers. PeersKnown is false if no other instance has reported, so that PeerKV is a guess.
	OwnKV, PeerKV float64
	PeersKnown    bool
}

// Shortage returns why Choose finds no chain for the request.
func (c *Chooser) Shortage(now time.Time, request Request) (s Shortage) {
	if c.spec == nil {
		return s
	}
	covered := make([]bool, c.spec.Layers)
	excluded := make(map[string]bool, len(request.Avoid))
	for _, id := range request.Avoid {
		excluded[id] = true
	}
	for _, found := range c.candidates(now, request, excluded) {
		for layer := found.server.Layers.From; layer < found.server.Layers.To; layer++ {
			covered[layer] = true
		}
	}
	s.Layers, s.FillLimit = firstGap(covered), request.fillLimit()
	if s.Layers.Len() == 0 {
		return s
	}
	for _, server := range c.servers {
		if server.Layers.From <= s.Layers.From && s.Layers.From < server.Layers.To {
			s.count(now, c, server, request)
		}
	}
	return s
}

// firstGap returns the first range of layers that is not covered.
func firstGap(covered []bool) (gap backend.Range) {
	for layer, is := range covered {
		switch {
		case is && gap.Len() > 0:
			return gap
		case is:
			gap = backend.Range{From: layer + 1, To: layer + 1}
		default:
			gap.To = layer + 1
		}
	}
	if gap.Len() == 0 {
		return backend.Range{}
	}
	return gap
}

// count adds an engine that holds the layers.
func (s *Shortage) count(now time.Time, c *Chooser, server backend.Server, request Request) {
	state := c.state(server.ID)
	usage := c.totalUsage(now, server.ID, state)
	fill, _ := c.fill(server, usage, request)
	if s.Engines == 0 || fill < s.LowestFill {
		_, s.PeersKnown = c.config.PeerUsage(server.ID)
		s.LowestFill, s.OwnKV, s.PeerKV = fill, state.reservedKV, usage.ReservedKV-state.reservedKV
	}
	s.Engines++
	if state.health.isDead(now) {
		s.Dead++
	}
	if state.health.isSuspected(now) {
		s.Suspected++
	}
}
