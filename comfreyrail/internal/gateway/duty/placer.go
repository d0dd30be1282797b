package duty

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/pause"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/placement"
	"github.com/comfreyrail/comfreyrail/rail/route"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Times of placing layers.
const (
	// placeEvery is the time between two looks at what the engines hold.
	placeEvery = 200 * time.Millisecond
	// orderTimeout is the longest time for an engine's answer to an order.
	orderTimeout = time.Second
	// settleTime is how long the number of empty engines must stay the same before the first of them is given layers.
	settleTime = 1500 * time.Millisecond
	// tryAgain is the time after which an instance tries again to take the duty.
	tryAgain = time.Second
	// entryLag is how long after a load an engine's entry may still show nothing.
	entryLag = 5 * time.Second
)

// candidates is the number of instances that try on average to take a free duty at each look; more would only make
// conflicting calls to the store.
const candidates = 2.0

// PlacerConfig configures a Placer.
type PlacerConfig struct {
	// Name is the name of this instance.
	Name string
	// Catalog tells what the engines hold.
	Catalog *catalog.Catalog
	// Lease is the lease of this instance.
	Lease *Lease
	// Commit carries out a transaction.
	Commit func(ctx context.Context, transaction store.Transaction) (uint64, error)
	// FetchState asks an engine for its state.
	FetchState func(ctx context.Context, server backend.Server) (backend.State, error)
	// OrderLoad orders an engine that has accepted so many orders to hold layers.
	OrderLoad func(ctx context.Context, server backend.Server, orders int64, layers backend.Range) error
	// Refused reports whether an error of OrderLoad says that nothing has begun.
	Refused func(err error) bool
	// Random draws numbers in [0, 1); nil takes the global source.
	Random func() float64
	// Log receives the log.
	Log *logrus.Entry
}

// Placer gives engines their layers while this instance holds the duty.
type Placer struct {
	config PlacerConfig
	orders sync.WaitGroup

	arrivals map[string]arrival
	tryAfter time.Time // when the duty may be tried for again

	mu       sync.Mutex
	promised map[string]promise
	held     bool
}

// arrival is when the number of engines of a service last changed.
type arrival struct {
	count int
	at    time.Time
}

// promise is an order that an engine may be carrying out.
type promise struct {
	born   int64
	layers backend.Range
	until  time.Time
}

// NewPlacer returns a Placer without the duty.
func NewPlacer(config PlacerConfig) *Placer {
	if config.Random == nil {
		config.Random = rand.Float64
	}
	return &Placer{config: config, promised: make(map[string]promise), arrivals: make(map[string]arrival)}
}

// Serve places layers until the context ends.
func (p *Placer) Serve(ctx context.Context) error {
	defer p.orders.Wait()
	for ctx.Err() == nil {
		if p.onDuty(ctx) {
			p.place(ctx)
		}
		_ = pause.For(ctx, placeEvery)
	}
	return ctx.Err()
}

// onDuty reports whether this instance is the placer, and may try to take the duty if nobody has it.
func (p *Placer) onDuty(ctx context.Context) bool {
	id, ok := p.config.Lease.Held()
	item := p.config.Catalog.Snapshot().Placer
	held := ok && item.Revision != 0 && item.Lease == id
	if held != p.held {
		p.held = held
		p.config.Log.WithField("held", held).WithField("lease", id).Info("duty of placing layers")
	}
	if !held && ok && item.Revision == 0 && p.config.Catalog.Snapshot().Table != nil && p.mayTry(time.Now()) {
		p.try(ctx, id)
	}
	return held
}

// mayTry reports whether this instance is one of the few that try to take a free duty now.
func (p *Placer) mayTry(now time.Time) bool {
	instances := float64(len(p.config.Catalog.Snapshot().Instances))
	return now.After(p.tryAfter) && p.config.Random()*instances < candidates
}

// try takes the duty, if nobody else has taken it meanwhile.
func (p *Placer) try(ctx context.Context, lease uint64) {
	p.tryAfter = time.Now().Add(tryAgain)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := p.config.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: catalog.PlacerKey}},
		Writes:     []store.Write{{Key: catalog.PlacerKey, Value: []byte(p.config.Name), Lease: lease}},
	})
	if err != nil && !errors.Is(err, store.ErrConflict) {
		p.config.Log.WithError(err).Info("the duty of placing layers was not taken")
	}
}

// place orders the engines that hold nothing.
func (p *Placer) place(ctx context.Context) {
	snapshot := p.config.Catalog.Snapshot()
	for i := range snapshot.Table.Config.Services {
		service := &snapshot.Table.Config.Services[i]
		if service.Engine == nil {
			continue
		}
		servers := snapshot.Servers[service.Name]
		if !p.settled(service.Name, servers) {
			continue
		}
		for _, assignment := range placement.Plan(service.Engine, servers, p.pending(servers)) {
			p.promise(assignment, loadTime(service))
			p.orders.Add(1)
			go p.order(ctx, assignment)
		}
	}
}

// settled reports whether a fleet of engines that all hold nothing has been complete for a while, as far as can be seen.
func (p *Placer) settled(service string, servers []backend.Server) bool {
	for _, server := range servers {
		if server.Layers.Len() > 0 {
			return true
		}
	}
	seen := p.arrivals[service]
	if seen.count != len(servers) {
		p.arrivals[service] = arrival{count: len(servers), at: time.Now()}
		return false
	}
	return time.Since(seen.at) >= settleTime
}

// loadTime returns the longest time that a load may take before the entry must show it.
func loadTime(service *route.Service) time.Duration { return service.Engine.LoadTime + entryLag }

// pending returns what engines have been ordered to hold and do not show yet.
func (p *Placer) pending(servers []backend.Server) map[string]backend.Range {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	promised := make(map[string]backend.Range)
	for _, server := range servers {
		held, ok := p.promised[server.ID]
		if !ok {
			continue
		}
		if server.Layers.Len() > 0 || server.Born != held.born || now.After(held.until) {
			delete(p.promised, server.ID)
			continue
		}
		promised[server.ID] = held.layers
	}
	return promised
}

func (p *Placer) promise(assignment placement.Assignment, load time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.promised[assignment.Server.ID] = promise{born: assignment.Server.Born, layers: assignment.Layers, until: time.Now().Add(load)}
}

func (p *Placer) forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.promised, id)
}

// order reads an engine's state and orders it to hold layers.
func (p *Placer) order(ctx context.Context, assignment placement.Assignment) {
	defer p.orders.Done()
	server, layers := assignment.Server, assignment.Layers
	log := p.config.Log.WithFields(logrus.Fields{"server": server.ID, "from": layers.From, "to": layers.To})
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := p.config.FetchState(ctx, server)
	if err != nil {
		log.WithError(err).Info("the engine does not tell its state: no order")
		_ = pause.For(ctx, orderTimeout)
		p.forget(server.ID)
		return
	}
	if state.Busy || state.Layers.Len() > 0 {
		log.WithField("busy", state.Busy).WithField("holds", state.Layers.Len()).Info("the engine holds layers already: no order")
		return
	}
	if _, ok := p.config.Lease.Held(); !ok {
		p.forget(server.ID)
		return
	}
	err = p.config.OrderLoad(ctx, server, state.Orders, layers)
	switch {
	case err == nil:
		log.WithField("orders", state.Orders).Info("layers ordered")
	case p.config.Refused(err):
		log.WithError(err).Info("the engine refused the order")
		p.forget(server.ID)
	default:
		log.WithError(err).Warn("the engine did not answer the order: it may be carried out late")
		p.forget(server.ID)
	}
}
