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
	balancerLag = 2 * time.Second
	idleTimeout = time.Second
	stopTimeout = time.Minute
	maxDelay    = 50 * time.Millisecond
	longRequest = 20 * time.Second
	// shortTimeout is a stop timeout that long requests exceed.
	shortTimeout = 6 * time.Second
)

// caller simulates a caller that has at most one keep-alive connection at a time.
type caller struct {
	connection uint64
	open       bool
	// waiting reports whether a request has been sent that has no response yet.
	waiting bool
	// running reports whether the instance is running the request.
	running       bool
	nextRequestAt time.Time
}

// simulation simulates an instance and its callers in virtual time.
type simulation struct {
	rt      *rapid.T
	tally   *proptest.Tally
	rng     *rand.Rand
	now     time.Time
	machine *Machine
	checker *invariant.Checker
	callers []*caller
	pending map[time.Time][]func()
	// ended holds the connections that the instance has ended.
	ended map[uint64]bool
	// arrivals holds the time at which the last response on a connection arrives.
	arrivals        map[uint64]time.Time
	connections     uint64
	stopRequestedAt time.Time
	timeout         time.Duration
	listenerClosing bool
	exited          bool
	completed       int
	notRun          int
}

func newSimulation(rt *rapid.T, tally *proptest.Tally, timeout time.Duration) *simulation {
	checker := new(invariant.Checker)
	s := &simulation{
		rt: rt, tally: tally, now: time.Unix(0, 0), checker: checker, timeout: timeout,
		rng:     rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)),
		machine: New(Config{BalancerLag: balancerLag, IdleTimeout: idleTimeout, Timeout: timeout, Checker: checker}),
		pending: make(map[time.Time][]func()), ended: make(map[uint64]bool), arrivals: make(map[uint64]time.Time),
	}
	for range rapid.IntRange(1, 20).Draw(rt, "callers") {
		s.callers = append(s.callers, &caller{nextRequestAt: s.now.Add(s.between(0, time.Second))})
	}
	return s
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)+1))
}

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

// after runs the action at the first step after the delay.
func (s *simulation) after(delay time.Duration, action func()) {
	at := s.now.Add(delay.Truncate(step) + step)
	s.pending[at] = append(s.pending[at], action)
}

// respond runs the action when a response on the connection arrives, which is not before the response sent before it.
func (s *simulation) respond(connection uint64, action func()) {
	at := s.now.Add(s.between(0, maxDelay).Truncate(step) + step)
	if last := s.arrivals[connection]; at.Before(last) {
		at = last
	}
	s.arrivals[connection] = at
	s.pending[at] = append(s.pending[at], action)
}

// tick advances the virtual time by one step.
func (s *simulation) tick() {
	s.now = s.now.Add(step)
	actions := s.pending[s.now]
	delete(s.pending, s.now)
	for _, action := range actions {
		action()
	}
	for _, c := range s.callers {
		if !c.waiting && !s.now.Before(c.nextRequestAt) {
			s.send(c)
		}
	}
	for _, action := range s.machine.Step(s.now) {
		s.perform(action)
	}
}

// perform carries out an action of the instance.
func (s *simulation) perform(action Action) {
	switch action.Kind {
	case EndConnection:
		if action.Ended {
			s.respondEnd(action.Connection)
			return
		}
		s.after(s.between(0, maxDelay), func() { s.end(action.Connection) })
	case CloseListener:
		s.listenerClosing = true
		s.after(step, s.machine.ListenerClosed)
	case Exit:
		s.exit(action)
	default:
	}
}

// end ends an idle connection some time after the machine has asked for it; a request that has arrived in the meantime is served.
func (s *simulation) end(connection uint64) {
	if !s.machine.End(connection) {
		s.tally.Count("arrived first")
		return
	}
	s.respondEnd(connection)
}

// respondEnd sends the response that ends a connection, on which no request is read any more.
func (s *simulation) respondEnd(connection uint64) {
	s.tally.Count("ended")
	s.ended[connection] = true
	s.respond(connection, func() { s.endArrived(connection) })
	s.after(2*maxDelay+step, func() { s.machine.Close(connection) })
}

func (s *simulation) exit(action Action) {
	s.exited = true
	if s.timeout == shortTimeout {
		s.abort(action)
		return
	}
	if took := s.now.Sub(s.stopRequestedAt); took >= stopTimeout {
		s.tally.Failf(s.rt, "exits only at the timeout, %s after the request to stop", took)
	}
	for _, c := range s.callers {
		if c.running {
			s.tally.Failf(s.rt, "exits %s after the request to stop while a request runs (%d cut)", s.now.Sub(s.stopRequestedAt), len(action.Aborted))
		}
	}
}

// abort ends the requests that run at the exit, which must be those that the action lists.
func (s *simulation) abort(action Action) {
	running := 0
	for _, c := range s.callers {
		if c.running {
			s.tally.Count("aborted")
			running++
			c.running, c.waiting = false, false
		}
	}
	if got := len(action.Aborted); got != running {
		s.tally.Failf(s.rt, "the exit lists %d aborted requests, %d ran", got, running)
	}
}

// endArrived handles the arrival of the response that ends a connection; it is the response to a request in flight.
func (s *simulation) endArrived(connection uint64) {
	for _, c := range s.callers {
		if !c.open || c.connection != connection {
			continue
		}
		c.open = false
		if c.waiting {
			s.tally.Count("raced")
			s.complete(c, false)
		}
	}
}

// complete ends the caller's request and schedules its next one; ran reports whether the request ran.
func (s *simulation) complete(c *caller, ran bool) {
	if !c.waiting {
		s.tally.Failf(s.rt, "a request got two responses")
	}
	c.waiting = false
	c.nextRequestAt = s.now.Add(s.between(0, 3*time.Second))
	if s.chance(0.05) {
		s.tally.Count("quiet")
		c.nextRequestAt = s.now.Add(time.Hour)
	}
	if ran {
		s.completed++
	} else {
		s.notRun++
	}
}

// send sends a request of a caller on its connection or on a new one; sometimes it closes the old connection first.
func (s *simulation) send(c *caller) {
	s.tally.Operations++
	if c.open && s.chance(0.1) {
		c.open = false
		closed := c.connection
		s.after(s.between(0, maxDelay), func() { s.machine.Close(closed) })
	}
	if !c.open && !s.connect(c) {
		return
	}
	c.waiting = true
	connection := c.connection
	s.after(s.between(0, maxDelay), func() { s.requestArrived(c, connection) })
}

// connect opens a connection through the load balancer, after its lag only rarely, and reports whether it did.
func (s *simulation) connect(c *caller) bool {
	late := !s.stopRequestedAt.IsZero() && s.now.Sub(s.stopRequestedAt) >= balancerLag
	if late && !s.chance(0.05) {
		c.nextRequestAt = s.now.Add(time.Second)
		return false
	}
	if late {
		s.tally.Count("late")
	}
	if s.listenerClosing {
		if !late {
			s.tally.Failf(s.rt, "the listener is closed within the load balancer's lag")
		}
		c.nextRequestAt = s.now.Add(time.Second)
		return false
	}
	s.connections++
	c.connection, c.open = s.connections, true
	s.machine.Open(c.connection, s.now)
	return true
}

// requestArrived handles the arrival of a request at the instance.
func (s *simulation) requestArrived(c *caller, connection uint64) {
	if !s.machine.StartRead(connection, s.now) {
		if !s.ended[connection] {
			s.tally.Failf(s.rt, "a request on an open connection is not read")
		}
		return
	}
	if s.exited {
		s.tally.Failf(s.rt, "a request arrives after the exit")
	}
	decision := s.machine.Decide(connection, "request")
	if decision.Refuse {
		s.finish(c, connection, false, decision.Close)
		return
	}
	c.running = true
	duration := s.between(0, time.Second)
	if s.chance(0.1) {
		s.tally.Count("long")
		duration = s.between(0, longRequest)
	}
	headersSent := s.chance(0.5)
	s.after(duration, func() {
		if !c.running {
			return // aborted
		}
		c.running = false
		closeConnection := decision.Close || !headersSent && s.machine.Stopping()
		s.finish(c, connection, true, closeConnection)
	})
}

// finish sends the end of a response and closes the connection if closeConnection is set.
func (s *simulation) finish(c *caller, connection uint64, ran, closeConnection bool) {
	if closeConnection {
		s.machine.Close(connection)
	} else {
		s.machine.SetIdle(connection, s.now)
	}
	s.respond(connection, func() {
		c.open = c.open && !closeConnection
		s.complete(c, ran)
	})
}

// stop lets the instance serve for a while, stops it, and checks that all callers have a response but those whose requests it aborts.
func (s *simulation) stop() {
	for end := s.now.Add(s.between(0, 5*time.Second)); s.now.Before(end); {
		s.tick()
	}
	s.stopRequestedAt = s.now
	s.machine.RequestStop(s.now)
	for !s.exited {
		s.tick()
		if s.now.Sub(s.stopRequestedAt) > s.timeout {
			s.tally.Failf(s.rt, "still running %s after the request to stop", s.timeout)
		}
	}
	for range 2 * (maxDelay / step) {
		s.now = s.now.Add(step)
		for _, action := range s.pending[s.now] {
			action()
		}
	}
	for _, c := range s.callers {
		if c.waiting {
			s.tally.Failf(s.rt, "a request has no response after the exit")
		}
	}
	if got := s.checker.Violations(); got > 0 {
		s.tally.Failf(s.rt, "%d invariants were violated", got)
	}
}

// TestProveStop checks that an instance stops before the timeout, that no request is aborted and that each request gets
// exactly one response, even if it races with the end of its connection.
func TestProveStop(t *testing.T) {
	proptest.Run(t, "stop", func(rt *rapid.T, tally *proptest.Tally) {
		newSimulation(rt, tally, stopTimeout).stop()
	})
}

// Guards against requests on idle connections that get no response because the instance exits at its stop timeout.
func TestProveStopAtTimeout(t *testing.T) {
	proptest.Run(t, "stop at timeout", func(rt *rapid.T, tally *proptest.Tally) {
		newSimulation(rt, tally, shortTimeout).stop()
	})
}
