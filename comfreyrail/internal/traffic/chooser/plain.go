package chooser

import (
	"maps"
	"math/rand"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// plainTime is the time of a call to a plain service of which nothing is known; only its relation to links matters.
const plainTime = 10 * time.Millisecond

// Pick returns the address of a plain service of the pool for one call, and false if none takes new work.
//
// Services that keep failing are left alone unless no other is left. Done must be called when the call has ended.
func (c *Chooser) Pick(poolName string, tried map[string]bool) (address string, done func(succeeded bool), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, now := c.refresh(chain.Request{Pool: poolName, Layers: 1}, asStage), c.config.Now()
	request := chain.Request{Pool: poolName, Layers: 1, Avoid: maps.Clone(tried)}
	if request.Avoid == nil {
		request.Avoid = make(map[string]bool)
	}
	for _, server := range held.listed {
		if !held.breakers.Ready(now, server.Name) {
			request.Avoid[server.Name] = true
		}
	}
	plan, ok := held.picker.Choose(request)
	if !ok {
		request.Avoid = tried
		plan, ok = held.picker.Choose(request)
	}
	if !ok {
		return "", nil, false
	}
	held.requests++
	held.picker.Started(now, plan)
	handle := held.breakers.Started(now, plan.Hops[0].Server)
	var once sync.Once
	return plan.Hops[0].Address, func(succeeded bool) {
		once.Do(func() { c.end(poolName, held, plan, handle, succeeded) })
	}, true
}

// end takes back what Pick counted.
func (c *Chooser) end(poolName string, held *pool, plan chain.Plan, handle retry.Handle, succeeded bool) {
	c.finish(poolName, held, plan)
	c.mu.Lock()
	defer c.mu.Unlock()
	held.breakers.Ended(c.config.Now(), handle, succeeded)
}

// asStage turns plain services into servers of the single stage of a chain, named by their addresses.
func asStage(servers []chain.Server) {
	for i := range servers {
		servers[i].Name = servers[i].Address
		servers[i].Status.First, servers[i].Status.Last = 0, 1
		if servers[i].Status.LayerTime == 0 {
			servers[i].Status.LayerTime = plainTime
		}
	}
}

// asListed leaves servers as they are listed.
func asListed([]chain.Server) {}

// newBreakers returns the breakers of one pool.
func newBreakers(seed int64) *retry.Breakers {
	return retry.NewBreakers(retry.BreakersConfig{Random: rand.New(rand.NewSource(seed))})
}
