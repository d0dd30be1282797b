package placer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/pause"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/placement"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Times of the placer.
const (
	// placeInterval is the pause between checks of what the engines hold.
	placeInterval = 200 * time.Millisecond
	// orderTimeout is the timeout of reading an engine's state and sending it an order.
	orderTimeout = time.Second
	// settleTime is how long the number of engines must stay the same, while all are empty, before the first gets layers.
	settleTime = 1500 * time.Millisecond
	// moveDelay is how long a move of layers must stay worth its load before it is ordered: engines that were lost may come
	// back.
	moveDelay = 2 * time.Second
	// entryLag is how long after a load an engine's entry in the store may still show no layers.
	entryLag = 5 * time.Second
)

// Config configures a Placer.
type Config struct {
	// Name is the name of this instance.
	Name string
	// Catalog provides the configuration, the engines with the layers that they hold, and the placer's item.
	Catalog *catalog.Catalog
	// Lease configures the lease of the placer role.
	Lease LeaseConfig
	// FetchState returns the state of an engine, read from the engine itself.
	FetchState func(ctx context.Context, server backend.Server) (backend.State, error)
	// OrderLoad orders an engine to load layers; the engine refuses unless it has accepted exactly acceptedOrders orders so
	// far.
	OrderLoad func(ctx context.Context, server backend.Server, acceptedOrders int64, layers backend.Range) error
	// Refused reports whether an error of OrderLoad means that the engine will never execute the order.
	Refused func(err error) bool
	// Leaving reports whether an engine has said that it is leaving; nil means that none has.
	Leaving func(server backend.Server) bool
	// Waiting reports whether an engine has said that it wants no requests now; nil means that none has.
	Waiting func(server backend.Server) bool
	// Lost reports whether an engine is probably gone although it is still listed; nil means that none is.
	Lost func(server backend.Server) bool
	// Random returns numbers in [0, 1); nil uses the global source.
	Random func() float64
	// Log is the logger.
	Log *logrus.Entry
}

// Placer assigns layers to engines while this instance has the placer role.
type Placer struct {
	config   Config
	inFlight sync.WaitGroup
	role     *lease

	// The next five fields are used only by the goroutine that runs Serve.

	engineCounts    map[string]engineCount
	moveWantedSince map[string]time.Time // since when a move has been worth its load, by service
	nextRoleAttempt time.Time            // when this instance may try again to become the placer
	roleRenewedAt   time.Time            // when the lease of the role was last acquired or renewed, or this was tried
	hasRole         bool

	mu                 sync.Mutex // guards pendingAssignments
	pendingAssignments map[string]pendingAssignment
}

// engineCount is the number of engines of a service and when it last changed.
type engineCount struct {
	count int
	since time.Time
}

// pendingAssignment is an assignment of layers to an engine whose entry does not show the layers yet.
type pendingAssignment struct {
	born     int64         // backend.Server.Born of the engine when the assignment was made
	before   backend.Range // layers that the entry showed when the assignment was made
	layers   backend.Range
	deadline time.Time
}

// NewPlacer returns a Placer that does not have the placer role yet.
func NewPlacer(config Config) *Placer {
	if config.Random == nil {
		config.Random = rand.Float64
	}
	return &Placer{
		config: config, role: &lease{config: config.Lease, ttl: roleTTL}, engineCounts: make(map[string]engineCount),
		moveWantedSince: make(map[string]time.Time), pendingAssignments: make(map[string]pendingAssignment),
	}
}

// Serve assigns layers whenever this instance is the placer, until the context ends.
func (p *Placer) Serve(ctx context.Context) error {
	defer p.inFlight.Wait()
	for ctx.Err() == nil {
		if p.checkRole(ctx) {
			p.place(ctx)
		}
		_ = pause.For(ctx, placeInterval)
	}
	return ctx.Err()
}

// place assigns layers to the engines that hold none, and moves one engine at a time to layers that are scarce. It sends the
// orders, each in its own goroutine.
func (p *Placer) place(ctx context.Context) {
	snapshot := p.config.Catalog.Snapshot()
	for i := range snapshot.Index.Config.Services {
		service := &snapshot.Index.Config.Services[i]
		if service.Engine == nil {
			continue
		}
		servers := p.markLeaving(snapshot.Servers[service.Name])
		if !p.readyForPlacement(service, servers) {
			continue
		}
		pending := p.pending(servers)
		plan := placement.Plan(service.Engine, p.withoutLost(servers), pending)
		if move, ok := placement.Rebalance(service.Engine, servers, pending); p.moveIsDue(service.Name, ok, time.Now()) {
			plan = append(plan, move)
		}
		for _, assignment := range plan {
			if p.isWaiting(assignment.Server) {
				continue
			}
			p.addPending(assignment, pendingTimeout(service))
			p.inFlight.Add(1)
			go p.orderLoad(ctx, assignment)
		}
	}
}

// moveIsDue reports whether a move in the service has been worth its load for moveDelay; wanted is whether it is now.
func (p *Placer) moveIsDue(service string, wanted bool, now time.Time) bool {
	since, ok := p.moveWantedSince[service]
	switch {
	case !wanted:
		delete(p.moveWantedSince, service)
		return false
	case !ok:
		p.moveWantedSince[service] = now
		return false
	default:
		return now.Sub(since) >= moveDelay
	}
}

// readyForPlacement reports whether layers may be assigned in a service: some engine holds layers of the model, or the number of
// engines has not changed for settleTime, so that probably all engines are listed.
func (p *Placer) readyForPlacement(service *route.Service, servers []backend.Server) bool {
	for _, server := range servers {
		if service.Engine.HasLayers(server.Layers) && server.Layers.Len() > 0 {
			return true
		}
	}
	last := p.engineCounts[service.Name]
	if last.count != len(servers) {
		p.engineCounts[service.Name] = engineCount{count: len(servers), since: time.Now()}
		return false
	}
	return time.Since(last.since) >= settleTime
}

// pendingTimeout returns how long an assignment stays pending at most: the time to load all layers plus entryLag.
func pendingTimeout(service *route.Service) time.Duration { return service.Engine.LoadTime + entryLag }

// pending returns the layers that are assigned to engines but not shown in their entries yet, by engine ID. It discards an
// assignment once the entry shows other layers than before, the engine has restarted, or the deadline has passed.
func (p *Placer) pending(servers []backend.Server) map[string]backend.Range {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	layers := make(map[string]backend.Range)
	for _, server := range servers {
		assignment, ok := p.pendingAssignments[server.ID]
		if !ok {
			continue
		}
		if server.Layers.Len() > 0 && server.Layers != assignment.before || server.Born != assignment.born || now.After(assignment.deadline) {
			delete(p.pendingAssignments, server.ID)
			continue
		}
		layers[server.ID] = assignment.layers
	}
	return layers
}

func (p *Placer) addPending(assignment placement.Assignment, timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingAssignments[assignment.Server.ID] = pendingAssignment{
		born: assignment.Server.Born, before: assignment.Server.Layers, layers: assignment.Layers, deadline: time.Now().Add(timeout),
	}
}

func (p *Placer) removePending(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pendingAssignments, id)
}

// orderLoad reads an engine's state and orders the engine to load layers if it is idle, holds what its entry shows and the
// lease is still held.
func (p *Placer) orderLoad(ctx context.Context, assignment placement.Assignment) {
	defer p.inFlight.Done()
	server, layers := assignment.Server, assignment.Layers
	log := p.config.Log.WithFields(logrus.Fields{"server": server.ID, "from": layers.From, "to": layers.To})
	ctx, cancel := p.config.Lease.Clock.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := p.config.FetchState(ctx, server)
	if err != nil {
		log.WithError(err).Info("cannot read the engine's state; no order sent")
		// The assignment stays pending for the rest of orderTimeout, so that the next check does not try this engine again at
		// once.
		_ = pause.For(ctx, orderTimeout)
		p.removePending(server.ID)
		return
	}
	if state.Busy || state.Layers != server.Layers && state.Layers.Len()+server.Layers.Len() > 0 {
		// The assignment stays pending until the engine's entry shows its layers or the deadline passes.
		log.WithField("busy", state.Busy).WithField("holds", state.Layers.Len()).Info("the engine is busy or holds other layers; no order sent")
		return
	}
	if _, ok := p.role.held(); !ok {
		p.removePending(server.ID)
		return
	}
	err = p.config.OrderLoad(ctx, server, state.Orders, layers)
	switch {
	case err == nil:
		log.WithField("orders", state.Orders).Info("load ordered")
	case p.config.Refused(err):
		log.WithError(err).Info("the engine refused the order")
		p.removePending(server.ID)
	case server.Layers.Len() > 0:
		// The assignment stays pending until its deadline, so that no other engine is moved while this one may still be.
		log.WithError(err).Warn("no response to the order to move; the engine may still execute it later")
	default:
		log.WithError(err).Warn("no response to the order; the engine may still execute it later")
		p.removePending(server.ID)
	}
}
