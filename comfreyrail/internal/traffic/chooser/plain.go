package chooser

import (
	"maps"
	"math/rand"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// defaultCallTime is the assumed duration of a call to a backend server that reports no duration. Only its ratio to the
// latency of the links affects the choice.
const defaultCallTime = 10 * time.Millisecond

// ChooseServer returns the address of a backend server of a plain pool for one call, other than those in tried, and reports
// whether a server accepts new work. The function done must be called when the call has ended.
func (c *Chooser) ChooseServer(poolName string, tried map[string]bool) (address string, done func(succeeded bool), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, now := c.refresh(chain.Request{Pool: poolName, Layers: 1}, asSingleStage), c.config.Now()
	request := chain.Request{Pool: poolName, Layers: 1, Avoid: maps.Clone(tried)}
	if request.Avoid == nil {
		request.Avoid = make(map[string]bool)
	}
	// A server whose circuit breaker allows no request now is chosen only if no other is left.
	for _, server := range p.servers {
		if !p.breakers.Allow(now, server.Name) {
			request.Avoid[server.Name] = true
		}
	}
	chosen, ok := p.picker.Choose(request)
	if !ok {
		request.Avoid = tried
		chosen, ok = p.picker.Choose(request)
	}
	if !ok {
		return "", nil, false
	}
	p.inFlight++
	p.picker.Started(now, chosen)
	handle := p.breakers.Started(now, chosen.Stages[0].Server)
	var once sync.Once
	return chosen.Stages[0].Address, func(succeeded bool) {
		once.Do(func() { c.endCall(poolName, p, chosen, handle, succeeded) })
	}, true
}

// endCall reverts the counts of ChooseServer and records the result of the call in the circuit breaker.
func (c *Chooser) endCall(poolName string, p *poolState, chosen chain.Chain, handle retry.Handle, succeeded bool) {
	c.untrack(poolName, p, chosen)
	c.mu.Lock()
	defer c.mu.Unlock()
	p.breakers.Ended(c.config.Now(), handle, succeeded)
}

// asSingleStage converts backend servers of a plain pool to engines of a chain with a single stage, and sets their names
// to their addresses.
func asSingleStage(servers []chain.Server) {
	for i := range servers {
		servers[i].Name = servers[i].Address
		servers[i].Status.First, servers[i].Status.Last = 0, 1
		if servers[i].Status.LayerTime == 0 {
			servers[i].Status.LayerTime = defaultCallTime
		}
	}
}

// unchanged is the conversion for model pools, whose servers need no change.
func unchanged([]chain.Server) {}

// newBreakers returns the circuit breakers of one pool.
func newBreakers(seed int64) *retry.Breakers {
	return retry.NewBreakers(retry.BreakersConfig{Random: rand.New(rand.NewSource(seed))})
}
