package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/balance"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/headroom"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// selector selects plain servers and chains of engines for requests; its methods may be called concurrently.
type selector struct {
	config Config

	mu       sync.Mutex
	balancer *balance.Balancer
	engines  map[string]*serviceEngines
}

// serviceEngines holds the state of the engines of one service.
type serviceEngines struct {
	chooser     *pipeline.Chooser
	limiter     *headroom.Limiter
	sequence    uint64 // Sequence of the snapshot that chooser was last updated from
	peerUsage   func(id string) (pipeline.Usage, bool)
	peerUsageAt time.Time
}

// peerUsageOf calls the current peerUsage, which refreshedEngines replaces.
func (s *serviceEngines) peerUsageOf(id string) (pipeline.Usage, bool) { return s.peerUsage(id) }

// headroomConfig controls how engine memory is divided among workspaces and urgencies while requests are being refused
// for lack of memory.
var headroomConfig = headroom.Config{MaxFill: pipeline.MaxFill, ReserveStep: 0.01, MaxReserve: 0.6, DecayTime: 10 * time.Second}

// peerUsageTTL is how long an estimate of the other instances' usage is reused.
const peerUsageTTL = 50 * time.Millisecond

func newSelector(config Config) *selector {
	return &selector{config: config, balancer: balance.New(balance.Config{}), engines: make(map[string]*serviceEngines)}
}

func (s *selector) choosePlain(servers []backend.Server, avoid []string) (backend.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Choose(time.Now(), servers, s.config.Zone, avoid)
}

func (s *selector) startedPlain(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Started(id)
}

func (s *selector) endedPlain(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Ended(id)
}

// updatePlainLoad records the number of running and waiting requests that a server reported.
func (s *selector) updatePlainLoad(id string, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.UpdateLoad(time.Now(), id, requests)
}

func (s *selector) suspectPlain(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.MarkSuspected(time.Now(), id)
}

// refreshedEngines returns the engines of a service after updating them from the snapshot. The caller must hold the mutex.
func (s *selector) refreshedEngines(service *route.Service, snapshot *catalog.Snapshot) *serviceEngines {
	engines := s.engines[service.Name]
	if engines == nil {
		engines = &serviceEngines{limiter: headroom.New(headroomConfig)}
		engines.chooser = pipeline.New(pipeline.Config{PeerUsage: engines.peerUsageOf})
		s.engines[service.Name] = engines
	}
	if engines.sequence != snapshot.Sequence {
		engines.sequence = snapshot.Sequence
		engines.chooser.SetEngines(service.Engine, snapshot.Servers[service.Name], len(snapshot.Instances))
	}
	if now := time.Now(); now.Sub(engines.peerUsageAt) > peerUsageTTL {
		engines.peerUsageAt, engines.peerUsage = now, s.config.PeerUsage(now)
	}
	return engines
}

// Usage returns this instance's usage of engines and of links between availability zones, by ID; pipeline.Chooser.Usage
// defines which unused ones it leaves out. The services share the links, whose usage is the sum.
func (f *Forwarder) Usage() map[string]pipeline.Usage {
	f.selector.mu.Lock()
	defer f.selector.mu.Unlock()
	usage := make(map[string]pipeline.Usage)
	for _, engines := range f.selector.engines {
		for id, use := range engines.chooser.Usage(f.config.Clock.Now()) {
			use.WorkRate += usage[id].WorkRate
			usage[id] = use
		}
	}
	return usage
}

// chooseChain returns a chain for a request and counts the request at its engines. If no chain with enough free memory covers
// every layer, it returns a *noChainError, or a *waitError if that is because engines want no requests.
func (s *selector) chooseChain(service *route.Service, snapshot *catalog.Snapshot, request pipeline.Request, class headroom.Class) (chain pipeline.Chain, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	engines, now := s.refreshedEngines(service, snapshot), s.config.Clock.Now()
	request.Zone = s.config.Zone
	request.FillLimit = engines.limiter.FillLimit(now, class)
	chain, ok := engines.chooser.Choose(now, request)
	if !ok {
		if wait, waits := s.config.Notices.ChainWait(snapshot.Servers[service.Name], service.Engine.Layers); waits {
			return nil, &waitError{wait: wait}
		}
		engines.limiter.Refused(now, class)
		return nil, &noChainError{shortage: engines.chooser.Shortage(now, request), wait: engines.limiter.Wait(now)}
	}
	engines.chooser.Started(now, chain, request)
	engines.limiter.Started(now, class, request.KVTokens())
	return chain, nil
}

func (s *selector) endChain(a *streamAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if engines := s.engines[a.service.Name]; engines != nil {
		engines.chooser.Ended(a.chain, a.demand)
		engines.limiter.Ended(a.class, a.demand.KVTokens())
	}
}

// progressed records that headers or data of an attempt arrived. The gap is the time since the previous arrival, or zero if
// it must not count as a measure of slowness.
func (s *selector) progressed(a *streamAttempt, gap time.Duration) {
	if a.service.Engine == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[a.service.Name].chooser.Progressed(s.config.Clock.Now(), a.chain, gap)
}

// headersDelayed records that the headers of an attempt's response are unusually late; it counts as a slow event of each
// engine of its chain.
func (s *selector) headersDelayed(a *streamAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[a.service.Name].chooser.HeadersDelayed(a.chain)
}

// nextProbes returns the engines that should be probed now, at most limit over all services, without those that want no requests.
// The services come in random order, so that none takes all probes for itself.
func (s *selector) nextProbes(limit int) (servers []backend.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, engines := range s.engines {
		servers = append(servers, engines.chooser.NextProbes(s.config.Clock.Now(), limit-len(servers))...)
	}
	return slices.DeleteFunc(servers, s.config.Notices.Waiting)
}

// engineReported records the state that an engine reported.
func (s *selector) engineReported(server backend.Server, state backend.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if engines := s.engines[server.Service]; engines != nil {
		engines.chooser.ProbeSucceeded(s.config.Clock.Now(), server.ID, pipeline.ProbeResponse{Slowness: state.Slowness, KVUsed: state.KVUsed})
	}
}

// typicalGap returns the typical time between two events of an attempt on its chain.
func (s *selector) typicalGap(a *streamAttempt) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[a.service.Name].chooser.TypicalGap(s.config.Clock.Now(), a.chain)
}

// silentStages returns the stages of an attempt through which no request has made progress for minSilence.
func (s *selector) silentStages(a *streamAttempt, minSilence time.Duration) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[a.service.Name].chooser.SilentStages(s.config.Clock.Now(), a.chain, minSilence)
}

// deadStage returns the first stage of an attempt whose engine failed a recent probe and through which no request has made
// progress for minSilence. It returns false if there is none.
func (s *selector) deadStage(a *streamAttempt, minSilence time.Duration) (stage int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[a.service.Name].chooser.DeadStage(s.config.Clock.Now(), a.chain, minSilence)
}

// probeFailed records that an engine did not respond to a probe.
func (s *selector) probeFailed(server backend.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if engines := s.engines[server.Service]; engines != nil {
		engines.chooser.ProbeFailed(s.config.Clock.Now(), server.ID)
	}
}

// engineCrashed records that an engine of the service has crashed, also before the first request for the service.
func (s *selector) engineCrashed(service *route.Service, snapshot *catalog.Snapshot, server backend.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshedEngines(service, snapshot).chooser.ProbeFailed(s.config.Clock.Now(), server.ID)
}

// planReroute returns the chain of the attempt with the layers of the replaced engines moved to other engines. It returns false if
// there is no such chain.
func (s *selector) planReroute(a *streamAttempt, plan reroutePlan) (chain pipeline.Chain, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, chooser := s.config.Clock.Now(), s.engines[a.service.Name].chooser
	demand := a.demand
	demand.Avoid = slices.Concat(plan.replaced, plan.avoided, plan.excluded)
	chain = a.chain
	for _, id := range plan.replaced {
		stage := slices.IndexFunc(chain, func(stage pipeline.Stage) bool { return stage.Server.ID == id })
		if chain, ok = chooser.Reroute(now, chain, stage, demand); !ok {
			return nil, false
		}
	}
	return chain, true
}

// moveToChain moves an attempt to another chain, and its load from the engines of the old chain to those of the new one.
func (s *selector) moveToChain(a *streamAttempt, chain pipeline.Chain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chooser := s.engines[a.service.Name].chooser
	chooser.Ended(a.chain, a.demand)
	a.chain = chain
	chooser.Started(s.config.Clock.Now(), chain, a.demand)
}

func (s *selector) suspectEngine(service, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if engines := s.engines[service]; engines != nil {
		engines.chooser.MarkSuspected(s.config.Clock.Now(), address)
	}
}

// callStages returns a chain in the form in which it is sent to engines.
func callStages(chain pipeline.Chain) (stages []call.Stage) {
	for _, stage := range chain {
		stages = append(stages, call.Stage{Address: stage.Server.Address, From: stage.Layers.From, To: stage.Layers.To})
	}
	return stages
}
