package admit

import (
	"math"
	"slices"
	"time"
)

// Bounds of what is kept of a workspace.
const (
	// maxDebt is the greatest use in slot seconds above the least that counts against a workspace.
	maxDebt = 10.0
	// forgetAfter is the time after which a workspace without requests is forgotten.
	forgetAfter = 10 * time.Second
)

// waiter is a request that waits.
type waiter struct {
	Request
	order uint64
	space *workspace
}

// workspace is what a Gate keeps of a workspace that has requests or has used more than others lately.
type workspace struct {
	name     string
	used     float64
	since    time.Time
	seen     time.Time
	running  int
	waiting  int
	queues   [Priorities][]*waiter
	lastTurn uint64
}

// settle adds the slot time used since the last call, in seconds.
func (w *workspace) settle(now time.Time) {
	if elapsed := now.Sub(w.since).Seconds(); elapsed > 0 {
		w.used += elapsed * float64(w.running)
		w.since = now
	}
	if w.active() {
		w.seen = now
	}
}

// active reports whether the workspace has requests.
func (w *workspace) active() bool { return w.running > 0 || w.waiting > 0 }

// push appends a request to its queue.
func (w *workspace) push(added *waiter) {
	w.queues[added.Priority] = append(w.queues[added.Priority], added)
	w.waiting++
}

// remove takes a request out of its queue.
func (w *workspace) remove(removed *waiter) {
	queue := w.queues[removed.Priority]
	if i := slices.Index(queue, removed); i >= 0 {
		w.queues[removed.Priority] = slices.Delete(queue, i, i+1)
		w.waiting--
	}
}

// ledger holds the workspaces and shares the slots out among them.
type ledger struct {
	spaces map[string]*workspace
	floor  float64
}

// of returns the workspace, new if it is not known; a new one has used as much as the one that used least.
func (l *ledger) of(now time.Time, name string) *workspace {
	space, ok := l.spaces[name]
	if !ok {
		space = &workspace{name: name, since: now, seen: now}
		l.spaces[name] = space
	}
	space.settle(now)
	if !space.active() {
		space.used = max(space.used, l.floor)
	}
	return space
}

// settle brings the use of every workspace up to date, and forgets those that are idle and owe nothing.
func (l *ledger) settle(now time.Time) {
	least := math.Inf(1)
	for _, space := range l.spaces {
		space.settle(now)
		if space.active() {
			least = min(least, space.used)
		}
	}
	if !math.IsInf(least, 1) {
		l.floor = max(l.floor, least)
	}
	for name, space := range l.spaces {
		space.used = min(space.used, l.floor+maxDebt)
		if !space.active() && (space.used <= l.floor || now.Sub(space.seen) >= forgetAfter) {
			delete(l.spaces, name)
		}
	}
}

// next returns the first request of the priority from the workspace that used least.
func (l *ledger) next(priority int) *waiter {
	var chosen *workspace
	for _, space := range l.spaces {
		if len(space.queues[priority]) > 0 && (chosen == nil || space.before(chosen)) {
			chosen = space
		}
	}
	return chosen.queues[priority][0]
}

// before reports whether the workspace has its turn before the other one.
func (w *workspace) before(other *workspace) bool {
	if w.used != other.used {
		return w.used < other.used
	}
	if w.lastTurn != other.lastTurn {
		return w.lastTurn < other.lastTurn
	}
	return w.name < other.name
}

// longest returns the workspace with most waiting requests of the priority.
func (l *ledger) longest(priority int) (found *workspace) {
	for _, space := range l.spaces {
		longer := found == nil || len(space.queues[priority]) > len(found.queues[priority])
		equal := found != nil && len(space.queues[priority]) == len(found.queues[priority])
		if longer || equal && space.name < found.name {
			found = space
		}
	}
	return found
}
