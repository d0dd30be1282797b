package chooser

import (
	"math/rand"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/retry"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// subsetSize is the greatest number of backend servers of each range of layers that one instance uses.
const subsetSize = 16

// Config configures a Chooser.
type Config struct {
	// Control publishes the state.
	Control *control.Control
	// Name is the name of this instance.
	Name string
	// Zone is the availability zone of this instance.
	Zone string
	// Now returns the time.
	Now func() time.Time
	// Seed is the seed of the sampled choices.
	Seed int64
	// Checker counts violated invariants.
	Checker *invariant.Checker
}

// Chooser holds a chain.Picker for each pool.
type Chooser struct {
	config Config

	mu    sync.Mutex
	pools map[string]*pool
}

// pool is the picker of one pool with the state that it knows.
type pool struct {
	picker   *chain.Picker
	breakers *retry.Breakers
	view     view
	listed   []chain.Server
	requests int
}

// view tells apart the states that matter for a choice.
type view struct {
	tables    *table.Tables
	reports   uint64
	instances int
}

// New returns a Chooser.
func New(config Config) *Chooser {
	return &Chooser{config: config, pools: make(map[string]*pool)}
}

// Choose returns a chain of the servers for the request, and false if no chain covers the layers.
func (c *Chooser) Choose(servers []chain.Server, request chain.Request) (plan chain.Plan, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.refresh(request, asListed)
	if sameServers(servers, held.listed) {
		if plan, ok = held.picker.Choose(request); ok {
			return plan, true
		}
	}
	return held.picker.ChooseFrom(servers, request)
}

// Track counts a request at every stage of the plan until done is called.
func (c *Chooser) Track(poolName string, plan chain.Plan) (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.pool(poolName)
	held.requests++
	held.picker.Started(c.config.Now(), plan)
	return sync.OnceFunc(func() { c.finish(poolName, held, plan) })
}

// finish takes back what Track counted.
func (c *Chooser) finish(poolName string, held *pool, plan chain.Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held.requests--
	held.picker.Finished(c.config.Now(), plan)
	if _, listed := c.config.Control.Snapshot().Tables.FindPool(poolName); !listed && held.requests == 0 {
		delete(c.pools, poolName)
	}
}

// pool returns the state of the pool, new if there is none.
func (c *Chooser) pool(name string) *pool {
	held, ok := c.pools[name]
	if !ok {
		held = &pool{breakers: newBreakers(c.config.Seed), picker: chain.New(chain.Config{
			Zone: c.config.Zone, Random: rand.New(rand.NewSource(c.config.Seed)), Checker: c.config.Checker,
		})}
		c.pools[name] = held
	}
	return held
}

// refresh hands the newest state to the picker of the pool.
func (c *Chooser) refresh(request chain.Request, shape func(servers []chain.Server)) *pool {
	held, snapshot := c.pool(request.Pool), c.config.Control.Snapshot()
	now := view{tables: snapshot.Tables, reports: snapshot.ServersRevision, instances: len(snapshot.Fleet)}
	if held.view == now {
		return held
	}
	row, _ := snapshot.Tables.FindPool(request.Pool)
	held.view, held.listed = now, snapshot.AppendServers(held.listed[:0], row)
	shape(held.listed)
	servers := held.listed
	names := make([]string, 0, len(servers))
	for _, server := range servers {
		names = append(names, server.Name)
	}
	held.breakers.SetServers(names)
	if len(servers) > subsetSize {
		servers = chain.Subset(servers, c.config.Name, subsetSize)
	}
	held.picker.SetInstances(len(snapshot.Members()))
	held.picker.Update(servers, request.Layers)
	held.picker.Forget()
	return held
}

// sameServers reports whether both lists name the same servers in the same order.
func sameServers(a, b []chain.Server) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name {
			return false
		}
	}
	return true
}
