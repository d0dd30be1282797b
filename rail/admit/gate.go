package admit

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
)

// Constants of a Gate.
const (
	// reservedTurn is the number of grants of which one goes to each priority in turn.
	reservedTurn = 16
	// guaranteedShare is the inverse of the share of the queue that is divided evenly among the priorities.
	guaranteedShare = 2
	// expiryInterval is the time between two searches for requests whose deadline cannot be met.
	expiryInterval = 20 * time.Millisecond
	// margin is the time that is kept for a request, as a multiple of the expected one.
	margin = 2
	// leastRetryAfter is the shortest time that a refusal asks for.
	leastRetryAfter = time.Second
	// maxRetryAfter is the longest time that a refusal asks for, before jitter.
	maxRetryAfter = 30 * time.Second
)

// Config configures a Gate.
type Config struct {
	// MaxQueued is the greatest number of requests that wait; less than 20 counts as 20.
	MaxQueued int
	// MaxRunning is the greatest number of requests in progress, whatever the capacity.
	MaxRunning int
	// Random spreads the times after which refused requests are repeated.
	Random *rand.Rand
	// Checker counts violated invariants; nil means one of its own.
	Checker *invariant.Checker
	// KeepLate lets requests wait although their deadline cannot be met, for comparisons.
	KeepLate bool
}

// Gate admits the requests of one pool at one instance; it is not safe for concurrent use.
//
// Of the waiting requests those of the highest priority run first, and among these that of the workspace that has used
// least slot time. One grant in sixteen goes to the priorities with waiting requests in turn, so that none of them is
// passed by more than 160 grants, and a workspace waits at most until each other one has used the maximal debt.
type Gate struct {
	config   Config
	limiter  limiter
	ledger   ledger
	waiting  map[string]*waiter
	running  map[string]run
	queued   [Priorities]int
	order    uint64
	turns    uint64
	reserved int
	expired  time.Time
}

// run is a request in progress.
type run struct {
	space *workspace
	begun time.Time
	units float64
}

// New returns a Gate without requests.
func New(config Config) *Gate {
	if config.Checker == nil {
		config.Checker = new(invariant.Checker)
	}
	config.MaxQueued = max(config.MaxQueued, guaranteedShare*Priorities)
	most := float64(max(1, config.MaxRunning))
	return &Gate{
		config: config, limiter: limiter{limit: most, most: most},
		ledger: ledger{spaces: map[string]*workspace{}}, waiting: map[string]*waiter{}, running: map[string]run{},
	}
}

// Counts are the sizes of a Gate.
type Counts struct {
	// Running is the number of requests in progress.
	Running int
	// Waiting is the number of requests that wait.
	Waiting int
	// Limit is the number of requests that may be in progress.
	Limit int
	// Workspaces is the number of workspaces of which anything is kept.
	Workspaces int
}

// Counts returns the current sizes.
func (g *Gate) Counts() Counts {
	return Counts{
		Running: len(g.running), Waiting: len(g.waiting), Limit: g.limiter.allow(), Workspaces: len(g.ledger.spaces),
	}
}

// SetCapacity takes in what is known about the backend servers.
func (g *Gate) SetCapacity(now time.Time, capacity Capacity) (actions []Action) {
	g.limiter.setMost(min(capacity.Share(len(g.running)), max(1, g.config.MaxRunning)))
	return g.grant(now, nil)
}

// Offer asks for admission; the request waits unless an action for it is returned.
func (g *Gate) Offer(now time.Time, request Request) (actions []Action) {
	request.Priority = min(max(request.Priority, 0), Priorities-1)
	if request.Units <= 0 {
		request.Units = 1
	}
	_, waits := g.waiting[request.ID]
	if _, runs := g.running[request.ID]; runs || waits {
		return []Action{{ID: request.ID, Verdict: Invalid}}
	}
	actions = g.expire(now)
	space := g.ledger.of(now, request.Workspace)
	if g.late(now, request, space) {
		return g.refuse(actions, request.ID, Late)
	}
	if len(g.waiting) >= g.config.MaxQueued {
		victim := g.victim(request, space)
		if victim == nil {
			return g.refuse(actions, request.ID, Full)
		}
		g.remove(victim)
		actions = g.refuse(actions, victim.ID, Full)
	}
	g.order++
	added := &waiter{Request: request, order: g.order, space: space}
	space.push(added)
	g.waiting[request.ID] = added
	g.queued[request.Priority]++
	return g.grant(now, actions)
}

// Finish tells that a granted request has ended; served tells that the backend servers did its work.
func (g *Gate) Finish(now time.Time, id string, served bool) (actions []Action) {
	ended, ok := g.running[id]
	if g.config.Checker.Check(ok, "admitted", "request %q ended but was not in progress", id) != nil {
		return nil
	}
	wanted := len(g.running) >= g.limiter.allow() || len(g.waiting) > 0
	ended.space.settle(now)
	ended.space.running--
	delete(g.running, id)
	if served {
		g.limiter.observe(time.Duration(float64(now.Sub(ended.begun))/ended.units), wanted)
	}
	return g.grant(now, g.expire(now))
}

// Cancel takes back a request that waits, because its caller has gone; it reports whether the request waited.
func (g *Gate) Cancel(id string) bool {
	gone, ok := g.waiting[id]
	if ok {
		g.remove(gone)
	}
	return ok
}

// Tick refuses the requests whose deadlines can no longer be met.
func (g *Gate) Tick(now time.Time) (actions []Action) {
	return g.grant(now, g.expire(now))
}

// grant starts waiting requests while the limit allows.
func (g *Gate) grant(now time.Time, actions []Action) []Action {
	for len(g.waiting) > 0 && len(g.running) < g.limiter.allow() {
		chosen := g.choose()
		g.remove(chosen)
		if !now.Before(chosen.Deadline) {
			actions = g.refuse(actions, chosen.ID, Late)
			continue
		}
		_, twice := g.running[chosen.ID]
		if g.config.Checker.Check(!twice, "admitted", "request %q was granted twice", chosen.ID) != nil {
			actions = append(actions, Action{ID: chosen.ID, Verdict: Invalid})
			continue
		}
		g.turns++
		chosen.space.lastTurn = g.turns
		chosen.space.running++
		g.running[chosen.ID] = run{space: chosen.space, begun: now, units: chosen.Units}
		actions = append(actions, Action{ID: chosen.ID, Verdict: Granted})
	}
	return actions
}

// choose returns the request whose turn it is.
func (g *Gate) choose() *waiter {
	if g.turns%reservedTurn == reservedTurn-1 {
		g.reserved = (g.reserved + 1) % Priorities
		for g.queued[g.reserved] == 0 {
			g.reserved = (g.reserved + 1) % Priorities
		}
		return g.ledger.next(g.reserved)
	}
	priority := Priorities - 1
	for g.queued[priority] == 0 {
		priority--
	}
	return g.ledger.next(priority)
}

// remove takes a request out of the queue.
func (g *Gate) remove(removed *waiter) {
	removed.space.remove(removed)
	delete(g.waiting, removed.ID)
	g.queued[removed.Priority]--
}

// victim returns the request that gives way to a new one in a full queue, nil if the new one must be refused.
//
// It is the newest request of the workspace with most requests of the lowest priority that holds more than its
// guaranteed places. A priority below its guarantee takes a place from any other.
func (g *Gate) victim(request Request, space *workspace) *waiter {
	guaranteed := g.config.MaxQueued / (guaranteedShare * Priorities)
	lowest := 0
	for lowest < Priorities && g.queued[lowest] <= guaranteed {
		lowest++
	}
	entitled := g.queued[request.Priority] < guaranteed
	if lowest == Priorities || !entitled && request.Priority < lowest {
		return nil
	}
	longest := g.ledger.longest(lowest)
	if request.Priority == lowest && len(longest.queues[lowest]) <= len(space.queues[lowest])+1 {
		return nil
	}
	queue := longest.queues[lowest]
	return queue[len(queue)-1]
}

// late reports whether the deadline of a new request cannot be met.
func (g *Gate) late(now time.Time, request Request, space *workspace) bool {
	if !now.Before(request.Deadline) {
		return true
	}
	if g.config.KeepLate || len(g.running) < g.limiter.allow() {
		return false
	}
	ahead := g.ahead(request, space)
	wait := g.limiter.expected(request.Units) * time.Duration(ahead+1) / time.Duration(g.limiter.allow())
	return now.Add(wait + margin*g.limiter.expected(request.Units)).After(request.Deadline)
}

// ahead estimates how many waiting requests run before a new one.
func (g *Gate) ahead(request Request, space *workspace) int {
	higher, equal := 0, g.queued[request.Priority]
	for priority := request.Priority + 1; priority < Priorities; priority++ {
		higher += g.queued[priority]
	}
	rivals := 0
	for _, other := range g.ledger.spaces {
		if len(other.queues[request.Priority]) > 0 {
			rivals++
		}
	}
	return higher + min(equal, (len(space.queues[request.Priority])+1)*rivals)
}

// expire refuses the waiting requests whose deadlines cannot be met any more.
func (g *Gate) expire(now time.Time) (actions []Action) {
	if now.Sub(g.expired) < expiryInterval {
		return nil
	}
	g.expired = now
	g.ledger.settle(now)
	for _, id := range g.overdue(now) {
		g.remove(g.waiting[id])
		actions = g.refuse(actions, id, Late)
	}
	return actions
}

// overdue returns the waiting requests that would end after their deadlines if they began now.
func (g *Gate) overdue(now time.Time) (ids []string) {
	for id, held := range g.waiting {
		latest := held.Deadline
		if !g.config.KeepLate {
			latest = latest.Add(-margin * g.limiter.expected(held.Units))
		}
		if !now.Before(latest) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(g.waiting[a].order, g.waiting[b].order) })
	return ids
}

// refuse adds the refusal of a request.
func (g *Gate) refuse(actions []Action, id string, verdict Verdict) []Action {
	return append(actions, Action{ID: id, Verdict: verdict, RetryAfter: g.RetryAfter()})
}

// RetryAfter returns the time in which the waiting requests will have run, with jitter.
func (g *Gate) RetryAfter() time.Duration {
	drain := g.limiter.expected(1) * time.Duration(len(g.waiting)) / time.Duration(g.limiter.allow())
	base := min(max(drain, leastRetryAfter), maxRetryAfter)
	return base + time.Duration(g.config.Random.Int63n(int64(base)))
}
