package admit

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
)

// Parameters of a Gate.
const (
	// reservedGrantInterval is the interval, in grants, of the reserved grants, which go to the priorities with waiting
	// requests in rotation.
	reservedGrantInterval = 16
	// guaranteeDivisor determines the guaranteed places: 1/guaranteeDivisor of the queue, the same number for each
	// priority.
	guaranteeDivisor = 2
	// expiryInterval is the minimum time between two searches for requests whose deadlines cannot be met.
	expiryInterval = 20 * time.Millisecond
	// deadlineMargin is the time that must remain until the deadline, as a multiple of the expected execution time.
	deadlineMargin = 2
	// minRetryAfter is the shortest time that a refused caller is asked to wait.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest time that a refused caller is asked to wait, before jitter.
	maxRetryAfter = 30 * time.Second
)

// Config configures a Gate.
type Config struct {
	// MaxQueued is the maximum number of requests that wait; values below 20 mean 20.
	MaxQueued int
	// MaxRunning is the maximum number of requests in progress, regardless of the capacity; values below 1 mean 1.
	MaxRunning int
	// Random is the source of the jitter in RetryAfter, which spreads the requests that refused callers send again.
	Random *rand.Rand
	// Checker counts violated invariants; nil means a new Checker.
	Checker *invariant.Checker
	// KeepLate keeps requests waiting until their deadlines have passed, even if the deadlines can no longer be met; only
	// experiments set it.
	KeepLate bool
}

// Gate is the admission control of one pool at one instance; it is not safe for concurrent use.
type Gate struct {
	config            Config
	limiter           limiter
	workspaces        workspaceSet
	waiting           map[string]*waitingRequest
	running           map[string]runningRequest
	waitingByPriority [Priorities]int
	lastSequence      uint64
	grants            uint64
	reservedPriority  int // priority of the newest reserved grant
	lastExpiry        time.Time
}

// runningRequest is a request in progress.
type runningRequest struct {
	workspace *workspaceState
	startedAt time.Time
	units     float64
}

// New returns a Gate without requests.
func New(config Config) *Gate {
	if config.Checker == nil {
		config.Checker = new(invariant.Checker)
	}
	config.MaxQueued = max(config.MaxQueued, guaranteeDivisor*Priorities)
	maxRunning := float64(max(1, config.MaxRunning))
	return &Gate{
		config: config, limiter: limiter{limit: maxRunning, maxLimit: maxRunning},
		workspaces: workspaceSet{byName: map[string]*workspaceState{}},
		waiting:    map[string]*waitingRequest{}, running: map[string]runningRequest{},
	}
}

// Counts holds the current numbers of requests and workspaces of a Gate.
type Counts struct {
	// Running is the number of requests in progress.
	Running int
	// Waiting is the number of requests in the queue.
	Waiting int
	// Limit is the maximum number of requests that may be in progress now.
	Limit int
	// Workspaces is the number of workspaces for which the Gate keeps state.
	Workspaces int
}

// Counts returns the current numbers of requests and workspaces.
func (g *Gate) Counts() Counts {
	return Counts{
		Running: len(g.running), Waiting: len(g.waiting), Limit: g.limiter.allowed(), Workspaces: len(g.workspaces.byName),
	}
}

// SetCapacity sets the maximum of the limit from the load on the backend servers, and admits waiting requests up to the
// limit.
func (g *Gate) SetCapacity(now time.Time, capacity Capacity) (decisions []Decision) {
	g.limiter.setMaxLimit(min(capacity.InstanceLimit(len(g.running)), max(1, g.config.MaxRunning)))
	return g.grant(now, nil)
}

// Submit requests admission; the request waits unless the returned decisions contain one for it.
//
// The decisions may also concern other requests: a new request can displace a waiting one from a full queue.
func (g *Gate) Submit(now time.Time, request Request) (decisions []Decision) {
	request.Priority = min(max(request.Priority, 0), Priorities-1)
	if request.Units <= 0 {
		request.Units = 1
	}
	_, isWaiting := g.waiting[request.ID]
	if _, isRunning := g.running[request.ID]; isRunning || isWaiting {
		return []Decision{{ID: request.ID, Verdict: Invalid}}
	}
	decisions = g.expire(now)
	workspace := g.workspaces.get(now, request.Workspace)
	if g.missesDeadline(now, request, workspace) {
		return g.refuse(decisions, request.ID, Late)
	}
	if len(g.waiting) >= g.config.MaxQueued {
		displaced := g.chooseDisplaced(request, workspace)
		if displaced == nil {
			return g.refuse(decisions, request.ID, Full)
		}
		g.remove(displaced)
		decisions = g.refuse(decisions, displaced.ID, Full)
	}
	g.lastSequence++
	added := &waitingRequest{Request: request, sequence: g.lastSequence, workspace: workspace}
	workspace.push(added)
	g.waiting[request.ID] = added
	g.waitingByPriority[request.Priority]++
	return g.grant(now, decisions)
}

// Finish removes a granted request that has ended, and admits waiting requests up to the limit.
//
// The parameter served reports whether the backend servers did the work of the request; only then does the duration of
// the request influence the limit.
func (g *Gate) Finish(now time.Time, id string, served bool) (decisions []Decision) {
	finished, ok := g.running[id]
	if g.config.Checker.Check(ok, "admitted", "request %q ended but was not in progress", id) != nil {
		return nil
	}
	saturated := len(g.running) >= g.limiter.allowed() || len(g.waiting) > 0
	finished.workspace.update(now)
	finished.workspace.running--
	delete(g.running, id)
	if served {
		g.limiter.observe(time.Duration(float64(now.Sub(finished.startedAt))/finished.units), saturated)
	}
	return g.grant(now, g.expire(now))
}

// Cancel removes a waiting request, for example because its caller has disconnected, and reports whether it waited.
func (g *Gate) Cancel(id string) bool {
	cancelled, ok := g.waiting[id]
	if ok {
		g.remove(cancelled)
	}
	return ok
}

// Tick refuses the waiting requests whose deadlines can no longer be met, and admits others up to the limit; it must be
// called regularly.
func (g *Gate) Tick(now time.Time) (decisions []Decision) {
	return g.grant(now, g.expire(now))
}

// grant admits waiting requests up to the limit and appends their verdicts to decisions.
func (g *Gate) grant(now time.Time, decisions []Decision) []Decision {
	for len(g.waiting) > 0 && len(g.running) < g.limiter.allowed() {
		chosen := g.chooseNext()
		g.remove(chosen)
		if !now.Before(chosen.Deadline) {
			decisions = g.refuse(decisions, chosen.ID, Late)
			continue
		}
		_, alreadyRunning := g.running[chosen.ID]
		if g.config.Checker.Check(!alreadyRunning, "admitted", "request %q was granted twice", chosen.ID) != nil {
			decisions = append(decisions, Decision{ID: chosen.ID, Verdict: Invalid})
			continue
		}
		g.grants++
		chosen.workspace.lastGrant = g.grants
		chosen.workspace.running++
		g.running[chosen.ID] = runningRequest{workspace: chosen.workspace, startedAt: now, units: chosen.Units}
		decisions = append(decisions, Decision{ID: chosen.ID, Verdict: Granted})
	}
	return decisions
}

// chooseNext returns the waiting request to grant next; at least one request must wait.
func (g *Gate) chooseNext() *waitingRequest {
	if g.grants%reservedGrantInterval == reservedGrantInterval-1 {
		g.reservedPriority = (g.reservedPriority + 1) % Priorities
		for g.waitingByPriority[g.reservedPriority] == 0 {
			g.reservedPriority = (g.reservedPriority + 1) % Priorities
		}
		return g.workspaces.nextRequest(g.reservedPriority)
	}
	priority := Priorities - 1
	for g.waitingByPriority[priority] == 0 {
		priority--
	}
	return g.workspaces.nextRequest(priority)
}

// remove removes a request from the queue.
func (g *Gate) remove(request *waitingRequest) {
	request.workspace.remove(request)
	delete(g.waiting, request.ID)
	g.waitingByPriority[request.Priority]--
}

// chooseDisplaced returns the waiting request to refuse in favor of a new one when the queue is full, or nil if the new
// one must be refused.
//
// The displaced request is of the lowest priority that holds more than its guaranteed places in the queue, and is the
// newest of the workspace with the most waiting requests of that priority. A new request displaces it if its own
// priority is higher or holds fewer than its guaranteed places. A new request of the same priority displaces it if its
// workspace has at least two fewer waiting requests of that priority.
func (g *Gate) chooseDisplaced(request Request, workspace *workspaceState) *waitingRequest {
	guaranteed := g.config.MaxQueued / (guaranteeDivisor * Priorities)
	lowest := 0
	for lowest < Priorities && g.waitingByPriority[lowest] <= guaranteed {
		lowest++
	}
	belowGuarantee := g.waitingByPriority[request.Priority] < guaranteed
	if lowest == Priorities || !belowGuarantee && request.Priority < lowest {
		return nil
	}
	longest := g.workspaces.longestQueue(lowest)
	if request.Priority == lowest && len(longest.queues[lowest]) <= len(workspace.queues[lowest])+1 {
		return nil
	}
	queue := longest.queues[lowest]
	return queue[len(queue)-1]
}

// missesDeadline reports whether a new request is expected to miss its deadline.
func (g *Gate) missesDeadline(now time.Time, request Request, workspace *workspaceState) bool {
	if !now.Before(request.Deadline) {
		return true
	}
	if g.config.KeepLate || len(g.running) < g.limiter.allowed() {
		return false
	}
	ahead := g.requestsAhead(request, workspace)
	wait := g.limiter.expectedTime(request.Units) * time.Duration(ahead+1) / time.Duration(g.limiter.allowed())
	return now.Add(wait + deadlineMargin*g.limiter.expectedTime(request.Units)).After(request.Deadline)
}

// requestsAhead estimates the number of waiting requests that run before a new one.
func (g *Gate) requestsAhead(request Request, workspace *workspaceState) int {
	higher, equal := 0, g.waitingByPriority[request.Priority]
	for priority := request.Priority + 1; priority < Priorities; priority++ {
		higher += g.waitingByPriority[priority]
	}
	competing := 0
	for _, other := range g.workspaces.byName {
		if len(other.queues[request.Priority]) > 0 {
			competing++
		}
	}
	return higher + min(equal, (len(workspace.queues[request.Priority])+1)*competing)
}

// expire updates the slot time of the workspaces, drops idle ones, and refuses the waiting requests whose deadlines can
// no longer be met, at most once per expiryInterval.
func (g *Gate) expire(now time.Time) (decisions []Decision) {
	if now.Sub(g.lastExpiry) < expiryInterval {
		return nil
	}
	g.lastExpiry = now
	g.workspaces.update(now)
	for _, id := range g.expiring(now) {
		g.remove(g.waiting[id])
		decisions = g.refuse(decisions, id, Late)
	}
	return decisions
}

// expiring returns the IDs, oldest first, of the waiting requests whose deadlines are closer than deadlineMargin times
// the expected execution time or, if KeepLate is set, have passed.
func (g *Gate) expiring(now time.Time) (ids []string) {
	for id, request := range g.waiting {
		latest := request.Deadline
		if !g.config.KeepLate {
			latest = latest.Add(-deadlineMargin * g.limiter.expectedTime(request.Units))
		}
		if !now.Before(latest) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(g.waiting[a].sequence, g.waiting[b].sequence) })
	return ids
}

// refuse appends the refusal of a request to decisions.
func (g *Gate) refuse(decisions []Decision, id string, verdict Verdict) []Decision {
	return append(decisions, Decision{ID: id, Verdict: verdict, RetryAfter: g.RetryAfter()})
}

// RetryAfter returns the time after which a refused caller should send its request again.
//
// It is the expected time until the queue is empty, limited to between minRetryAfter and maxRetryAfter, plus a random
// time of up to the same length.
func (g *Gate) RetryAfter() time.Duration {
	queueTime := g.limiter.expectedTime(1) * time.Duration(len(g.waiting)) / time.Duration(g.limiter.allowed())
	base := min(max(queueTime, minRetryAfter), maxRetryAfter)
	return base + time.Duration(g.config.Random.Int63n(int64(base)))
}
