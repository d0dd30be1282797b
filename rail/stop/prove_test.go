package stop

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/proptest"
)

// Times of the simulated instance.
const (
	step        = 5 * time.Millisecond
	lag         = 2 * time.Second
	idleTime    = time.Second
	limit       = time.Minute
	maxDelay    = 50 * time.Millisecond
	longRequest = 20 * time.Second
)

// caller is one caller with one keep-alive connection at a time.
type caller struct {
	connection uint64
	open       bool
	// waiting tells that a request has been sent and its end is not known.
	waiting bool
	// running tells that the instance serves the request.
	running bool
	next    time.Time
}

// world is an instance and its callers.
type world struct {
	rt      *rapid.T
	tally   *proptest.Tally
	random  *rand.Rand
	now     time.Time
	machine *Machine
	checker *invariant.Checker
	callers []*caller
	pending map[time.Time][]func()
	// ended holds the connections that the instance has ended.
	ended       map[uint64]bool
	connections uint64
	asked       time.Time
	closing     bool
	exited      bool
	done        int
	notRun      int
}

func newWorld(rt *rapid.T, tally *proptest.Tally) *world {
	checker := new(invariant.Checker)
	w := &world{
		rt: rt, tally: tally, now: time.Unix(0, 0), checker: checker,
		random:  rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)),
		machine: New(Config{BalancerLag: lag, IdleTimeout: idleTime, Timeout: limit, Checker: checker}),
		pending: make(map[time.Time][]func()), ended: make(map[uint64]bool),
	}
	for range rapid.IntRange(1, 20).Draw(rt, "callers") {
		w.callers = append(w.callers, &caller{next: w.now.Add(w.between(0, time.Second))})
	}
	return w
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

// after runs the action at the first step after the delay.
func (w *world) after(delay time.Duration, action func()) {
	at := w.now.Add(delay.Truncate(step) + step)
	w.pending[at] = append(w.pending[at], action)
}

// tick advances the clock by one step.
func (w *world) tick() {
	w.now = w.now.Add(step)
	actions := w.pending[w.now]
	delete(w.pending, w.now)
	for _, action := range actions {
		action()
	}
	for _, c := range w.callers {
		if !c.waiting && !w.now.Before(c.next) {
			w.send(c)
		}
	}
	for _, action := range w.machine.Step(w.now) {
		w.do(action)
	}
}

// do carries out an action of the instance.
func (w *world) do(action Action) {
	switch action.Kind {
	case EndConnection:
		w.tally.CountFault("ended")
		w.ended[action.Connection] = true
		w.after(w.between(0, maxDelay), func() { w.heardEnd(action.Connection) })
		w.after(2*maxDelay+step, func() { w.machine.Close(action.Connection) })
	case CloseListener:
		w.closing = true
		w.after(step, w.machine.ListenerClosed)
	case Exit:
		w.exit(action)
	default:
	}
}

func (w *world) exit(action Action) {
	w.exited = true
	if took := w.now.Sub(w.asked); took >= limit {
		w.tally.Failf(w.rt, "exits only at the limit, %s after the request to stop", took)
	}
	for _, c := range w.callers {
		if c.running {
			w.tally.Failf(w.rt, "exits %s after the request to stop while a request runs (%d cut)", w.now.Sub(w.asked), len(action.Cut))
		}
	}
}

// heardEnd is the arrival of the answer that ends a connection: it answers a request that was on its way.
func (w *world) heardEnd(connection uint64) {
	for _, c := range w.callers {
		if !c.open || c.connection != connection {
			continue
		}
		c.open = false
		if c.waiting {
			w.tally.CountFault("raced")
			w.answered(c, false)
		}
	}
}

// answered tells the caller how its request ended.
func (w *world) answered(c *caller, done bool) {
	if !c.waiting {
		w.tally.Failf(w.rt, "a request was answered twice")
	}
	c.waiting = false
	c.next = w.now.Add(w.between(0, 3*time.Second))
	if w.chance(0.05) {
		w.tally.CountFault("quiet")
		c.next = w.now.Add(time.Hour)
	}
	if done {
		w.done++
	} else {
		w.notRun++
	}
}

// send lets a caller send a request, on its connection or on a new one.
func (w *world) send(c *caller) {
	w.tally.Operations++
	if c.open && w.chance(0.1) {
		c.open = false
		closed := c.connection
		w.after(w.between(0, maxDelay), func() { w.machine.Close(closed) })
	}
	if !c.open && !w.connect(c) {
		return
	}
	c.waiting = true
	connection := c.connection
	w.after(w.between(0, maxDelay), func() { w.arrive(c, connection) })
}

// connect opens a connection as the balancer does, rarely also after its lag.
func (w *world) connect(c *caller) bool {
	late := !w.asked.IsZero() && w.now.Sub(w.asked) >= lag
	if late && !w.chance(0.05) {
		c.next = w.now.Add(time.Second)
		return false
	}
	if late {
		w.tally.CountFault("late")
	}
	if w.closing {
		if !late {
			w.tally.Failf(w.rt, "the listener is closed within the balancer's lag")
		}
		c.next = w.now.Add(time.Second)
		return false
	}
	w.connections++
	c.connection, c.open = w.connections, true
	w.machine.Open(c.connection, w.now)
	return true
}

// arrive is the arrival of a request at the instance.
func (w *world) arrive(c *caller, connection uint64) {
	if !w.machine.StartRead(connection, w.now) {
		if !w.ended[connection] {
			w.tally.Failf(w.rt, "a request on an open connection is not read")
		}
		return
	}
	if w.exited {
		w.tally.Failf(w.rt, "a request arrives after the exit")
	}
	admission := w.machine.Decide(connection, "request")
	if admission.Refuse {
		w.finish(c, connection, false, admission.Close)
		return
	}
	c.running = true
	length := w.between(0, time.Second)
	if w.chance(0.1) {
		w.tally.CountFault("long")
		length = w.between(0, longRequest)
	}
	headers := w.chance(0.5)
	w.after(length, func() {
		c.running = false
		asksClose := admission.Close || !headers && w.machine.Stopping()
		w.finish(c, connection, true, asksClose)
	})
}

// finish sends the end of an answer.
func (w *world) finish(c *caller, connection uint64, done, asksClose bool) {
	if asksClose {
		w.machine.Close(connection)
	} else {
		w.machine.SetIdle(connection, w.now)
	}
	w.after(w.between(0, maxDelay), func() {
		c.open = c.open && !asksClose
		w.answered(c, done)
	})
}

func TestProveStop(t *testing.T) {
	proptest.Run(t, "stop", func(rt *rapid.T, tally *proptest.Tally) {
		w := newWorld(rt, tally)
		for end := w.now.Add(w.between(0, 5*time.Second)); w.now.Before(end); {
			w.tick()
		}
		w.asked = w.now
		w.machine.RequestStop(w.now)
		for !w.exited {
			w.tick()
			if w.now.Sub(w.asked) > limit {
				tally.Failf(rt, "still running %s after the request to stop", limit)
			}
		}
		for range 2 * (maxDelay / step) {
			w.now = w.now.Add(step)
			for _, action := range w.pending[w.now] {
				action()
			}
		}
		for _, c := range w.callers {
			if c.waiting {
				tally.Failf(rt, "a request has no answer after the exit")
			}
		}
		if got := w.checker.Violations(); got > 0 {
			tally.Failf(rt, "%d invariants did not hold", got)
		}
	})
}
