package experiment

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// Shape of the simulated pool.
const (
	poolLayers   = 60
	poolWorkers  = 30
	poolZones    = 3
	engineSlots  = 4
	nearLink     = 100 * time.Microsecond
	farLink      = 10 * time.Millisecond
	reportPeriod = 500 * time.Millisecond
	reportLag    = time.Second
)

// layerTimes are the times of one layer on the kinds of accelerators.
var layerTimes = []time.Duration{500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond}

// shape says how the layers are divided among the workers.
type shape struct {
	name   string
	ranges [][2]int
}

// shapes are the divisions that are tried: equal stages, and ranges that overlap.
var shapes = []shape{
	{name: "equal", ranges: [][2]int{{0, 20}, {20, 40}, {40, 60}}},
	{name: "overlapping", ranges: [][2]int{{0, 20}, {20, 40}, {40, 60}, {0, 30}, {30, 60}}},
}

// simulatedPool is a pool of simulated workers.
type simulatedPool struct {
	clock   *clock
	servers []chain.Server
	workers map[string]*workerAt
}

// workerAt is a simulated engine with its availability zone.
type workerAt struct {
	worker
	zone string
}

// newPool returns a pool with kinds of accelerators and zones drawn at random.
func newPool(c *clock, source *rand.Rand, s shape) *simulatedPool {
	p := &simulatedPool{clock: c, workers: make(map[string]*workerAt)}
	for i := range poolWorkers {
		layers := s.ranges[i%len(s.ranges)]
		layerTime := layerTimes[source.Intn(len(layerTimes))]
		name := fmt.Sprintf("worker-%d", i)
		zone := fmt.Sprintf("zone-%d", source.Intn(poolZones))
		step := time.Duration(layers[1]-layers[0]) * layerTime
		p.workers[name] = &workerAt{worker: worker{clock: c, slots: engineSlots, step: step}, zone: zone}
		p.servers = append(p.servers, chain.Server{
			Name: name, Address: name, Zone: zone, Usable: true, ReportedAt: c.wall(),
			Status: engineStatus(name, layers, layerTime),
		})
	}
	return p
}

func engineStatus(name string, layers [2]int, layerTime time.Duration) engine.Status {
	return engine.Status{Server: name, First: layers[0], Last: layers[1], Version: "v1", LayerTime: layerTime, Slots: engineSlots}
}

// bound returns the tokens in a second that the stages can carry at most.
func (p *simulatedPool) bound() float64 {
	pipes := make([]pipe, 0, len(p.servers))
	for _, server := range p.servers {
		pipes = append(pipes, pipe{from: server.Status.First, to: server.Status.Last, room: p.workers[server.Name].rate()})
	}
	return maxFlow(poolLayers+1, pipes)
}

// report samples the load of every engine now, and hands it to receive after the lag.
func (p *simulatedPool) report(receive func([]chain.Server)) {
	servers := make([]chain.Server, len(p.servers))
	copy(servers, p.servers)
	for i := range servers {
		servers[i].Status.Queue = p.workers[servers[i].Name].streams
	}
	p.clock.after(reportLag, func() {
		for i := range servers {
			servers[i].ReportedAt = p.clock.wall()
		}
		receive(servers)
	})
}

// link returns the time of a message between two availability zones.
func link(from, to string) time.Duration {
	if from == to {
		return nearLink
	}
	return farLink
}

// answer generates the tokens of one request on the chain, and then calls done.
func (p *simulatedPool) answer(plan chain.Plan, tokens int, token func(), done func()) {
	for _, hop := range plan.Hops {
		p.workers[hop.Server].streams++
	}
	left := tokens
	var stage func(i int)
	stage = func(i int) {
		p.workers[plan.Hops[i].Server].submit(func() {
			next := (i + 1) % len(plan.Hops)
			if next == 0 {
				token()
				left--
			}
			if left == 0 {
				for _, hop := range plan.Hops {
					p.workers[hop.Server].streams--
				}
				done()
				return
			}
			p.clock.after(p.between(plan, i, next), func() { stage(next) })
		})
	}
	stage(0)
}

// between returns the time of a message between two stages of the chain.
func (p *simulatedPool) between(plan chain.Plan, from, to int) time.Duration {
	return link(p.workers[plan.Hops[from].Server].zone, p.workers[plan.Hops[to].Server].zone)
}
