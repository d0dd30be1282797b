package admit

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
)

// Parameters of a Controller.
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

// Config configures a Controller.
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

// Controller is the admission control of one pool at one instance; it is not safe for concurrent use.
type Controller struct {
	config            Config
	limiter           limiter
	workspaces        workspaceSet
	waiting           map[string]*waitingRequest
	running           map[string]runningRequest
	waitingByPriority [NumPriorities]int
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

// New returns a Controller without requests.
func New(config Config) *Controller {
	if config.Checker == nil {
		config.Checker = new(invariant.Checker)
	}
	config.MaxQueued = max(config.MaxQueued, guaranteeDivisor*NumPriorities)
	maxRunning := float64(max(1, config.MaxRunning))
	return &Controller{
		config: config, limiter: limiter{limit: maxRunning, maxLimit: maxRunning},
		workspaces: workspaceSet{byName: map[string]*workspaceState{}},
		waiting:    map[string]*waitingRequest{}, running: map[string]runningRequest{},
	}
}

// Counts holds the current numbers of requests and workspaces of a Controller.
type Counts struct {
	// Running is the number of requests in progress.
	Running int
	// Waiting is the number of requests in the queue.
	Waiting int
	// Limit is the maximum number of requests that may be in progress now.
	Limit int
	// Workspaces is the number of workspaces for which the Controller keeps state.
	Workspaces int
}

// Counts returns the current numbers of requests and workspaces.
func (c *Controller) Counts() Counts {
	return Counts{
		Running: len(c.running), Waiting: len(c.waiting), Limit: c.limiter.allowed(), Workspaces: len(c.workspaces.byName),
	}
}

// SetCapacity sets the maximum of the limit from the load on the backend servers, and admits waiting requests up to the
// limit.
func (c *Controller) SetCapacity(now time.Time, capacity Capacity) (decisions []Decision) {
	c.limiter.setMaxLimit(min(capacity.InstanceLimit(len(c.running)), max(1, c.config.MaxRunning)))
	return c.grant(now, nil)
}

// Submit requests admission; the request waits unless the returned decisions contain one for it.
//
// The decisions may also concern other requests: a new request can displace a waiting one from a full queue.
func (c *Controller) Submit(now time.Time, request Request) (decisions []Decision) {
	request.Priority = min(max(request.Priority, 0), NumPriorities-1)
	if request.Units <= 0 {
		request.Units = 1
	}
	_, isWaiting := c.waiting[request.ID]
	if _, isRunning := c.running[request.ID]; isRunning || isWaiting {
		return []Decision{{ID: request.ID, Verdict: Invalid}}
	}
	decisions = c.expire(now)
	workspace := c.workspaces.get(now, request.Workspace)
	if c.missesDeadline(now, request, workspace) {
		return c.refuse(decisions, request.ID, Late)
	}
	if len(c.waiting) >= c.config.MaxQueued {
		displaced := c.chooseDisplaced(request, workspace)
		if displaced == nil {
			return c.refuse(decisions, request.ID, Full)
		}
		c.remove(displaced)
		decisions = c.refuse(decisions, displaced.ID, Full)
	}
	c.lastSequence++
	added := &waitingRequest{Request: request, sequence: c.lastSequence, workspace: workspace}
	workspace.push(added)
	c.waiting[request.ID] = added
	c.waitingByPriority[request.Priority]++
	return c.grant(now, decisions)
}

// Finish removes a granted request that has ended, and admits waiting requests up to the limit.
//
// The parameter served reports whether the backend servers did the work of the request; only then does the duration of
// the request influence the limit.
func (c *Controller) Finish(now time.Time, id string, served bool) (decisions []Decision) {
	finished, ok := c.running[id]
	if c.config.Checker.Check(ok, "admitted", "request %q ended but was not in progress", id) != nil {
		return nil
	}
	saturated := len(c.running) >= c.limiter.allowed() || len(c.waiting) > 0
	finished.workspace.update(now)
	finished.workspace.running--
	delete(c.running, id)
	if served {
		c.limiter.observe(time.Duration(float64(now.Sub(finished.startedAt))/finished.units), saturated)
	}
	return c.grant(now, c.expire(now))
}

// Cancel removes a waiting request, for example because its caller has disconnected, and reports whether it waited.
func (c *Controller) Cancel(id string) bool {
	cancelled, ok := c.waiting[id]
	if ok {
		c.remove(cancelled)
	}
	return ok
}

// Tick refuses the waiting requests whose deadlines can no longer be met, and admits others up to the limit; it must be
// called regularly.
func (c *Controller) Tick(now time.Time) (decisions []Decision) {
	return c.grant(now, c.expire(now))
}

// grant admits waiting requests up to the limit and appends their verdicts to decisions.
func (c *Controller) grant(now time.Time, decisions []Decision) []Decision {
	for len(c.waiting) > 0 && len(c.running) < c.limiter.allowed() {
		chosen := c.chooseNext()
		c.remove(chosen)
		if !now.Before(chosen.Deadline) {
			decisions = c.refuse(decisions, chosen.ID, Late)
			continue
		}
		_, alreadyRunning := c.running[chosen.ID]
		if c.config.Checker.Check(!alreadyRunning, "admitted", "request %q was granted twice", chosen.ID) != nil {
			decisions = append(decisions, Decision{ID: chosen.ID, Verdict: Invalid})
			continue
		}
		c.grants++
		chosen.workspace.lastGrant = c.grants
		chosen.workspace.running++
		c.running[chosen.ID] = runningRequest{workspace: chosen.workspace, startedAt: now, units: chosen.Units}
		decisions = append(decisions, Decision{ID: chosen.ID, Verdict: Granted})
	}
	return decisions
}

// chooseNext returns the waiting request to grant next; at least one request must wait.
func (c *Controller) chooseNext() *waitingRequest {
	if c.grants%reservedGrantInterval == reservedGrantInterval-1 {
		c.reservedPriority = (c.reservedPriority + 1) % NumPriorities
		for c.waitingByPriority[c.reservedPriority] == 0 {
			c.reservedPriority = (c.reservedPriority + 1) % NumPriorities
		}
		return c.workspaces.nextRequest(c.reservedPriority)
	}
	priority := NumPriorities - 1
	for c.waitingByPriority[priority] == 0 {
		priority--
	}
	return c.workspaces.nextRequest(priority)
}

// remove removes a request from the queue.
func (c *Controller) remove(request *waitingRequest) {
	request.workspace.remove(request)
	delete(c.waiting, request.ID)
	c.waitingByPriority[request.Priority]--
}

// chooseDisplaced returns the waiting request to refuse in favor of a new one when the queue is full, or nil if the new
// one must be refused.
//
// The displaced request is of the lowest priority that holds more than its guaranteed places in the queue, and is the
// newest of the workspace with the most waiting requests of that priority. A new request displaces it if its own
// priority is higher or holds fewer than its guaranteed places. A new request of the same priority displaces it if its
// workspace has at least two fewer waiting requests of that priority.
func (c *Controller) chooseDisplaced(request Request, workspace *workspaceState) *waitingRequest {
	guaranteed := c.config.MaxQueued / (guaranteeDivisor * NumPriorities)
	lowest := 0
	for lowest < NumPriorities && c.waitingByPriority[lowest] <= guaranteed {
		lowest++
	}
	belowGuarantee := c.waitingByPriority[request.Priority] < guaranteed
	if lowest == NumPriorities || !belowGuarantee && request.Priority < lowest {
		return nil
	}
	longest := c.workspaces.longestQueue(lowest)
	if request.Priority == lowest && len(longest.queues[lowest]) <= len(workspace.queues[lowest])+1 {
		return nil
	}
	queue := longest.queues[lowest]
	return queue[len(queue)-1]
}

// missesDeadline reports whether a new request is expected to miss its deadline.
func (c *Controller) missesDeadline(now time.Time, request Request, workspace *workspaceState) bool {
	if !now.Before(request.Deadline) {
		return true
	}
	if c.config.KeepLate || len(c.running) < c.limiter.allowed() {
		return false
	}
	ahead := c.requestsAhead(request, workspace)
	wait := c.limiter.expectedTime(request.Units) * time.Duration(ahead+1) / time.Duration(c.limiter.allowed())
	return now.Add(wait + deadlineMargin*c.limiter.expectedTime(request.Units)).After(request.Deadline)
}

// requestsAhead estimates the number of waiting requests that run before a new one.
func (c *Controller) requestsAhead(request Request, workspace *workspaceState) int {
	higher, equal := 0, c.waitingByPriority[request.Priority]
	for priority := request.Priority + 1; priority < NumPriorities; priority++ {
		higher += c.waitingByPriority[priority]
	}
	competing := 0
	for _, other := range c.workspaces.byName {
		if len(other.queues[request.Priority]) > 0 {
			competing++
		}
	}
	return higher + min(equal, (len(workspace.queues[request.Priority])+1)*competing)
}

// expire updates the slot time of the workspaces, drops idle ones, and refuses the waiting requests whose deadlines can
// no longer be met, at most once per expiryInterval.
func (c *Controller) expire(now time.Time) (decisions []Decision) {
	if now.Sub(c.lastExpiry) < expiryInterval {
		return nil
	}
	c.lastExpiry = now
	c.workspaces.update(now)
	for _, id := range c.expiring(now) {
		c.remove(c.waiting[id])
		decisions = c.refuse(decisions, id, Late)
	}
	return decisions
}

// expiring returns the IDs, oldest first, of the waiting requests whose deadlines are closer than deadlineMargin times
// the expected execution time or, if KeepLate is set, have passed.
func (c *Controller) expiring(now time.Time) (ids []string) {
	for id, request := range c.waiting {
		latest := request.Deadline
		if !c.config.KeepLate {
			latest = latest.Add(-deadlineMargin * c.limiter.expectedTime(request.Units))
		}
		if !now.Before(latest) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(c.waiting[a].sequence, c.waiting[b].sequence) })
	return ids
}

// refuse appends the refusal of a request to decisions.
func (c *Controller) refuse(decisions []Decision, id string, verdict Verdict) []Decision {
	return append(decisions, Decision{ID: id, Verdict: verdict, RetryAfter: c.RetryAfter()})
}

// RetryAfter returns the time after which a refused caller should send its request again.
//
// It is the expected time until the queue is empty, limited to between minRetryAfter and maxRetryAfter, plus a random
// time of up to the same length.
func (c *Controller) RetryAfter() time.Duration {
	queueTime := c.limiter.expectedTime(1) * time.Duration(len(c.waiting)) / time.Duration(c.limiter.allowed())
	base := min(max(queueTime, minRetryAfter), maxRetryAfter)
	return base + time.Duration(c.config.Random.Int63n(int64(base)))
}
