package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Config configures a Balancer.
type Config struct {
	// Random draws numbers in [0, 1); nil takes the global source.
	Random func() float64
}

// Weights and times of the choice, in parts of a server's slots.
const (
	// zoneCost is what a server in another availability zone costs.
	zoneCost = 0.34
	// suspectCost is what a server costs that failed lately.
	suspectCost = 10.0
	// suspectTime is how long a failure counts.
	suspectTime = 1500 * time.Millisecond
	// reportTime is how long a reported load counts.
	reportTime = time.Second
	// mostIdle is the number of servers beyond which those of which nothing is known any more are forgotten.
	mostIdle = 256
	// noise is the greatest part of a slot by which equal servers differ.
	noise = 0.1
)

// load is what is known of one server.
type load struct {
	own      int
	reported int
	at       time.Time
	suspect  time.Time
}

// Balancer chooses servers; it is not safe for concurrent use.
type Balancer struct {
	config Config
	loads  map[string]*load
}

// New returns a Balancer that knows no loads.
func New(config Config) *Balancer {
	if config.Random == nil {
		config.Random = rand.Float64
	}
	return &Balancer{config: config, loads: make(map[string]*load)}
}

// forget drops what is kept of servers that have no request and of which nothing counts any more.
func (b *Balancer) forget(now time.Time) {
	for id, held := range b.loads {
		if held.own <= 0 && now.Sub(held.at) >= reportTime && !now.Before(held.suspect) {
			delete(b.loads, id)
		}
	}
}

func (b *Balancer) load(id string) *load {
	held := b.loads[id]
	if held == nil {
		held = &load{}
		b.loads[id] = held
	}
	return held
}

// Choose returns the server that is least loaded and nearest, and false if none takes work.
func (b *Balancer) Choose(now time.Time, servers []backend.Server, zone string, avoid []string) (chosen backend.Server, ok bool) {
	if len(b.loads) > mostIdle {
		b.forget(now)
	}
	least := 0.0
	for _, server := range servers {
		if server.Draining || slices.Contains(avoid, server.ID) {
			continue
		}
		held := b.load(server.ID)
		running := held.own
		if now.Sub(held.at) < reportTime {
			running = max(running, held.reported)
		}
		cost := (float64(running) + noise*b.config.Random()) / float64(max(server.Slots, 1))
		if server.Zone != zone {
			cost += zoneCost
		}
		if now.Before(held.suspect) {
			cost += suspectCost
		}
		if !ok || cost < least {
			chosen, least, ok = server, cost, true
		}
	}
	return chosen, ok
}

// Started counts a request that was sent to the server.
func (b *Balancer) Started(id string) { b.load(id).own++ }

// Ended gives back what Started took.
func (b *Balancer) Ended(id string) { b.load(id).own-- }

// UpdateLoad takes the load that a server told with an answer.
func (b *Balancer) UpdateLoad(now time.Time, id string, running int) {
	held := b.load(id)
	held.reported, held.at = running, now
}

// Suspect leaves the server alone for a while, as long as others take work.
func (b *Balancer) Suspect(now time.Time, id string) { b.load(id).suspect = now.Add(suspectTime) }
