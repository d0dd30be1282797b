package admission

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/rail/admit"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// Parameters of the admission control.
const (
	// tickInterval is the time between two calls of Controller.Tick by each waiting request. Tick refuses requests whose
	// deadlines can no longer be met.
	tickInterval = 100 * time.Millisecond
	// requestsPerSlot is the number of requests admitted for each slot of a backend server. It is more than one so that
	// servers have work while other requests are in transit.
	requestsPerSlot = 2
)

// Config configures an Admission.
type Config struct {
	// Control provides the tables, the instances and the status of the backend servers.
	Control *control.Control
	// MaxRunning is the maximum number of requests of this instance in progress for each pool; values below 1 mean 1.
	MaxRunning int
	// MaxQueued is the maximum number of requests that wait for each pool; values below 20 mean 20.
	MaxQueued int
	// Seed seeds the jitter of the times after which refused requests may be repeated.
	Seed int64
	// Checker counts violated invariants.
	Checker *invariant.Checker
	// Metrics counts requests by verdict and records the time that they waited; nil counts none.
	Metrics metrics.Registry
}

// Request is a request for admission.
type Request struct {
	// ID identifies the request; it must be unique among the requests of the pool that wait or run.
	ID string
	// Pool is the pool that serves the request.
	Pool string
	// Workspace is the workspace of the caller.
	Workspace string
	// Priority orders requests: 0 is the least and admit.NumPriorities-1 the most urgent.
	Priority int
	// Units is the expected work, such as the number of tokens; zero means one.
	Units int
}

// Admission holds an admit.Controller for each pool; its methods may be called concurrently.
type Admission struct {
	config Config

	mu          sync.Mutex
	controllers map[string]*poolController
}

// poolController is the controller of one pool with the requests that wait at it.
type poolController struct {
	controller *admit.Controller
	// snapshot is the snapshot from which the capacity of the controller was last computed.
	snapshot *control.Snapshot
	// waiting holds, by request ID, the channel that receives the decision on each waiting request.
	waiting map[string]chan admit.Decision
}

// New returns an Admission without controllers; Admit creates the controller of a pool for its first request.
func New(config Config) *Admission {
	return &Admission{config: config, controllers: make(map[string]*poolController)}
}

// Admit waits until the request may run; the error is an *outcome.Failure. If ctx has no deadline, the deadline is an
// hour from now. The function finish must be called when the request has ended; served reports whether the backend
// servers did its work.
func (a *Admission) Admit(ctx context.Context, request Request) (finish func(served bool), err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Hour)
	}
	reply := make(chan admit.Decision, 1)
	a.update(request.Pool, func(p *poolController, now time.Time) []admit.Decision {
		p.waiting[request.ID] = reply
		return p.controller.Submit(now, admit.Request{
			ID: request.ID, Workspace: request.Workspace, Priority: request.Priority,
			Deadline: deadline, Units: float64(request.Units),
		})
	})
	if err = a.awaitDecision(ctx, request, reply); err != nil {
		return nil, err
	}
	return func(served bool) {
		a.update(request.Pool, func(p *poolController, now time.Time) []admit.Decision {
			return p.controller.Finish(now, request.ID, served)
		})
	}, nil
}

// awaitDecision waits for the decision on a request and returns nil if the request may run.
func (a *Admission) awaitDecision(ctx context.Context, request Request, reply chan admit.Decision) error {
	start := time.Now()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case decision := <-reply:
			a.countVerdict(request.Pool, decision.Verdict, time.Since(start))
			return decisionError(request, decision)
		case <-ticker.C:
			a.update(request.Pool, func(p *poolController, now time.Time) []admit.Decision { return p.controller.Tick(now) })
		case <-ctx.Done():
			return a.cancel(ctx, request, reply, start)
		}
	}
}

// cancel removes a request whose caller has disconnected or whose deadline has passed, and returns its failure.
//
// If the request was granted in the meantime, it is finished as not served.
func (a *Admission) cancel(ctx context.Context, request Request, reply chan admit.Decision, start time.Time) error {
	late := admit.Decision{Verdict: admit.Late}
	a.update(request.Pool, func(p *poolController, now time.Time) []admit.Decision {
		delete(p.waiting, request.ID)
		late.RetryAfter = p.controller.RetryAfter()
		if p.controller.Cancel(request.ID) {
			return nil
		}
		if decision := <-reply; decision.Verdict != admit.Granted {
			return nil
		}
		return p.controller.Finish(now, request.ID, false)
	})
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		a.countVerdict(request.Pool, late.Verdict, time.Since(start))
		return decisionError(request, late)
	}
	return outcome.NotRunf(outcome.CodeCaller, "the caller left while the request waited to run")
}

// decisionError returns the failure of a refused request, or nil if the request may run.
func decisionError(request Request, decision admit.Decision) error {
	var failure *outcome.Failure
	switch decision.Verdict {
	case admit.Granted:
		return nil
	case admit.Full:
		failure = outcome.NotRunf(outcome.CodeOverload, "too many requests wait for pool %q", request.Pool)
	case admit.Late:
		failure = outcome.NotRunf(outcome.CodeOverload, "pool %q cannot answer before the deadline", request.Pool)
	default:
		failure = outcome.NotRunf(outcome.CodeInvariant, "the request could not be admitted")
	}
	failure.RetryAfter = decision.RetryAfter
	return failure
}

// update runs one step on the controller of a pool and delivers the resulting decisions.
//
// Before the step it sets the capacity of the controller, if the snapshot has changed and the usable backend servers have
// slots. After the step it removes the controller, if the controller is idle and its pool isn't in the tables.
func (a *Admission) update(name string, step func(p *poolController, now time.Time) []admit.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	p := a.poolController(name)
	if snapshot := a.config.Control.Snapshot(); snapshot != p.snapshot {
		p.snapshot = snapshot
		if capacity := capacityOf(snapshot, name); capacity.Slots > 0 {
			p.deliver(p.controller.SetCapacity(now, capacity))
		}
	}
	p.deliver(step(p, now))
	if counts := p.controller.Counts(); counts.Running == 0 && counts.Waiting == 0 {
		a.removeUnlisted(name)
	}
}

// deliver sends each decision of the controller to the request that waits for it.
func (p *poolController) deliver(decisions []admit.Decision) {
	for _, decision := range decisions {
		if reply, ok := p.waiting[decision.ID]; ok {
			delete(p.waiting, decision.ID)
			reply <- decision
		}
	}
}

// poolController returns the controller of the pool with the name and creates it if necessary. The caller holds a.mu.
func (a *Admission) poolController(name string) *poolController {
	p, ok := a.controllers[name]
	if !ok {
		p = &poolController{waiting: make(map[string]chan admit.Decision), controller: admit.New(admit.Config{
			MaxQueued: a.config.MaxQueued, MaxRunning: a.config.MaxRunning,
			Random: rand.New(rand.NewSource(a.config.Seed)), Checker: a.config.Checker,
		})}
		a.controllers[name] = p
	}
	return p
}

// removeUnlisted removes the controller of the pool if the pool isn't in the tables. The caller holds a.mu and has checked
// that the controller is idle.
func (a *Admission) removeUnlisted(name string) {
	if _, listed := a.config.Control.Snapshot().Tables.PoolByName(name); !listed {
		delete(a.controllers, name)
	}
}

// capacityOf returns the capacity of the pool from the status reports of its usable backend servers.
//
// A request is counted in the queue of one server of each stage. The sum of the queues is therefore scaled down by the
// average fraction of the model's layers that a server holds. The number of slots isn't scaled: it is requestsPerSlot
// times the sum of the slots of all usable servers.
func capacityOf(snapshot *control.Snapshot, name string) admit.Capacity {
	poolRow, _ := snapshot.Tables.PoolByName(name)
	capacity := admit.Capacity{Instances: len(snapshot.Members())}
	usable, layers := 0, 0
	for _, serverRow := range poolRow.Servers {
		server := snapshot.Servers[serverRow.Name]
		if !server.Usable {
			continue
		}
		usable++
		layers += server.Status.Last - server.Status.First
		capacity.Slots += requestsPerSlot * server.Status.Slots
		capacity.Used += server.Status.Queue
	}
	if layers > 0 {
		capacity.Used = capacity.Used * layers / max(layers, poolRow.Layers*usable)
	}
	return capacity
}

// countVerdict counts a verdict and records the time that the request waited for it.
func (a *Admission) countVerdict(pool string, verdict admit.Verdict, waited time.Duration) {
	if a.config.Metrics == nil {
		return
	}
	metrics.GetOrRegisterCounter("admission."+pool+"."+verdict.String(), a.config.Metrics).Inc(1)
	metrics.GetOrRegisterTimer("admission."+pool+".wait", a.config.Metrics).Update(waited)
}
