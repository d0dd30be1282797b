package experiment

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// Parameters of the simulated pool.
const (
	poolLayers       = 60
	poolEngines      = 30
	poolZones        = 3
	engineSlots      = 4
	sameZoneLatency  = 100 * time.Microsecond
	crossZoneLatency = 10 * time.Millisecond
	reportPeriod     = 500 * time.Millisecond // interval between status reports
	reportLag        = time.Second            // time until a report arrives
)

// layerTimes are the times for one layer, by kind of accelerator.
var layerTimes = []time.Duration{500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond}

// layerLayout is a named list of layer ranges, which may overlap; newPool assigns them to the engines in turn. The second value
// of a range is the layer after its last.
type layerLayout struct {
	name   string
	ranges [][2]int
}

// layouts are the simulated layouts: stages of equal length, and ranges that overlap.
var layouts = []layerLayout{
	{name: "equal", ranges: [][2]int{{0, 20}, {20, 40}, {40, 60}}},
	{name: "overlapping", ranges: [][2]int{{0, 20}, {20, 40}, {40, 60}, {0, 30}, {30, 60}}},
}

// simulatedPool is a pool of simulated engines; the engines are indexed by server name.
type simulatedPool struct {
	clock   *clock
	servers []chain.Server
	engines map[string]*locatedEngine
}

// locatedEngine is a simulated engine with its availability zone.
type locatedEngine struct {
	simulatedEngine
	zone string
}

// newPool returns a pool in which the kind of accelerator and the zone of each engine are random.
func newPool(c *clock, source *rand.Rand, layout layerLayout) *simulatedPool {
	p := &simulatedPool{clock: c, engines: make(map[string]*locatedEngine)}
	for i := range poolEngines {
		layers := layout.ranges[i%len(layout.ranges)]
		layerTime := layerTimes[source.Intn(len(layerTimes))]
		name := fmt.Sprintf("worker-%d", i)
		zone := fmt.Sprintf("zone-%d", source.Intn(poolZones))
		step := time.Duration(layers[1]-layers[0]) * layerTime
		p.engines[name] = &locatedEngine{simulatedEngine: simulatedEngine{clock: c, slots: engineSlots, stepTime: step}, zone: zone}
		p.servers = append(p.servers, chain.Server{
			Name: name, Address: name, Zone: zone, Usable: true, ReportedAt: c.wallTime(),
			Status: engineStatus(name, layers, layerTime),
		})
	}
	return p
}

func engineStatus(name string, layers [2]int, layerTime time.Duration) engine.Status {
	return engine.Status{Server: name, First: layers[0], Last: layers[1], Version: "v1", LayerTime: layerTime, Slots: engineSlots}
}

// maxTokenRate returns an upper bound of the tokens per second that the pool can generate: the maximum flow through the
// layers.
func (p *simulatedPool) maxTokenRate() float64 {
	edges := make([]edge, 0, len(p.servers))
	for _, server := range p.servers {
		edges = append(edges, edge{from: server.Status.First, to: server.Status.Last, capacity: p.engines[server.Name].maxRate()})
	}
	return maxFlow(poolLayers+1, edges)
}

// report samples the load of every engine now, and passes it to receive after reportLag.
func (p *simulatedPool) report(receive func([]chain.Server)) {
	servers := make([]chain.Server, len(p.servers))
	copy(servers, p.servers)
	for i := range servers {
		servers[i].Status.Queue = p.engines[servers[i].Name].requests
	}
	p.clock.after(reportLag, func() {
		for i := range servers {
			servers[i].ReportedAt = p.clock.wallTime()
		}
		receive(servers)
	})
}

// linkLatency returns the latency of one message between two availability zones.
func linkLatency(from, to string) time.Duration {
	if from == to {
		return sameZoneLatency
	}
	return crossZoneLatency
}

// generate simulates the tokens of one request on the chain. It calls onToken after each token and done after the last.
func (p *simulatedPool) generate(picked chain.Chain, tokens int, onToken func(), done func()) {
	for _, stage := range picked.Stages {
		p.engines[stage.Server].requests++
	}
	tokensLeft := tokens
	var runStage func(i int)
	runStage = func(i int) {
		p.engines[picked.Stages[i].Server].submit(func() {
			next := (i + 1) % len(picked.Stages)
			if next == 0 {
				onToken()
				tokensLeft--
			}
			if tokensLeft == 0 {
				for _, stage := range picked.Stages {
					p.engines[stage.Server].requests--
				}
				done()
				return
			}
			p.clock.after(p.stageLatency(picked, i, next), func() { runStage(next) })
		})
	}
	runStage(0)
}

// stageLatency returns the latency of one message between two stages of the chain.
func (p *simulatedPool) stageLatency(picked chain.Chain, from, to int) time.Duration {
	return linkLatency(p.engines[picked.Stages[from].Server].zone, p.engines[picked.Stages[to].Server].zone)
}
