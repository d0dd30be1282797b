package forward

import (
	"maps"
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

// fleet guards the choosers of backend servers.
type fleet struct {
	config Config

	mu      sync.Mutex
	plain   *balance.Balancer
	engines map[string]*engines
}

// engines is the chooser of one service with the snapshot that it was told.
type engines struct {
	chooser *pipeline.Chooser
	holders *headroom.Ledger
	changed uint64
	others  func(id string) (pipeline.Usage, bool)
	heard   time.Time
}

func (e *engines) othersAt(id string) (pipeline.Usage, bool) { return e.others(id) }

// scarcity is how memory is shared out while there is not enough for all.
var scarcity = headroom.Config{MaxFill: pipeline.MaxFill, ReserveStep: 0.01, MaxReserve: 0.6, DecayTime: 10 * time.Second}

// sumEvery is the time for which the sum of what other instances told is used.
const sumEvery = 50 * time.Millisecond

func newFleet(config Config) *fleet {
	return &fleet{config: config, plain: balance.New(balance.Config{}), engines: make(map[string]*engines)}
}

func (f *fleet) choosePlain(servers []backend.Server, avoid []string) (backend.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plain.Choose(time.Now(), servers, f.config.Zone, avoid)
}

func (f *fleet) startedPlain(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plain.Started(id)
}

func (f *fleet) endedPlain(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plain.Ended(id)
}

func (f *fleet) reported(id string, running int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plain.UpdateLoad(time.Now(), id, running)
}

func (f *fleet) suspectPlain(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plain.Suspect(time.Now(), id)
}

// of returns the engines of a service, told of the newest snapshot.
func (f *fleet) of(service *route.Service, snapshot *catalog.Snapshot) *engines {
	held := f.engines[service.Name]
	if held == nil {
		held = &engines{holders: headroom.New(scarcity)}
		held.chooser = pipeline.New(pipeline.Config{PeerUsage: held.othersAt})
		f.engines[service.Name] = held
	}
	if held.changed != snapshot.Sequence {
		held.changed = snapshot.Sequence
		held.chooser.SetFleet(service.Engine, snapshot.Servers[service.Name], len(snapshot.Instances))
	}
	if now := time.Now(); now.Sub(held.heard) > sumEvery {
		held.heard, held.others = now, f.config.PeerUsage(now)
	}
	return held
}

// Usage returns how much of each engine this instance takes.
func (f *Forwarder) Usage() map[string]pipeline.Usage {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	uses := make(map[string]pipeline.Usage)
	for _, held := range f.fleet.engines {
		maps.Copy(uses, held.chooser.Usage(time.Now()))
	}
	return uses
}

// choosePath returns a path and counts the request there.
func (f *fleet) choosePath(service *route.Service, snapshot *catalog.Snapshot, request pipeline.Request, holder headroom.Class) (path pipeline.Path, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	held, now := f.of(service, snapshot), time.Now()
	request.Zone = f.config.Zone
	request.FillLimit = held.holders.Limit(now, holder)
	if path, ok = held.chooser.Choose(now, request); !ok {
		held.holders.Refused(now, holder)
		return nil, false
	}
	held.chooser.Started(now, path, request)
	held.holders.Started(holder, request.KVTokens())
	return path, true
}

func (f *fleet) endPath(r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.engines[r.service.Name]; held != nil {
		held.chooser.Ended(r.path, r.cost)
		held.holders.Ended(r.holder, r.cost.KVTokens())
	}
}

// progressed notes an event of a run after a pause.
func (f *fleet) progressed(r *run, pause time.Duration) {
	if r.service.Engine == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[r.service.Name].chooser.Progressed(time.Now(), r.path, pause)
}

// waited notes that a run waits unusually long for its first event.
func (f *fleet) waited(r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[r.service.Name].chooser.FirstEventDelayed(r.path)
}

// doubtful returns up to so many engines of each service that should be asked for their speed now.
func (f *fleet) doubtful(most int) (asked []backend.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, held := range f.engines {
		asked = append(asked, held.chooser.NextProbes(time.Now(), most)...)
	}
	return asked
}

// told notes what an engine says of itself.
func (f *fleet) told(server backend.Server, state backend.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.engines[server.Service]; held != nil {
		held.chooser.Reported(time.Now(), server.ID, pipeline.Report{Slowness: state.Slowness, KVUsed: state.KVUsed})
	}
}

// pause returns the usual pause between two events of a run.
func (f *fleet) pause(r *run) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[r.service.Name].chooser.TypicalGap(time.Now(), r.path)
}

// mute returns the stages of a run through which nothing has passed for a time.
func (f *fleet) mute(r *run, least time.Duration) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[r.service.Name].chooser.SilentStages(time.Now(), r.path, least)
}

// dead returns the first stage of a run whose engine is known not to answer.
func (f *fleet) dead(r *run, least time.Duration) (stage int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[r.service.Name].chooser.DeadStage(time.Now(), r.path, least)
}

// unanswered notes that an engine did not answer a question.
func (f *fleet) unanswered(server backend.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.engines[server.Service]; held != nil {
		held.chooser.ProbeFailed(time.Now(), server.ID)
	}
}

// reroute returns the path of a run without the engine of one stage, which is left alone from now on.
func (f *fleet) reroute(r *run, stage int) (path pipeline.Path, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, chooser := time.Now(), f.engines[r.service.Name].chooser
	chooser.SuspectAddress(now, r.path[stage].Server.Address)
	return chooser.Reroute(now, r.path, stage, r.cost)
}

// moved counts a run on another path from now on.
func (f *fleet) moved(r *run, path pipeline.Path) {
	f.mu.Lock()
	defer f.mu.Unlock()
	chooser := f.engines[r.service.Name].chooser
	chooser.Ended(r.path, r.cost)
	r.path = path
	chooser.Started(time.Now(), path, r.cost)
}

func (f *fleet) suspectEngine(service, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.engines[service]; held != nil {
		held.chooser.SuspectAddress(time.Now(), address)
	}
}

// hops returns the path as engines are told.
func hops(path pipeline.Path) (list []call.Stage) {
	for _, stage := range path {
		list = append(list, call.Stage{Address: stage.Server.Address, From: stage.Layers.From, To: stage.Layers.To})
	}
	return list
}
