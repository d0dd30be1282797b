package stop

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
)

// Config configures a Machine.
type Config struct {
	// BalancerLag is the greatest time until the balancer sends no new connections to an instance that is not ready.
	BalancerLag time.Duration
	// IdleTimeout is the time for which a connection may stay idle during the stop.
	IdleTimeout time.Duration
	// Timeout is the time after which the requests that are left are cut.
	Timeout time.Duration
	// Checker counts violated invariants; nil means a Checker of its own.
	Checker *invariant.Checker
}

// ActionKind tells the kinds of actions apart.
type ActionKind uint8

const (
	// SetUnready tells the balancer and the peers that the instance is not ready.
	SetUnready ActionKind = iota
	// EndConnection ends an idle connection with an answer that says that nothing ran.
	EndConnection
	// CloseListener takes the connections that wait at the listener and closes it.
	CloseListener
	// ReleaseLease gives up the lease.
	ReleaseLease
	// Exit ends the process.
	Exit
)

// Action is something to do.
type Action struct {
	// Kind says what to do.
	Kind ActionKind
	// Connection is the connection that EndConnection ends.
	Connection uint64
	// Cut lists the requests that Exit cuts.
	Cut []Request
}

// Request is a request in progress.
type Request struct {
	// ID identifies the request; it is empty while the request is being read.
	ID string `json:"id"`
	// Since is the time at which its first byte arrived.
	Since time.Time `json:"since"`
}

// Decision says how a request is answered.
type Decision struct {
	// Refuse tells that the request must not run.
	Refuse bool
	// Close tells that the answer must ask the caller to close the connection.
	Close bool
}

// phase is the state of a connection.
type phase uint8

const (
	// idle is a connection on which no request is in progress.
	idle phase = iota
	// busy is a connection on which a request has begun to arrive or is in progress.
	busy
	// over is a connection that EndConnection has ended.
	over
)

// connection is one connection of a caller.
type connection struct {
	phase   phase
	since   time.Time
	late    bool
	request string
}

// Machine is the stop of one instance; its zero time of the request to stop means that none came.
type Machine struct {
	config      Config
	connections map[uint64]*connection
	askedAt     time.Time
	unready     bool
	closing     bool
	closed      bool
	force       bool
	exited      bool
}

// New returns a Machine of an instance that serves.
func New(config Config) *Machine {
	if config.Checker == nil {
		config.Checker = new(invariant.Checker)
	}
	return &Machine{config: config, connections: make(map[uint64]*connection)}
}

// RequestStop asks for the stop; a second time asks to cut what is left.
func (m *Machine) RequestStop(now time.Time) {
	if m.askedAt.IsZero() {
		m.askedAt = now
		return
	}
	m.force = true
}

// Stopping reports whether the stop has been asked for, so that answers ask the callers to close their connections.
func (m *Machine) Stopping() bool { return !m.askedAt.IsZero() }

// late reports whether the balancer should have stopped sending connections.
func (m *Machine) late(now time.Time) bool {
	return m.Stopping() && now.Sub(m.askedAt) >= m.config.BalancerLag
}

// Open takes a new connection.
func (m *Machine) Open(id uint64, now time.Time) {
	m.connections[id] = &connection{since: now, late: m.late(now)}
}

// StartRead takes the first byte of a request and reports whether the request may be read.
func (m *Machine) StartRead(id uint64, now time.Time) bool {
	c := m.connections[id]
	if c == nil || c.phase == over {
		return false
	}
	if c.phase == idle {
		c.phase, c.since, c.request = busy, now, ""
	}
	return true
}

// Decide takes a request that has been read and says how to answer it.
func (m *Machine) Decide(id uint64, request string) Decision {
	c := m.connections[id]
	arrived := c != nil && c.phase == busy
	if m.config.Checker.Check(arrived, "stop.begin", "request %s on a connection that has been ended", request) != nil {
		return Decision{Refuse: true, Close: true}
	}
	c.request = request
	return Decision{Refuse: c.late, Close: m.Stopping()}
}

// SetIdle takes the end of an answer after which the connection stays open.
func (m *Machine) SetIdle(id uint64, now time.Time) {
	if c := m.connections[id]; c != nil && c.phase == busy {
		c.phase, c.since, c.request = idle, now, ""
	}
}

// Close takes the end of a connection.
func (m *Machine) Close(id uint64) { delete(m.connections, id) }

// ListenerClosed tells that no connection can follow.
func (m *Machine) ListenerClosed() { m.closed = true }

// Requests returns the requests in progress, the oldest first.
func (m *Machine) Requests() []Request {
	var requests []Request
	for _, c := range m.connections {
		if c.phase == busy {
			requests = append(requests, Request{ID: c.request, Since: c.since})
		}
	}
	slices.SortFunc(requests, func(a, b Request) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.ID, b.ID))
	})
	return requests
}

// Connections returns the number of open connections.
func (m *Machine) Connections() int { return len(m.connections) }

// Step returns what is to be done now.
func (m *Machine) Step(now time.Time) []Action {
	if !m.Stopping() || m.exited {
		return nil
	}
	var actions []Action
	if !m.unready {
		m.unready = true
		actions = append(actions, Action{Kind: SetUnready})
	}
	if m.force || now.Sub(m.askedAt) >= m.config.Timeout {
		m.exited = true
		return append(actions, Action{Kind: ReleaseLease}, Action{Kind: Exit, Cut: m.Requests()})
	}
	if !m.late(now) {
		return actions
	}
	actions = append(actions, m.endIdle(now)...)
	if !m.closing && now.Sub(m.askedAt) >= m.config.BalancerLag+m.config.IdleTimeout {
		m.closing = true
		actions = append(actions, Action{Kind: CloseListener})
	}
	if m.closed && len(m.connections) == 0 {
		m.exited = true
		actions = append(actions, Action{Kind: ReleaseLease}, Action{Kind: Exit})
	}
	return actions
}

// endIdle ends the connections that have been idle for long enough.
func (m *Machine) endIdle(now time.Time) []Action {
	var actions []Action
	for id, c := range m.connections {
		if c.phase == idle && now.Sub(c.since) >= m.config.IdleTimeout {
			c.phase = over
			actions = append(actions, Action{Kind: EndConnection, Connection: id})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int { return cmp.Compare(a.Connection, b.Connection) })
	return actions
}
