package pipeline

import (
	"math"
	"slices"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// crossing returns the cost in seconds of going from one availability zone to another with the request's prompt.
func (c *Chooser) crossing(from, to string, request Request) float64 {
	if from == to || from == "" {
		return 0
	}
	cost := 0.0
	for _, delay := range c.engine.Delays {
		if delay.From == from && delay.To == to || delay.From == to && delay.To == from {
			cost += delay.Time.Seconds()
		}
	}
	if c.engine.ZoneMegabits > 0 {
		cost += float64(request.Prompt+request.Answer) * c.engine.ActivationBytes * 8 / (c.engine.ZoneMegabits * 1e6)
	}
	return cost
}

// node is a place in the search: layers done, by an engine of a zone.
type node struct {
	cost  float64
	from  int // index of the node before
	stage Stage
	set   bool
}

// span is a range of layers that a search covers.
type span struct {
	from, to int
}

// search returns the cheapest path over the candidates for the span.
func (c *Chooser) search(candidates []candidate, request Request, over span) (path Path, ok bool) {
	zones := zonesOf(candidates, request.Zone)
	nodes := make([]node, len(c.bounds)*len(zones))
	first, last := slices.Index(c.bounds, over.from), slices.Index(c.bounds, over.to)
	if first < 0 || last < 0 {
		return nil, false
	}
	nodes[first*len(zones)+zones[request.Zone]] = node{set: true, from: -1}
	for i := first; i < last; i++ {
		for zone, z := range zones {
			if here := i*len(zones) + z; nodes[here].set {
				c.extend(nodes, here, i, zone, candidates, zones, request)
			}
		}
	}
	best, least := -1, math.Inf(1)
	for z := range len(zones) {
		end := last*len(zones) + z
		if nodes[end].set && nodes[end].cost < least {
			best, least = end, nodes[end].cost
		}
	}
	if best < 0 {
		return nil, false
	}
	return trace(nodes, best), true
}

func zonesOf(candidates []candidate, home string) map[string]int {
	zones := map[string]int{home: 0}
	for _, candidate := range candidates {
		if _, ok := zones[candidate.server.Zone]; !ok {
			zones[candidate.server.Zone] = len(zones)
		}
	}
	return zones
}

// extend goes on from a node with every engine that holds the next layer, up to each boundary that it reaches.
func (c *Chooser) extend(nodes []node, here, bound int, zone string, candidates []candidate, zones map[string]int, request Request) {
	layer := c.bounds[bound]
	for _, candidate := range candidates {
		held := candidate.server.Layers
		if layer < held.From || layer >= held.To {
			continue
		}
		start := nodes[here].cost + candidate.fixed + c.crossing(zone, candidate.server.Zone, request)
		for i := bound + 1; i < len(c.bounds) && c.bounds[i] <= held.To; i++ {
			run := backend.Range{From: layer, To: c.bounds[i]}
			cost := start + candidate.perLayer*float64(run.Len())
			next := &nodes[i*len(zones)+zones[candidate.server.Zone]]
			if !next.set || cost < next.cost {
				*next = node{cost: cost, from: here, stage: Stage{Server: candidate.server, Layers: run}, set: true}
			}
		}
	}
}

// trace returns the path that leads to a node, with neighbouring parts of one engine joined.
func trace(nodes []node, last int) (path Path) {
	for i := last; nodes[i].from >= 0; i = nodes[i].from {
		stage := nodes[i].stage
		if n := len(path); n > 0 && path[n-1].Server.ID == stage.Server.ID {
			path[n-1].Layers.From = stage.Layers.From
			continue
		}
		path = append(path, stage)
	}
	for i, j := 0, len(path)-1; i < j; i, j = i+1, j-1 {
		path[i], path[j] = path[j], path[i]
	}
	return path
}

// Covers reports whether the path runs every layer once and in order.
func Covers(path Path, layers int) bool {
	next := 0
	for _, stage := range path {
		if stage.Layers.From != next || stage.Layers.Len() <= 0 || !stage.Server.Layers.Contains(stage.Layers) {
			return false
		}
		next = stage.Layers.To
	}
	return next == layers
}
