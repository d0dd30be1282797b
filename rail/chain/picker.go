package chain

import (
	"math/rand"
	"sort"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
)

// Defaults of a Config.
const (
	defaultSamples  = 8
	defaultLag      = time.Second
	sameZoneLink    = 200 * time.Microsecond
	otherZoneLink   = time.Millisecond
	defaultMissCost = 0.5
)

// Config configures a Picker.
type Config struct {
	// Zone is the availability zone of this instance.
	Zone string
	// LinkLatency returns the expected time of one message between two availability zones; nil means defaults.
	LinkLatency func(from, to string) time.Duration
	// Random is the source of the sampled choices.
	Random *rand.Rand
	// Samples is the number of backend servers weighed for each stage; zero means 8.
	Samples int
	// Lag is the age of a load report when it arrives; zero means 1 s.
	Lag time.Duration
	// MissCost is what a missed prefix costs, as a share of the stage's time for each token; zero means 0.5.
	MissCost float64
	// Checker counts violated invariants; nil means one of its own.
	Checker *invariant.Checker
}

// Picker chooses chains for one pool; it is not safe for concurrent use.
type Picker struct {
	config    Config
	instances int
	layers    int
	servers   []*state
	byName    map[string]*state
	loads     map[string]*load
	graphs    []*graph
	zones     []string
	links     [][]float64
	home      int
	search    search
}

// state is what the Picker keeps about one backend server.
type state struct {
	name, address, version  string
	first, last, zone       int
	zoneName                string
	usable, partial, listed bool
	layerTime, slots        float64
	reported                int
	sampledAt               time.Time
	cache                   []engine.CacheEvent
	hash                    uint64
	load                    *load
}

// New returns a Picker that knows no backend servers.
func New(config Config) *Picker {
	if config.Samples == 0 {
		config.Samples = defaultSamples
	}
	if config.Lag == 0 {
		config.Lag = defaultLag
	}
	if config.MissCost == 0 {
		config.MissCost = defaultMissCost
	}
	if config.LinkLatency == nil {
		config.LinkLatency = defaultLink
	}
	if config.Checker == nil {
		config.Checker = new(invariant.Checker)
	}
	return &Picker{config: config, instances: 1, byName: map[string]*state{}, loads: map[string]*load{}}
}

func defaultLink(from, to string) time.Duration {
	if from == to {
		return sameZoneLink
	}
	return otherZoneLink
}

// SetInstances sets the number of instances that send requests to the pool, this one included.
func (p *Picker) SetInstances(count int) { p.instances = max(1, count) }

// InFlight returns the number of requests that this instance has at the backend server.
func (p *Picker) InFlight(server string) int {
	if held, ok := p.loads[server]; ok {
		return held.inFlight
	}
	return 0
}

// Update takes in what is known about the backend servers of the pool, and plans anew only if ranges or usability changed.
func (p *Picker) Update(servers []Server, layers int) {
	changed := layers != p.layers || len(servers) != len(p.servers)
	p.layers = layers
	for _, held := range p.servers {
		held.listed = false
	}
	for i := range servers {
		changed = p.take(&servers[i]) || changed
	}
	for _, held := range p.servers {
		changed = changed || !held.listed
	}
	if changed {
		p.rebuild(servers)
	}
}

// Forget drops the counts of servers that the last Update did not list and that have no request of this instance.
func (p *Picker) Forget() {
	for name, held := range p.loads {
		if _, listed := p.byName[name]; !listed && held.inFlight == 0 {
			delete(p.loads, name)
		}
	}
}

// take copies one report and tells whether the graphs depend on what changed.
func (p *Picker) take(server *Server) (changed bool) {
	held, ok := p.byName[server.Name]
	if !ok {
		held = &state{name: server.Name, hash: hashName(server.Name), load: p.loadOf(server.Name)}
		p.byName[server.Name] = held
		changed = true
	}
	status := &server.Status
	usable := server.Usable && !status.Leaving
	changed = changed || held.usable != usable || held.partial != status.Partial || held.zoneName != server.Zone ||
		held.first != status.First || held.last != status.Last || held.version != status.Version
	held.listed, held.usable, held.partial = true, usable, status.Partial
	held.address, held.zoneName = server.Address, server.Zone
	held.first, held.last, held.version = status.First, status.Last, status.Version
	held.layerTime = status.LayerTime.Seconds()
	held.slots = float64(max(1, status.Slots))
	held.cache = status.Cache
	held.observe(status.Queue, server.ReportedAt.Add(-p.config.Lag))
	return changed
}

// observe keeps the newer one of two samples of the number of requests at a server.
func (s *state) observe(queue int, at time.Time) {
	if !at.Before(s.sampledAt) {
		s.reported, s.sampledAt = queue, at
	}
}

func (p *Picker) loadOf(name string) *load {
	held, ok := p.loads[name]
	if !ok {
		held = new(load)
		p.loads[name] = held
	}
	return held
}

// rebuild makes the list of servers, the links and the graphs anew.
func (p *Picker) rebuild(servers []Server) {
	p.servers = p.servers[:0]
	for _, server := range servers {
		p.servers = append(p.servers, p.byName[server.Name])
	}
	for name, held := range p.byName {
		if !held.listed {
			delete(p.byName, name)
		}
	}
	p.rebuildLinks()
	versions := make(map[string]bool)
	for _, held := range p.servers {
		versions[held.version] = versions[held.version] || held.usable
	}
	p.graphs = p.graphs[:0]
	for version := range versions {
		if built, ok := newGraph(p.servers, version, p.layers); ok {
			p.graphs = append(p.graphs, built)
		}
	}
	sort.Slice(p.graphs, func(i, j int) bool { return p.graphs[i].version > p.graphs[j].version })
}

// rebuildLinks numbers the availability zones and computes the time between each two.
func (p *Picker) rebuildLinks() {
	numbers := map[string]int{p.config.Zone: 0}
	p.zones = append(p.zones[:0], p.config.Zone)
	for _, held := range p.servers {
		number, ok := numbers[held.zoneName]
		if !ok {
			number = len(p.zones)
			numbers[held.zoneName] = number
			p.zones = append(p.zones, held.zoneName)
		}
		held.zone = number
	}
	p.links = make([][]float64, len(p.zones))
	for i, from := range p.zones {
		p.links[i] = make([]float64, len(p.zones))
		for j, to := range p.zones {
			p.links[i][j] = p.config.LinkLatency(from, to).Seconds()
		}
	}
}

// Choose returns a chain of low expected time for each token, and false if no chain covers the layers.
func (p *Picker) Choose(request Request) (plan Plan, ok bool) {
	var chosen *graph
	least := 0.0
	for _, g := range p.graphs {
		if request.Version != "" && g.version != request.Version {
			continue
		}
		cost, found := p.search.run(p, g, request, sampled)
		for scope := complete; !found && scope <= undivided; scope++ {
			cost, found = p.search.run(p, g, request, scope)
		}
		if found && (chosen == nil || cost < least) {
			chosen, least = g, cost
			plan = p.plan(g)
		}
	}
	if chosen == nil {
		return Plan{}, false
	}
	if err := p.check(plan, request); err != nil {
		return Plan{}, false
	}
	return plan, true
}

// ChooseFrom returns a chain of the given servers instead of those of the last Update.
//
// It plans anew for each call, and is meant for the rare choice among servers that were selected for a purpose.
func (p *Picker) ChooseFrom(servers []Server, request Request) (plan Plan, ok bool) {
	view := &Picker{config: p.config, instances: p.instances, byName: map[string]*state{}, loads: p.loads}
	view.Update(servers, request.Layers)
	return view.Choose(request)
}

// plan writes down the chain of the last search.
func (p *Picker) plan(g *graph) Plan {
	plan := Plan{Version: g.version, Hops: make([]engine.Hop, 0, len(p.search.path))}
	begin := 0
	for _, s := range p.search.path {
		server := p.servers[s.server]
		plan.Hops = append(plan.Hops, engine.Hop{
			Server: server.name, Address: server.address, First: g.bounds[begin], Last: g.bounds[s.to],
		})
		begin = s.to
	}
	return plan
}

// check refuses a plan that breaks an invariant.
func (p *Picker) check(plan Plan, request Request) error {
	problem := ""
	if !plan.Covers(p.layers) {
		problem = "a layer is left out or run twice"
	}
	for i, hop := range plan.Hops {
		if !p.fits(hop, plan.Version, request) || (Plan{Hops: plan.Hops[:i]}).Uses(hop.Server) {
			problem = "cannot run at " + hop.Server
		}
	}
	return p.config.Checker.Check(problem == "", "chain", "%s", problem)
}

// fits reports whether the backend server may run the hop.
func (p *Picker) fits(hop engine.Hop, version string, request Request) bool {
	held, ok := p.byName[hop.Server]
	return ok && held.usable && held.version == version && !request.Avoid[hop.Server] &&
		held.first <= hop.First && hop.Last <= held.last
}

// Started counts a request at every stage of the plan.
func (p *Picker) Started(now time.Time, plan Plan) {
	for _, hop := range plan.Hops {
		p.loadOf(hop.Server).add(now, 1)
	}
}

// Finished takes back what Started counted.
func (p *Picker) Finished(now time.Time, plan Plan) {
	for _, hop := range plan.Hops {
		held := p.loadOf(hop.Server)
		if p.config.Checker.Check(held.inFlight > 0, "inflight", "%s finished more requests than it started", hop.Server) == nil {
			held.add(now, -1)
		}
	}
}

// streams estimates the number of requests at the backend server now.
//
// The sample is old; since then every instance is taken to have started and finished as many as this one.
func (p *Picker) streams(server *state) float64 {
	change := server.load.inFlight - server.load.before(server.sampledAt)
	return max(float64(server.reported+change*p.instances), float64(server.load.inFlight), 0)
}
