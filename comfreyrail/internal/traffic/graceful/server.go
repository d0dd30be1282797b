package graceful

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/comfreyrail/comfreyrail/rail/stop"
)

// stepInterval is the time between two steps of the graceful shutdown.
const stepInterval = 20 * time.Millisecond

// Config configures a Server.
type Config struct {
	// Listen is the host and port to listen on.
	Listen string
	// NewHTTPServer returns a new http.Server with its limits and timeouts.
	// The Server sets the Handler, ConnState and ConnContext.
	NewHTTPServer func() *http.Server
	// IdleTimeout returns how long a connection may be idle between two requests; it may change. If it is nil, the IdleTimeout of
	// the http.Server applies; if it is not, that one must not be zero.
	IdleTimeout func() time.Duration
	// Handler serves requests.
	Handler http.Handler
	// Refuse responds to a request that must not run because the instance is stopping.
	Refuse http.HandlerFunc
	// Panicked responds to a request whose handler panicked before the response began; nil closes the connection.
	Panicked http.HandlerFunc
	// CloseResponse is the complete HTTP response with which the graceful shutdown ends an idle connection.
	CloseResponse []byte
	// TimeoutResponse is the complete HTTP response that ends a connection on which no whole request arrived in time.
	TimeoutResponse []byte
	// Stop configures the graceful shutdown.
	Stop stop.Config
	// SetUnready reports to the load balancer that the instance is not ready; nil does nothing.
	SetUnready func(ctx context.Context)
	// ReleaseLease releases the lease at the end of the graceful shutdown, before the requests that are left are aborted;
	// nil does nothing.
	ReleaseLease func(ctx context.Context)
	// RequestID returns the ID of a request for the log; nil uses random IDs.
	RequestID func(r *http.Request) string
	// Metrics holds counters of the ends of connections; nil selects a new registry.
	Metrics metrics.Registry
	// Log receives lines about the graceful shutdown, with an error for each request that was aborted, and an error for each panic
	// of a handler.
	Log *logrus.Entry
}

// Server is an HTTP server with a graceful shutdown.
type Server struct {
	config        Config
	stopRequested chan struct{}
	stopped       chan struct{}

	mu sync.Mutex
	// headerTimeout is that of the http.Server.
	headerTimeout time.Duration
	machine       *stop.Machine
	conns         map[uint64]*conn
	lastConnID    uint64
	aborted       []stop.Request
	dropped       int // number of connections on which bytes arrived after the graceful shutdown had ended them
}

// New returns a Server that listens once Serve is called.
func New(config Config) *Server {
	if config.SetUnready == nil {
		config.SetUnready = func(context.Context) {}
	}
	if config.ReleaseLease == nil {
		config.ReleaseLease = func(context.Context) {}
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	if config.RequestID == nil {
		config.RequestID = func(*http.Request) string { return rand.Text() }
	}
	return &Server{
		config: config, machine: stop.New(config.Stop), conns: make(map[uint64]*conn),
		stopRequested: make(chan struct{}, 1), stopped: make(chan struct{}),
	}
}

// Stop starts the graceful shutdown; a second call aborts the requests that are left.
func (s *Server) Stop() {
	s.mu.Lock()
	s.machine.RequestStop(time.Now())
	s.mu.Unlock()
	select {
	case s.stopRequested <- struct{}{}:
	default:
	}
}

// Stopped returns a channel that is closed at the end of the graceful shutdown.
func (s *Server) Stopped() <-chan struct{} { return s.stopped }

// AbortedRequests returns the requests that were aborted; the list is complete once the channel of Stopped is closed.
func (s *Server) AbortedRequests() []stop.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.aborted
}

// Stopping reports whether Stop has been called.
func (s *Server) Stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Stopping()
}

// State is the part of a state dump that describes a Server.
type State struct {
	// Stopping is true once Stop has been called.
	Stopping bool `json:"stopping"`
	// Connections is the number of open connections.
	Connections int `json:"connections"`
	// Requests holds the requests in progress, the oldest first.
	Requests []stop.Request `json:"requests"`
}

// State returns the current state, for a state dump.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Stopping: s.machine.Stopping(), Connections: s.machine.Connections(), Requests: s.machine.Requests()}
}

// Serve listens until the graceful shutdown has ended, or until the context ends, which aborts every request.
//
// It returns suture.ErrDoNotRestart after the shutdown, and otherwise the error of the context or the listener.
func (s *Server) Serve(ctx context.Context) (err error) {
	netListener, err := new(net.ListenConfig).Listen(ctx, "tcp", s.config.Listen)
	if err != nil {
		return errors.Annotate(err, "listen for callers")
	}
	accepting := &listener{TCPListener: netListener.(*net.TCPListener), server: s}
	server := s.config.NewHTTPServer()
	s.withLock(func() { s.headerTimeout = server.ReadHeaderTimeout })
	server.Handler, server.ConnState = s, s.handleConnState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey, c) }
	defer func() { _ = server.Close() }()
	serveEnded := make(chan error, 1)
	go func() { serveEnded <- server.Serve(accepting) }()
	return s.run(ctx, accepting, serveEnded)
}

// run waits for the graceful shutdown and carries out its steps.
func (s *Server) run(ctx context.Context, accepting *listener, serveEnded <-chan error) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	if !s.Stopping() {
		ticker.Stop()
	}
	for {
		select {
		case <-s.stopRequested:
			ticker.Reset(stepInterval)
		case <-ticker.C:
		case err := <-serveEnded:
			if !accepting.closing.Load() {
				return err
			}
			_ = accepting.Close()
			s.withLock(s.machine.ListenerClosed)
			serveEnded = nil
		case <-ctx.Done():
			return ctx.Err()
		}
		if s.step(ctx, accepting) {
			return suture.ErrDoNotRestart
		}
	}
}

// withLock calls change with the lock held.
func (s *Server) withLock(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// step carries out the actions that are due and reports whether the graceful shutdown has ended.
func (s *Server) step(ctx context.Context, accepting *listener) (ended bool) {
	for _, action := range s.dueActions() {
		switch action.Kind {
		case stop.SetUnready:
			s.config.Log.Info("stopping: not ready; responses carry the header Connection: close")
			s.config.SetUnready(ctx)
		case stop.EndConnection:
			s.endConnection(action)
		case stop.CloseListener:
			s.config.Log.Info("stopping: closing the listener")
			accepting.drainBacklog()
		case stop.ReleaseLease:
			s.config.ReleaseLease(ctx)
		case stop.Exit:
			s.recordExit(action.Aborted)
			return true
		}
	}
	return false
}

// recordExit logs and stores the requests that were aborted, and closes the channel of Stopped.
func (s *Server) recordExit(aborted []stop.Request) {
	for _, request := range aborted {
		s.config.Log.WithFields(logrus.Fields{"request": request.ID, "since": request.Since}).Error("stopping: request was aborted")
	}
	dropped := 0
	s.withLock(func() { s.aborted, dropped = aborted, s.dropped })
	s.config.Log.WithFields(logrus.Fields{"cut": len(aborted), "dropped": dropped}).Info("stopped")
	close(s.stopped)
}

// dueActions returns the actions that are due, and starts the ends of connections that need a last look at what is waiting.
func (s *Server) dueActions() []stop.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions := s.machine.Step(time.Now())
	for _, action := range actions {
		if c := s.conns[action.Connection]; action.Kind == stop.EndConnection && !action.Ended && c != nil {
			c.startEnd()
		}
	}
	return actions
}

// endConnection sends the response that ends a connection on which nothing is read any more because the process exits.
func (s *Server) endConnection(action stop.Action) {
	s.mu.Lock()
	c := s.conns[action.Connection]
	if !action.Ended || c == nil {
		s.mu.Unlock()
		return
	}
	c.reason = endStopping
	c.ended.Store(true)
	s.mu.Unlock()
	c.sendEnd(s.config.CloseResponse)
}

// addConn registers a new connection.
func (s *Server) addConn(accepted *net.TCPConn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastConnID++
	c := &conn{TCPConn: accepted, id: s.lastConnID, server: s, headerTimeout: s.headerTimeout}
	s.conns[c.id] = c
	s.machine.Open(c.id, time.Now())
	return c
}

// endConn records that a connection is ended, and reports whether it is.
func (s *Server) endConn(c *conn, reason endReason) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.machine.End(c.id) {
		return false
	}
	c.reason = reason
	c.ended.Store(true)
	return true
}

// startRead records that bytes of a request arrived on the connection, and reports whether they may be read.
func (s *Server) startRead(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.StartRead(id, time.Now())
}

// startRequest records a request whose headers have been read, and returns the decision on it.
func (s *Server) startRequest(connID uint64, requestID string) stop.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Decide(connID, requestID)
}

// recordDropped counts a connection on which n bytes arrived after it had been ended, and logs n. It does nothing if n is zero.
func (s *Server) recordDropped(reason endReason, n int64) {
	if n == 0 {
		return
	}
	s.count("connections.dropped")
	if reason == endStopping {
		s.withLock(func() { s.dropped++ })
	}
	s.config.Log.WithFields(logrus.Fields{"bytes": n, "reason": reason}).Info("dropped what arrived on a connection after its end")
}

// count adds one to a counter.
func (s *Server) count(name string) { metrics.GetOrRegisterCounter(name, s.config.Metrics).Inc(1) }

// handleConnState is the ConnState hook of the http.Server; it records that a connection is idle, or that a request has been read.
//
// If the first byte of the next request has been read already, it records the start of that request too.
func (s *Server) handleConnState(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		// The request may have arrived in the same read as the previous one. Once startRead returns, the shutdown no longer starts to end
		// the connection.
		s.startRead(c.id)
		c.startRequest()
	case http.StateIdle:
		s.setIdle(c)
	default:
	}
}

// setIdle records that a connection is idle.
func (s *Server) setIdle(c *conn) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.SetIdle(c.id, now)
	c.serving.Store(false)
	c.reading.Store(false)
	if c.readAhead.Swap(false) {
		s.machine.StartRead(c.id, now)
		c.startReadAhead()
		return
	}
	c.idleSince.Store(&now)
}

// removeConn removes a closed connection.
func (s *Server) removeConn(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, id)
	s.machine.Close(id)
}
