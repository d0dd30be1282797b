package pipeline

import (
	"math"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// pipeID names the link between two availability zones among the loads.
func pipeID(from, to string) string {
	if from > to {
		from, to = to, from
	}
	return "pipe/" + from + "/" + to
}

// transfer returns the time in seconds that a request's activations take on a link between availability zones.
func (c *Chooser) transfer(request Request) float64 {
	if c.engine.ZoneMbps <= 0 {
		return 0
	}
	return float64(request.PromptTokens+request.OutputTokens) * c.engine.ActivationBytes * bitsPerByte / (c.engine.ZoneMbps * 1e6)
}

const bitsPerByte = 8

// crossing returns the cost in seconds of passing a request's activations from one availability zone to another, stretched
// by the part of the link's time that is taken, as transfers wait for one another.
func (c *Chooser) crossing(now time.Time, from, to string, request Request) float64 {
	if from == to {
		return 0
	}
	cost := 0.0
	for _, delay := range c.engine.Delays {
		if delay.From == from && delay.To == to || delay.From == to && delay.To == from {
			cost += delay.OneWay.Seconds()
		}
	}
	id := pipeID(from, to)
	use := min(c.taken(now, id, c.load(id)).WorkRate, maxPipeUse)
	return cost + c.transfer(request)/((1-use)*(1-use))
}

// maxPipeUse bounds the part of a link's time that a delay is computed for.
const maxPipeUse = 0.95

// crossings returns the cost of each step between two availability zones of the candidates.
func (c *Chooser) crossings(now time.Time, zones map[string]int, request Request) [][]float64 {
	costs := make([][]float64, len(zones))
	for from, i := range zones {
		costs[i] = make([]float64, len(zones))
		for to, j := range zones {
			costs[i][j] = c.crossing(now, from, to, request)
		}
	}
	return costs
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
	// before and after are the zones of the stages around the span, empty where there is none.
	before, after string
}

// search returns the cheapest path over the candidates for the span.
func (c *Chooser) search(now time.Time, candidates []candidate, request Request, over span) (path Path, ok bool) {
	zones := zonesOf(candidates, over)
	costs := c.crossings(now, zones, request)
	nodes := make([]node, len(c.bounds)*len(zones))
	first, last := slices.Index(c.bounds, over.from), slices.Index(c.bounds, over.to)
	if first < 0 || last < 0 {
		return nil, false
	}
	c.enter(nodes, first, candidates, zones, costs, request, over)
	for i := first + 1; i < last; i++ {
		for z := range len(zones) {
			if here := i*len(zones) + z; nodes[here].set {
				c.extend(nodes, here, i, candidates, zones, costs[z])
			}
		}
	}
	best, least := -1, math.Inf(1)
	for z := range len(zones) {
		end := last*len(zones) + z
		cost := nodes[end].cost
		if over.after != "" {
			cost += costs[z][zones[over.after]]
		}
		if nodes[end].set && cost < least {
			best, least = end, cost
		}
	}
	if best < 0 {
		return nil, false
	}
	return trace(nodes, best), true
}

// enterCost is what the first engine costs more in another availability zone than the instance's.
const enterCost = 20 * time.Millisecond

// enter begins paths at the first bound: from the stage before the span, or from the instance, which sends no activations.
func (c *Chooser) enter(nodes []node, first int, candidates []candidate, zones map[string]int, costs [][]float64, request Request, over span) {
	entry := make([]float64, len(zones))
	for zone, z := range zones {
		switch {
		case over.before != "":
			entry[z] = costs[zones[over.before]][z]
		case zone != request.Zone:
			entry[z] = enterCost.Seconds()
		}
	}
	// The root stands before all nodes: its index ends a trace.
	c.extend(nodes, root, first, candidates, zones, entry)
}

// root is the index of the beginning of all paths.
const root = -1

// zonesOf numbers the availability zones of the candidates and of the stages around a span.
func zonesOf(candidates []candidate, over span) map[string]int {
	zones := make(map[string]int)
	for _, zone := range []string{over.before, over.after} {
		if _, ok := zones[zone]; !ok && zone != "" {
			zones[zone] = len(zones)
		}
	}
	for _, candidate := range candidates {
		if _, ok := zones[candidate.server.Zone]; !ok {
			zones[candidate.server.Zone] = len(zones)
		}
	}
	return zones
}

// extend goes on from a node, or from the root, with every engine that holds the next layer, up to each boundary that it
// reaches; costs holds the cost of going to each zone.
func (c *Chooser) extend(nodes []node, here, bound int, candidates []candidate, zones map[string]int, costs []float64) {
	layer, base := c.bounds[bound], 0.0
	if here != root {
		base = nodes[here].cost
	}
	for _, candidate := range candidates {
		held := candidate.server.Layers
		if layer < held.From || layer >= held.To {
			continue
		}
		zone := zones[candidate.server.Zone]
		start := base + candidate.fixed + costs[zone]
		for i := bound + 1; i < len(c.bounds) && c.bounds[i] <= held.To; i++ {
			run := backend.Range{From: layer, To: c.bounds[i]}
			cost := start + candidate.perLayer*float64(run.Len())
			next := &nodes[i*len(zones)+zone]
			if !next.set || cost < next.cost {
				*next = node{cost: cost, from: here, stage: Stage{Server: candidate.server, Layers: run}, set: true}
			}
		}
	}
}

// trace returns the path that leads to a node, with neighbouring parts of one engine joined.
func trace(nodes []node, last int) (path Path) {
	for i := last; i != root; i = nodes[i].from {
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
