package stop

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
)

// closeTime is the time before Config.Timeout from which idle connections are ended at once, so that callers learn of it before the exit.
const closeTime = 500 * time.Millisecond

// Config configures a Machine.
type Config struct {
	// BalancerLag is the maximum time for which the load balancer still opens connections to an instance that is not
	// ready.
	BalancerLag time.Duration
	// IdleTimeout is the time after which an idle connection is ended during the shutdown; shortly before the Timeout it is zero.
	IdleTimeout time.Duration
	// Timeout is the time from the start of the shutdown after which the requests in progress are aborted.
	Timeout time.Duration
	// Checker counts violated invariants; nil selects a new Checker.
	Checker *invariant.Checker
}

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// SetUnready reports to the load balancer and the peers that the instance is not ready.
	SetUnready ActionKind = iota
	// EndConnection ends an idle connection, once Machine.End allows it, with a response that reports that no request ran.
	EndConnection
	// CloseListener accepts the connections that wait at the listener and then closes it.
	CloseListener
	// ReleaseLease releases the lease of the instance.
	ReleaseLease
	// Exit ends the process.
	Exit
)

// Action is an action of the shutdown, which the code that calls Machine.Step carries out.
type Action struct {
	// Kind is the kind of the action.
	Kind ActionKind
	// Connection is the connection to end if Kind is EndConnection.
	Connection uint64
	// Ended reports whether Connection is ended without a call of Machine.End, because the process exits.
	Ended bool
	// Aborted lists the requests that are aborted if Kind is Exit.
	Aborted []Request
}

// Request identifies a request in progress.
type Request struct {
	// ID identifies the request; it is empty while the request is being read.
	ID string `json:"id"`
	// Since is the time at which the first byte of the request arrived.
	Since time.Time `json:"since"`
}

// Decision tells how to treat a request that has been read.
type Decision struct {
	// Refuse reports whether the request must be refused without running.
	Refuse bool
	// Close reports whether the response must carry the header "Connection: close".
	Close bool
}

// phase is the state of a connection.
type phase uint8

const (
	// idle is the phase of a connection on which no request is in progress.
	idle phase = iota
	// busy is the phase of a connection on which a request is arriving or in progress.
	busy
	// ending is the phase of an idle connection for which Step has returned EndConnection.
	ending
	// ended is the phase of a connection that has been ended, from which no request is read any more.
	ended
)

// connection is one connection of a caller.
type connection struct {
	phase phase
	// since is the time at which the connection became idle or the first byte of its request arrived.
	since time.Time
	// openedLate reports whether the connection was opened after the load balancer's lag.
	openedLate bool
	// request is the ID of the request in progress; it is empty while the request is being read.
	request string
	// decided reports whether Decide has been called for the request in progress.
	decided bool
}

// Machine is the state machine of the graceful shutdown of one instance; it is not safe for concurrent use.
type Machine struct {
	config      Config
	connections map[uint64]*connection
	// stopRequestedAt is the time of the first stop signal; it is zero before that.
	stopRequestedAt time.Time
	unreadySet      bool
	listenerClosing bool
	listenerClosed  bool
	forced          bool
	exited          bool
}

// New returns a Machine of an instance that serves requests.
func New(config Config) *Machine {
	if config.Checker == nil {
		config.Checker = new(invariant.Checker)
	}
	return &Machine{config: config, connections: make(map[uint64]*connection)}
}

// RequestStop records a stop signal. The first one starts the shutdown; a second one makes the next Step abort the
// requests in progress.
func (m *Machine) RequestStop(now time.Time) {
	if m.stopRequestedAt.IsZero() {
		m.stopRequestedAt = now
		return
	}
	m.forced = true
}

// Stopping reports whether the shutdown has started, so that responses must carry the header "Connection: close".
func (m *Machine) Stopping() bool { return !m.stopRequestedAt.IsZero() }

// balancerLagOver reports whether BalancerLag has passed since the first stop signal.
func (m *Machine) balancerLagOver(now time.Time) bool {
	return m.Stopping() && now.Sub(m.stopRequestedAt) >= m.config.BalancerLag
}

// Open records a new connection.
func (m *Machine) Open(id uint64, now time.Time) {
	m.connections[id] = &connection{since: now, openedLate: m.balancerLagOver(now)}
}

// StartRead records the first byte of a request and reports whether the request may be read.
func (m *Machine) StartRead(id uint64, now time.Time) bool {
	c := m.connections[id]
	if c == nil || c.phase == ended {
		return false
	}
	if c.phase != busy {
		c.phase, c.since, c.request, c.decided = busy, now, "", false
	}
	return true
}

// End records that a connection is ended, unless a request on it has been decided on, and reports whether it is. Before the call, the
// code that calls Machine must have found that no bytes are waiting on the connection; no request is read from it afterwards.
func (m *Machine) End(id uint64) bool {
	c := m.connections[id]
	if c == nil || c.phase == ended || c.phase == busy && c.decided {
		return false
	}
	c.phase = ended
	return true
}

// Decide records a request that has been read and returns how to treat it.
func (m *Machine) Decide(id uint64, request string) Decision {
	c := m.connections[id]
	arrived := c != nil && c.phase == busy
	if m.config.Checker.Check(arrived, "stop.begin", "request %s on a connection that is ended, closed or idle", request) != nil {
		return Decision{Refuse: true, Close: true}
	}
	c.request, c.decided = request, true
	return Decision{Refuse: c.openedLate, Close: m.Stopping()}
}

// SetIdle records the end of a response after which the connection stays open.
func (m *Machine) SetIdle(id uint64, now time.Time) {
	if c := m.connections[id]; c != nil && c.phase == busy {
		c.phase, c.since, c.request = idle, now, ""
	}
}

// Close records that a connection is closed.
func (m *Machine) Close(id uint64) { delete(m.connections, id) }

// ListenerClosed records that the listener is closed, so that no further connection is opened.
func (m *Machine) ListenerClosed() { m.listenerClosed = true }

// Requests returns the requests in progress in the order of their start.
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

// Step returns the actions that are due at now; it returns none before the first stop signal or after Exit.
func (m *Machine) Step(now time.Time) []Action {
	if !m.Stopping() || m.exited {
		return nil
	}
	var actions []Action
	if !m.unreadySet {
		m.unreadySet = true
		actions = append(actions, Action{Kind: SetUnready})
	}
	if m.forced || now.Sub(m.stopRequestedAt) >= m.config.Timeout {
		m.exited = true
		actions = append(actions, m.endAll()...)
		return append(actions, Action{Kind: ReleaseLease}, Action{Kind: Exit, Aborted: m.Requests()})
	}
	if !m.balancerLagOver(now) {
		return actions
	}
	actions = append(actions, m.endIdle(now, m.idleTimeout(now))...)
	if !m.listenerClosing && now.Sub(m.stopRequestedAt) >= m.config.BalancerLag+m.config.IdleTimeout {
		m.listenerClosing = true
		actions = append(actions, Action{Kind: CloseListener})
	}
	if m.listenerClosed && len(m.connections) == 0 {
		m.exited = true
		actions = append(actions, Action{Kind: ReleaseLease}, Action{Kind: Exit})
	}
	return actions
}

// idleTimeout returns the time after which an idle connection is ended: IdleTimeout, or zero from closeTime before the timeout.
func (m *Machine) idleTimeout(now time.Time) time.Duration {
	if now.Sub(m.stopRequestedAt) >= m.config.Timeout-closeTime {
		return 0
	}
	return m.config.IdleTimeout
}

// endAll ends all connections on which no request is in progress and returns the actions for it.
func (m *Machine) endAll() []Action {
	var actions []Action
	for id, c := range m.connections {
		if c.phase == idle || c.phase == ending {
			c.phase = ended
			actions = append(actions, Action{Kind: EndConnection, Connection: id, Ended: true})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int { return cmp.Compare(a.Connection, b.Connection) })
	return actions
}

// endIdle returns actions that end the connections that have been idle for the timeout.
func (m *Machine) endIdle(now time.Time, timeout time.Duration) []Action {
	var actions []Action
	for id, c := range m.connections {
		if c.phase == idle && now.Sub(c.since) >= timeout {
			c.phase = ending
			actions = append(actions, Action{Kind: EndConnection, Connection: id})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int { return cmp.Compare(a.Connection, b.Connection) })
	return actions
}
