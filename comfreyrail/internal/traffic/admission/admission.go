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

// Constants of the admission.
const (
	// tickInterval is the time between two looks at the deadlines of waiting requests.
	tickInterval = 100 * time.Millisecond
	// overcommit is the number of requests for each slot, so that servers have work while others travel.
	overcommit = 2
)

// Config configures an Admission.
type Config struct {
	// Control publishes the state.
	Control *control.Control
	// MaxRunning is the greatest number of requests in progress for each pool.
	MaxRunning int
	// MaxQueued is the greatest number of requests that wait for each pool.
	MaxQueued int
	// Seed is the seed of the times after which refused requests are repeated.
	Seed int64
	// Checker counts violated invariants.
	Checker *invariant.Checker
	// Metrics counts requests by verdict; nil counts none.
	Metrics metrics.Registry
}

// Request is a request that asks to run.
type Request struct {
	// ID identifies the request.
	ID string
	// Pool is the pool that serves the request.
	Pool string
	// Workspace is the workspace of the caller.
	Workspace string
	// Priority orders requests, 0 the lowest.
	Priority int
	// Units is the expected work, such as the number of tokens.
	Units int
}

// Admission holds an admit.Gate for each pool.
type Admission struct {
	config Config

	mu    sync.Mutex
	pools map[string]*pool
}

// pool is the gate of one pool with the requests that wait at it.
type pool struct {
	gate     *admit.Gate
	snapshot *control.Snapshot
	waiting  map[string]chan admit.Action
}

// New returns an Admission.
func New(config Config) *Admission {
	return &Admission{config: config, pools: make(map[string]*pool)}
}

// Admit waits until the request may run; the error holds an outcome.Failure.
//
// Leave must be called when the request has ended; served tells that the backend servers did its work.
func (a *Admission) Admit(ctx context.Context, request Request) (leave func(served bool), err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Hour)
	}
	verdict := make(chan admit.Action, 1)
	a.update(request.Pool, func(p *pool, now time.Time) []admit.Action {
		p.waiting[request.ID] = verdict
		return p.gate.Offer(now, admit.Request{
			ID: request.ID, Workspace: request.Workspace, Priority: request.Priority,
			Deadline: deadline, Units: float64(request.Units),
		})
	})
	if err = a.wait(ctx, request, verdict); err != nil {
		return nil, err
	}
	return func(served bool) {
		a.update(request.Pool, func(p *pool, now time.Time) []admit.Action {
			return p.gate.Finish(now, request.ID, served)
		})
	}, nil
}

// wait waits for the verdict about a request.
func (a *Admission) wait(ctx context.Context, request Request, verdict chan admit.Action) error {
	begun := time.Now()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case action := <-verdict:
			a.count(request.Pool, action.Verdict, time.Since(begun))
			return failure(request, action)
		case <-ticker.C:
			a.update(request.Pool, func(p *pool, now time.Time) []admit.Action { return p.gate.Tick(now) })
		case <-ctx.Done():
			return a.withdraw(ctx, request, verdict, begun)
		}
	}
}

// withdraw takes back a request whose caller has left or whose deadline has passed.
func (a *Admission) withdraw(ctx context.Context, request Request, verdict chan admit.Action, begun time.Time) error {
	late := admit.Action{Verdict: admit.Late}
	a.update(request.Pool, func(p *pool, now time.Time) []admit.Action {
		delete(p.waiting, request.ID)
		late.RetryAfter = p.gate.RetryAfter()
		if p.gate.Cancel(request.ID) {
			return nil
		}
		if action := <-verdict; action.Verdict != admit.Granted {
			return nil
		}
		return p.gate.Finish(now, request.ID, false)
	})
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		a.count(request.Pool, late.Verdict, time.Since(begun))
		return failure(request, late)
	}
	return outcome.NotRunf(outcome.CodeCaller, "the caller left while the request waited to run")
}

// failure returns what the caller of a refused request is told, nil if the request may run.
func failure(request Request, action admit.Action) error {
	var refused *outcome.Failure
	switch action.Verdict {
	case admit.Granted:
		return nil
	case admit.Full:
		refused = outcome.NotRunf(outcome.CodeOverload, "too many requests wait for pool %q", request.Pool)
	case admit.Late:
		refused = outcome.NotRunf(outcome.CodeOverload, "pool %q cannot answer before the deadline", request.Pool)
	default:
		refused = outcome.NotRunf(outcome.CodeInvariant, "the request could not be admitted")
	}
	refused.RetryAfter = action.RetryAfter
	return refused
}

// update does one step at the gate of a pool, with the newest capacity, and tells those whose wait has ended.
func (a *Admission) update(name string, step func(p *pool, now time.Time) []admit.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	p := a.pool(name)
	if snapshot := a.config.Control.Snapshot(); snapshot != p.snapshot {
		p.snapshot = snapshot
		if capacity := capacityOf(snapshot, name); capacity.Slots > 0 {
			p.tell(p.gate.SetCapacity(now, capacity))
		}
	}
	p.tell(step(p, now))
	if counts := p.gate.Counts(); counts.Running == 0 && counts.Waiting == 0 {
		a.forget(name)
	}
}

// tell hands out the actions of a gate.
func (p *pool) tell(actions []admit.Action) {
	for _, action := range actions {
		if verdict, ok := p.waiting[action.ID]; ok {
			delete(p.waiting, action.ID)
			verdict <- action
		}
	}
}

// pool returns the gate of the pool, new if there is none.
func (a *Admission) pool(name string) *pool {
	p, ok := a.pools[name]
	if !ok {
		p = &pool{waiting: make(map[string]chan admit.Action), gate: admit.New(admit.Config{
			MaxQueued: a.config.MaxQueued, MaxRunning: a.config.MaxRunning,
			Random: rand.New(rand.NewSource(a.config.Seed)), Checker: a.config.Checker,
		})}
		a.pools[name] = p
	}
	return p
}

// forget drops an idle gate whose pool is not in the tables.
func (a *Admission) forget(name string) {
	if _, listed := a.config.Control.Snapshot().Tables.FindPool(name); !listed {
		delete(a.pools, name)
	}
}

// capacityOf sums up what the backend servers of the pool report.
//
// A request has a place at one server of each stage, so that the reports count it once for each stage.
func capacityOf(snapshot *control.Snapshot, name string) admit.Capacity {
	row, _ := snapshot.Tables.FindPool(name)
	capacity := admit.Capacity{Instances: len(snapshot.Members())}
	usable, layers := 0, 0
	for _, listed := range row.Servers {
		server := snapshot.Servers[listed.Name]
		if !server.Usable {
			continue
		}
		usable++
		layers += server.Status.Last - server.Status.First
		capacity.Slots += overcommit * server.Status.Slots
		capacity.Used += server.Status.Queue
	}
	if layers > 0 {
		capacity.Used = capacity.Used * layers / max(layers, row.Layers*usable)
	}
	return capacity
}

// count counts a verdict, and the time that a request waited for it.
func (a *Admission) count(pool string, verdict admit.Verdict, waited time.Duration) {
	if a.config.Metrics == nil {
		return
	}
	metrics.GetOrRegisterCounter("admission."+pool+"."+verdict.String(), a.config.Metrics).Inc(1)
	metrics.GetOrRegisterTimer("admission."+pool+".wait", a.config.Metrics).Update(waited)
}
