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
	defaultSamples   = 8
	defaultLag       = time.Second
	sameZoneLatency  = 200 * time.Microsecond
	otherZoneLatency = time.Millisecond
	defaultMissCost  = 0.5
)

// Config configures a Picker.
type Config struct {
	// Zone is the availability zone of this instance.
	Zone string
	// LinkLatency returns the expected time of one message between two availability zones; nil means 0.2 ms within a
	// zone and 1 ms between zones.
	LinkLatency func(from, to string) time.Duration
	// Random is the source of random candidates; it is not used if a request has a prefix.
	Random *rand.Rand
	// Samples is the number of segments drawn at random at each boundary where a stage can begin; zero means 8.
	Samples int
	// ReportLag is the age of a status report when it arrives; zero means 1 s.
	ReportLag time.Duration
	// MissCost is the cost of a prefix cache miss, as a fraction of the time for each token at the stage; zero means 0.5.
	MissCost float64
	// Checker counts violated invariants; nil means a new Checker.
	Checker *invariant.Checker
}

// Picker chooses chains for one pool; it is not safe for concurrent use.
type Picker struct {
	config    Config
	instances int
	layers    int
	// servers lists the servers of the last Update that rebuilt the graphs, in the order of its argument.
	servers  []*serverState
	byName   map[string]*serverState
	counters map[string]*requestCounter
	// graphs lists the graphs by model version, in descending lexical order.
	graphs []*graph
	zones  []string
	// linkSeconds is the latency between two zones, by their indexes in zones.
	linkSeconds [][]float64
	// homeZone is the index in zones of the zone of this instance, which is always the first.
	homeZone int
	search   search
}

// serverState is the state of one backend server in a Picker.
type serverState struct {
	name, address, version string
	// first and last are the range of layers that the server holds; last is the layer after the range. zone is the index
	// of its availability zone in Picker.zones.
	first, last, zone int
	zoneName          string
	// usable reports whether the server takes new requests. partial reports whether it can run parts of its range.
	// listed reports whether the latest Update contains it.
	usable, partial, listed bool
	layerTime, slots        float64
	// reportedRequests is the number of requests at the server at sampledAt, from all instances.
	reportedRequests int
	sampledAt        time.Time
	cacheEvents      []engine.CacheEvent
	nameHash         uint64
	counter          *requestCounter
}

// New returns a Picker without backend servers.
func New(config Config) *Picker {
	if config.Samples == 0 {
		config.Samples = defaultSamples
	}
	if config.ReportLag == 0 {
		config.ReportLag = defaultLag
	}
	if config.MissCost == 0 {
		config.MissCost = defaultMissCost
	}
	if config.LinkLatency == nil {
		config.LinkLatency = defaultLinkLatency
	}
	if config.Checker == nil {
		config.Checker = new(invariant.Checker)
	}
	return &Picker{config: config, instances: 1, byName: map[string]*serverState{}, counters: map[string]*requestCounter{}}
}

func defaultLinkLatency(from, to string) time.Duration {
	if from == to {
		return sameZoneLatency
	}
	return otherZoneLatency
}

// SetInstances sets the number of instances that send requests to the pool, this one included.
func (p *Picker) SetInstances(count int) { p.instances = max(1, count) }

// InFlight returns the number of requests of this instance in progress at the backend server.
func (p *Picker) InFlight(server string) int {
	if counter, ok := p.counters[server]; ok {
		return counter.inFlight
	}
	return 0
}

// Update replaces the backend servers of the pool. It rebuilds the graphs only if the number of layers, the set of
// servers, or a server's range, version, zone, usability or ability to run parts of its range changed.
func (p *Picker) Update(servers []Server, layers int) {
	changed := layers != p.layers || len(servers) != len(p.servers)
	p.layers = layers
	for _, state := range p.servers {
		state.listed = false
	}
	for i := range servers {
		changed = p.updateServer(&servers[i]) || changed
	}
	for _, state := range p.servers {
		changed = changed || !state.listed
	}
	if changed {
		p.rebuild(servers)
	}
}

// RemoveUnusedCounters removes the request counters of servers that are not in the last Update and have no requests of
// this instance in progress.
func (p *Picker) RemoveUnusedCounters() {
	for name, counter := range p.counters {
		if _, listed := p.byName[name]; !listed && counter.inFlight == 0 {
			delete(p.counters, name)
		}
	}
}

// updateServer copies the state of one server and reports whether the graphs must be rebuilt.
func (p *Picker) updateServer(server *Server) (changed bool) {
	state, ok := p.byName[server.Name]
	if !ok {
		state = &serverState{name: server.Name, nameHash: hashName(server.Name), counter: p.counterFor(server.Name)}
		p.byName[server.Name] = state
		changed = true
	}
	status := &server.Status
	usable := server.Usable && !status.Leaving
	changed = changed || state.usable != usable || state.partial != status.Partial || state.zoneName != server.Zone ||
		state.first != status.First || state.last != status.Last || state.version != status.Version
	state.listed, state.usable, state.partial = true, usable, status.Partial
	state.address, state.zoneName = server.Address, server.Zone
	state.first, state.last, state.version = status.First, status.Last, status.Version
	state.layerTime = status.LayerTime.Seconds()
	state.slots = float64(max(1, status.Slots))
	state.cacheEvents = status.Cache
	state.updateLoad(status.Queue, server.ReportedAt.Add(-p.config.ReportLag))
	return changed
}

// updateLoad sets the number of requests at the server, unless the sample is older than the last one.
func (s *serverState) updateLoad(queue int, at time.Time) {
	if !at.Before(s.sampledAt) {
		s.reportedRequests, s.sampledAt = queue, at
	}
}

// counterFor returns the request counter of the server, which it creates if necessary.
func (p *Picker) counterFor(name string) *requestCounter {
	counter, ok := p.counters[name]
	if !ok {
		counter = new(requestCounter)
		p.counters[name] = counter
	}
	return counter
}

// rebuild rebuilds the list of servers, the latencies and the graphs.
func (p *Picker) rebuild(servers []Server) {
	p.servers = p.servers[:0]
	for _, server := range servers {
		p.servers = append(p.servers, p.byName[server.Name])
	}
	for name, state := range p.byName {
		if !state.listed {
			delete(p.byName, name)
		}
	}
	p.rebuildLinkLatencies()
	versions := make(map[string]bool)
	for _, state := range p.servers {
		versions[state.version] = versions[state.version] || state.usable
	}
	p.graphs = p.graphs[:0]
	for version := range versions {
		if g, ok := newGraph(p.servers, version, p.layers); ok {
			p.graphs = append(p.graphs, g)
		}
	}
	sort.Slice(p.graphs, func(i, j int) bool { return p.graphs[i].version > p.graphs[j].version })
}

// rebuildLinkLatencies numbers the availability zones, with the zone of this instance first, and computes the latency
// between each two.
func (p *Picker) rebuildLinkLatencies() {
	numbers := map[string]int{p.config.Zone: 0}
	p.zones = append(p.zones[:0], p.config.Zone)
	for _, state := range p.servers {
		number, ok := numbers[state.zoneName]
		if !ok {
			number = len(p.zones)
			numbers[state.zoneName] = number
			p.zones = append(p.zones, state.zoneName)
		}
		state.zone = number
	}
	p.linkSeconds = make([][]float64, len(p.zones))
	for i, from := range p.zones {
		p.linkSeconds[i] = make([]float64, len(p.zones))
		for j, to := range p.zones {
			p.linkSeconds[i][j] = p.config.LinkLatency(from, to).Seconds()
		}
	}
}

// Choose returns a chain with a low expected time for each token, and false if no chain covers the layers.
func (p *Picker) Choose(request Request) (chain Chain, ok bool) {
	var cheapest *graph
	lowestCost := 0.0
	// The cheapest chain found in each model version is compared with those of the others.
	for _, g := range p.graphs {
		if request.Version != "" && g.version != request.Version {
			continue
		}
		// The first search considers some segments at each boundary. If those form no chain, the next considers all
		// segments, and the last only those that are the whole ranges of their servers, among which it misses no chain.
		cost, found := p.search.findChain(p, g, request, scopeSampled)
		for scope := scopeAll; !found && scope <= scopeWholeRanges; scope++ {
			cost, found = p.search.findChain(p, g, request, scope)
		}
		if found && (cheapest == nil || cost < lowestCost) {
			cheapest, lowestCost = g, cost
			chain = p.buildChain(g)
		}
	}
	if cheapest == nil {
		return Chain{}, false
	}
	if err := p.verifyChain(chain, request); err != nil {
		return Chain{}, false
	}
	return chain, true
}

// ChooseFrom returns a chain of the given servers instead of those of the last Update.
//
// It builds new graphs in each call, so it is meant for rare choices among a selection of servers.
func (p *Picker) ChooseFrom(servers []Server, request Request) (chain Chain, ok bool) {
	picker := &Picker{config: p.config, instances: p.instances, byName: map[string]*serverState{}, counters: p.counters}
	picker.Update(servers, request.Layers)
	return picker.Choose(request)
}

// buildChain returns the chain that the last search found.
func (p *Picker) buildChain(g *graph) Chain {
	chain := Chain{Version: g.version, Stages: make([]engine.Stage, 0, len(p.search.path))}
	boundary := 0
	for _, s := range p.search.path {
		server := p.servers[s.server]
		chain.Stages = append(chain.Stages, engine.Stage{
			Server: server.name, Address: server.address, First: g.boundaries[boundary], Last: g.boundaries[s.end],
		})
		boundary = s.end
	}
	return chain
}

// verifyChain returns an error if the chain violates an invariant.
func (p *Picker) verifyChain(chain Chain, request Request) error {
	problem := ""
	if !chain.Covers(p.layers) {
		problem = "a layer is left out or run twice"
	}
	for i, stage := range chain.Stages {
		if !p.canRun(stage, chain.Version, request) || (Chain{Stages: chain.Stages[:i]}).Uses(stage.Server) {
			problem = "invalid stage at " + stage.Server
		}
	}
	return p.config.Checker.Check(problem == "", "chain", "%s", problem)
}

// canRun reports whether the backend server may run the stage for the request.
func (p *Picker) canRun(stage engine.Stage, version string, request Request) bool {
	state, ok := p.byName[stage.Server]
	return ok && state.usable && state.version == version && !request.Avoid[stage.Server] &&
		state.first <= stage.First && stage.Last <= state.last
}

// Started counts a new request at every stage of the chain; Ended must be called when the request ends.
func (p *Picker) Started(now time.Time, chain Chain) {
	for _, stage := range chain.Stages {
		p.counterFor(stage.Server).add(now, 1)
	}
}

// Ended removes a request that Started counted, at every stage of the chain.
func (p *Picker) Ended(now time.Time, chain Chain) {
	for _, stage := range chain.Stages {
		counter := p.counterFor(stage.Server)
		if p.config.Checker.Check(counter.inFlight > 0, "inflight", "more requests ended than started at %s", stage.Server) == nil {
			counter.add(now, -1)
		}
	}
}

// estimateRequests estimates the current number of requests at the backend server, from all instances.
//
// The reported number is old. The estimate assumes that the number of requests from each other instance has changed
// since then by as much as the number from this instance.
func (p *Picker) estimateRequests(server *serverState) float64 {
	change := server.counter.inFlight - server.counter.inFlightAt(server.sampledAt)
	return max(float64(server.reportedRequests+change*p.instances), float64(server.counter.inFlight), 0)
}
