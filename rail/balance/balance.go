package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Config configures a Balancer.
type Config struct {
	// Random draws numbers in [0, 1); nil means the global source.
	Random func() float64
}

// Costs and times that determine the choice. The cost of a server is its number of requests per slot plus the
// penalties.
const (
	// zonePenalty is the extra cost of a server in another availability zone.
	zonePenalty = 0.34
	// suspectPenalty is the extra cost of a suspected server.
	suspectPenalty = 10.0
	// suspectTime is how long a server is suspected after a failure.
	suspectTime = 1500 * time.Millisecond
	// reportTTL is how long a reported load is valid.
	reportTTL = time.Second
	// maxTracked is the number of states above which those of idle servers are removed.
	maxTracked = 256
	// jitter is the largest fraction of a slot that is randomly added to the load, so that equal servers are chosen at random.
	jitter = 0.1
)

// serverState holds the requests of this instance at one server, the server's last report and its suspicion.
type serverState struct {
	inFlight     int // requests of this instance
	reported     int // requests at the server, running and waiting, as reported last
	reportedAt   time.Time
	suspectUntil time.Time
}

// Balancer chooses servers; it is not safe for concurrent use.
type Balancer struct {
	config Config
	states map[string]*serverState
}

// New returns a Balancer without recorded loads.
func New(config Config) *Balancer {
	if config.Random == nil {
		config.Random = rand.Float64
	}
	return &Balancer{config: config, states: make(map[string]*serverState)}
}

// removeIdle removes the states of servers that have no requests of this instance, no valid report and no suspicion.
func (b *Balancer) removeIdle(now time.Time) {
	for id, state := range b.states {
		if state.inFlight <= 0 && now.Sub(state.reportedAt) >= reportTTL && !now.Before(state.suspectUntil) {
			delete(b.states, id)
		}
	}
}

func (b *Balancer) state(id string) *serverState {
	state := b.states[id]
	if state == nil {
		state = &serverState{}
		b.states[id] = state
	}
	return state
}

// Choose returns the server with the lowest cost by load, zone and suspicion, and false if there is none. It skips
// draining servers and those whose IDs are in avoid.
func (b *Balancer) Choose(now time.Time, servers []backend.Server, zone string, avoid []string) (chosen backend.Server, ok bool) {
	if len(b.states) > maxTracked {
		b.removeIdle(now)
	}
	lowest := 0.0
	for _, server := range servers {
		if server.Draining || slices.Contains(avoid, server.ID) {
			continue
		}
		state := b.state(server.ID)
		requests := state.inFlight
		if now.Sub(state.reportedAt) < reportTTL {
			requests = max(requests, state.reported)
		}
		cost := (float64(requests) + jitter*b.config.Random()) / float64(max(server.Slots, 1))
		if server.Zone != zone {
			cost += zonePenalty
		}
		if now.Before(state.suspectUntil) {
			cost += suspectPenalty
		}
		if !ok || cost < lowest {
			chosen, lowest, ok = server, cost, true
		}
	}
	return chosen, ok
}

// Started records that a request was sent to the server.
func (b *Balancer) Started(id string) { b.state(id).inFlight++ }

// Ended records that a request that Started recorded has ended.
func (b *Balancer) Ended(id string) { b.state(id).inFlight-- }

// UpdateLoad records the number of requests at the server, running and waiting, that the server reported with a
// response.
func (b *Balancer) UpdateLoad(now time.Time, id string, requests int) {
	state := b.state(id)
	state.reported, state.reportedAt = requests, now
}

// MarkSuspected marks the server as suspected for suspectTime; during that time other servers that take work are preferred.
func (b *Balancer) MarkSuspected(now time.Time, id string) {
	b.state(id).suspectUntil = now.Add(suspectTime)
}
