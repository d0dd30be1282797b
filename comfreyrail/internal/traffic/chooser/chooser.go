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

// subsetSize is the maximum number of backend servers that one instance uses for each range of layers.
const subsetSize = 16

// Config configures a Chooser.
type Config struct {
	// Control provides the tables, the instances and the status of the backend servers.
	Control *control.Control
	// Name is the name of this instance, which determines the subset of the backend servers that it uses.
	Name string
	// Zone is the availability zone of this instance.
	Zone string
	// Now returns the current time; it must not be nil.
	Now func() time.Time
	// Seed seeds the random choices of the pickers and the jitter of the circuit breakers.
	Seed int64
	// Checker counts violated invariants.
	Checker *invariant.Checker
}

// Chooser holds a chain.Picker for each pool; its methods may be called concurrently.
type Chooser struct {
	config Config

	mu    sync.Mutex
	pools map[string]*poolState
}

// poolState holds the picker, the circuit breakers and the number of requests in progress of one pool.
type poolState struct {
	picker   *chain.Picker
	breakers *retry.Breakers
	// version identifies the snapshot that the picker was last updated to.
	version snapshotVersion
	// servers holds the servers of the pool in that snapshot.
	servers []chain.Server
	// inFlight is the number of requests in progress.
	inFlight int
}

// snapshotVersion identifies a snapshot by its tables, its servers and the number of known instances, which includes
// those that are dead or have left. A change in the state of an instance alone doesn't change it.
type snapshotVersion struct {
	tables          *table.Tables
	serversRevision uint64
	knownInstances  int
}

// New returns a Chooser. The state of a pool is created at the first request for the pool.
func New(config Config) *Chooser {
	return &Chooser{config: config, pools: make(map[string]*poolState)}
}

// ChooseChain returns a chain for the request that uses only the given servers, and reports whether one covers the layers.
//
// If these are all servers of the pool, it first tries the subset of them that this instance uses.
func (c *Chooser) ChooseChain(servers []chain.Server, request chain.Request) (chosen chain.Chain, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.refresh(request, unchanged)
	if sameServers(servers, p.servers) {
		if chosen, ok = p.picker.Choose(request); ok {
			return chosen, true
		}
	}
	return p.picker.ChooseFrom(servers, request)
}

// Track counts an attempt of a request as in progress at every stage of the chain until done is called. Later calls of
// done have no effect.
func (c *Chooser) Track(poolName string, chosen chain.Chain) (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.poolState(poolName)
	p.inFlight++
	p.picker.Started(c.config.Now(), chosen)
	return sync.OnceFunc(func() { c.untrack(poolName, p, chosen) })
}

// untrack reverts the counts of Track or ChooseServer, and removes the state of the pool if the pool is idle and not in
// the tables.
func (c *Chooser) untrack(poolName string, p *poolState, chosen chain.Chain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.inFlight--
	p.picker.Ended(c.config.Now(), chosen)
	if _, listed := c.config.Control.Snapshot().Tables.PoolByName(poolName); !listed && p.inFlight == 0 {
		delete(c.pools, poolName)
	}
}

// poolState returns the state of the pool with the name and creates it if necessary. The caller holds c.mu.
func (c *Chooser) poolState(name string) *poolState {
	p, ok := c.pools[name]
	if !ok {
		p = &poolState{breakers: newBreakers(c.config.Seed), picker: chain.New(chain.Config{
			Zone: c.config.Zone, Random: rand.New(rand.NewSource(c.config.Seed)), Checker: c.config.Checker,
		})}
		c.pools[name] = p
	}
	return p
}

// refresh returns the state of the pool of the request, and updates it first if the snapshot has changed. An update calls
// convert to modify the servers of the pool in place. The caller holds c.mu.
func (c *Chooser) refresh(request chain.Request, convert func(servers []chain.Server)) *poolState {
	p, snapshot := c.poolState(request.Pool), c.config.Control.Snapshot()
	version := snapshotVersion{
		tables: snapshot.Tables, serversRevision: snapshot.ServersRevision, knownInstances: len(snapshot.KnownInstances),
	}
	if p.version == version {
		return p
	}
	row, _ := snapshot.Tables.PoolByName(request.Pool)
	p.version, p.servers = version, snapshot.AppendServers(p.servers[:0], row)
	convert(p.servers)
	servers := p.servers
	names := make([]string, 0, len(servers))
	for _, server := range servers {
		names = append(names, server.Name)
	}
	p.breakers.SetServers(names)
	if len(servers) > subsetSize {
		servers = chain.Subset(servers, c.config.Name, subsetSize)
	}
	p.picker.SetInstances(len(snapshot.Members()))
	p.picker.Update(servers, request.Layers)
	p.picker.RemoveUnusedCounters()
	return p
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
