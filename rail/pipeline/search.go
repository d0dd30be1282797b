package pipeline

import (
	"math"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// linkID returns the ID of the link between two availability zones, the same in both directions. It is a key of
// Chooser.states and of the usage that instances exchange, so all instances must form it alike.
func linkID(from, to string) string {
	if from > to {
		from, to = to, from
	}
	return "pipe/" + from + "/" + to
}

// transferSeconds returns the time in seconds that a request's activations take on a link between availability zones.
func (c *Chooser) transferSeconds(request Request) float64 {
	if c.spec.ZoneMbps <= 0 {
		return 0
	}
	return float64(request.PromptTokens+request.OutputTokens) * c.spec.ActivationBytes * bitsPerByte / (c.spec.ZoneMbps * 1e6)
}

const bitsPerByte = 8

// crossingCost returns the cost in seconds of sending a request's activations from one availability zone to another. It
// grows with the utilization of the link, as transfers wait for one another.
func (c *Chooser) crossingCost(now time.Time, from, to string, request Request) float64 {
	if from == to {
		return 0
	}
	cost := 0.0
	for _, delay := range c.spec.Delays {
		if delay.From == from && delay.To == to || delay.From == to && delay.To == from {
			cost += delay.OneWay.Seconds()
		}
	}
	id := linkID(from, to)
	utilization := min(c.totalUsage(now, id, c.state(id)).WorkRate, maxLinkUtilization)
	return cost + c.transferSeconds(request)/((1-utilization)*(1-utilization))
}

// maxLinkUtilization caps the utilization of a link in the computed delay, which tends to infinity at 1.
const maxLinkUtilization = 0.95

// crossingCosts returns the costs of crossing between availability zones: costs[i][j] is that from the zone with index
// i to the zone with index j. The map zones holds the index of each zone.
func (c *Chooser) crossingCosts(now time.Time, zones map[string]int, request Request) [][]float64 {
	costs := make([][]float64, len(zones))
	for from, i := range zones {
		costs[i] = make([]float64, len(zones))
		for to, j := range zones {
			costs[i][j] = c.crossingCost(now, from, to, request)
		}
	}
	return costs
}

// node is the cheapest partial chain found so far that ends at a boundary of layers in an availability zone.
type node struct {
	cost     float64
	previous int // index of the previous node, or root
	stage    Stage
	reached  bool
}

// span is the range of layers that a search covers.
type span struct {
	from, to int
	// zoneBefore and zoneAfter are the availability zones of the stages around the span, empty where there is none.
	zoneBefore, zoneAfter string
}

// search returns the stages with the lowest cost that cover the span, and false if the candidates cannot cover it.
func (c *Chooser) search(now time.Time, candidates []candidate, request Request, target span) (chain Chain, ok bool) {
	zones := indexZones(candidates, target)
	costs := c.crossingCosts(now, zones, request)
	nodes := make([]node, len(c.boundaries)*len(zones))
	first, last := slices.Index(c.boundaries, target.from), slices.Index(c.boundaries, target.to)
	if first < 0 || last < 0 {
		return nil, false
	}
	c.addFirstStages(nodes, first, candidates, zones, costs, request, target)
	for i := first + 1; i < last; i++ {
		for z := range len(zones) {
			if current := i*len(zones) + z; nodes[current].reached {
				c.addStages(nodes, current, i, candidates, zones, costs[z])
			}
		}
	}
	end, lowest := -1, math.Inf(1)
	for z := range len(zones) {
		index := last*len(zones) + z
		cost := nodes[index].cost
		if target.zoneAfter != "" {
			cost += costs[z][zones[target.zoneAfter]]
		}
		if nodes[index].reached && cost < lowest {
			end, lowest = index, cost
		}
	}
	if end < 0 {
		return nil, false
	}
	return buildChain(nodes, end), true
}

// remoteEntryCost is the extra cost of a first engine outside this instance's availability zone.
const remoteEntryCost = 20 * time.Millisecond

// addFirstStages adds the stages that begin at the first boundary of the span. Their entry cost is that of the crossing
// from the stage before the span or, without one, remoteEntryCost for engines outside this instance's availability
// zone, as the instance sends the request itself and no activations.
func (c *Chooser) addFirstStages(nodes []node, first int, candidates []candidate, zones map[string]int, costs [][]float64, request Request, target span) {
	entryCosts := make([]float64, len(zones))
	for zone, z := range zones {
		switch {
		case target.zoneBefore != "":
			entryCosts[z] = costs[zones[target.zoneBefore]][z]
		case zone != request.Zone:
			entryCosts[z] = remoteEntryCost.Seconds()
		}
	}
	c.addStages(nodes, root, first, candidates, zones, entryCosts)
}

// root is the index that stands for the beginning of a chain, before any node; buildChain stops there.
const root = -1

// indexZones assigns an index to each availability zone of the candidates and of the stages around the span.
func indexZones(candidates []candidate, target span) map[string]int {
	zones := make(map[string]int)
	for _, zone := range []string{target.zoneBefore, target.zoneAfter} {
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

// addStages extends the chain of a node, or the root, by every candidate that holds the next layer, up to each boundary
// within its layers. The parameters fromNode and fromBoundary are the indexes of the node and of the boundary at which
// it ends; costs holds the cost of crossing to each zone, by the index of the zone.
func (c *Chooser) addStages(nodes []node, fromNode, fromBoundary int, candidates []candidate, zones map[string]int, costs []float64) {
	layer, base := c.boundaries[fromBoundary], 0.0
	if fromNode != root {
		base = nodes[fromNode].cost
	}
	for _, candidate := range candidates {
		available := candidate.server.Layers
		if layer < available.From || layer >= available.To {
			continue
		}
		zone := zones[candidate.server.Zone]
		start := base + candidate.fixedCost + costs[zone]
		for i := fromBoundary + 1; i < len(c.boundaries) && c.boundaries[i] <= available.To; i++ {
			layers := backend.Range{From: layer, To: c.boundaries[i]}
			cost := start + candidate.layerCost*float64(layers.Len())
			next := &nodes[i*len(zones)+zone]
			if !next.reached || cost < next.cost {
				*next = node{cost: cost, previous: fromNode, stage: Stage{Server: candidate.server, Layers: layers}, reached: true}
			}
		}
	}
}

// buildChain returns the stages that lead to a node, with adjacent stages on the same engine merged.
func buildChain(nodes []node, last int) (chain Chain) {
	for i := last; i != root; i = nodes[i].previous {
		stage := nodes[i].stage
		if n := len(chain); n > 0 && chain[n-1].Server.ID == stage.Server.ID {
			chain[n-1].Layers.From = stage.Layers.From
			continue
		}
		chain = append(chain, stage)
	}
	for i, j := 0, len(chain)-1; i < j; i, j = i+1, j-1 {
		chain[i], chain[j] = chain[j], chain[i]
	}
	return chain
}

// Covers reports whether the chain runs every layer once, in order, on engines that hold the layers.
func Covers(chain Chain, layers int) bool {
	next := 0
	for _, stage := range chain {
		if stage.Layers.From != next || stage.Layers.Len() <= 0 || !stage.Server.Layers.Contains(stage.Layers) {
			return false
		}
		next = stage.Layers.To
	}
	return next == layers
}
