package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/comfreyrail/comfreyrail/rail/stop"
)

// stepInterval is the time between the steps of a stop.
const stepInterval = 20 * time.Millisecond

// Config configures a Server.
type Config struct {
	// Listen is the host and port to listen on.
	Listen string
	// NewHTTPServer returns a new server with the limits; its Handler, ConnState and ConnContext are set by the Server.
	NewHTTPServer func() *http.Server
	// Handler answers requests.
	Handler http.Handler
	// Refuse answers a request that must not run because the instance stops.
	Refuse http.HandlerFunc
	// CloseResponse is the whole answer that ends an idle connection.
	CloseResponse []byte
	// Stop configures the stop.
	Stop stop.Config
	// SetUnready tells the balancer that the instance is not ready; nil does nothing.
	SetUnready func(ctx context.Context)
	// ReleaseLease gives up the lease once no request is in progress; nil does nothing.
	ReleaseLease func(ctx context.Context)
	// Log receives the log.
	Log *logrus.Entry
}

// Server serves HTTP until it is stopped.
type Server struct {
	config  Config
	asked   chan struct{}
	stopped chan struct{}

	mu      sync.Mutex
	machine *stop.Machine
	conns   map[uint64]*conn
	last    uint64
	cut     []stop.Request
}

// New returns a Server.
func New(config Config) *Server {
	if config.SetUnready == nil {
		config.SetUnready = func(context.Context) {}
	}
	if config.ReleaseLease == nil {
		config.ReleaseLease = func(context.Context) {}
	}
	return &Server{
		config: config, machine: stop.New(config.Stop), conns: make(map[uint64]*conn),
		asked: make(chan struct{}, 1), stopped: make(chan struct{}),
	}
}

// Stop asks for the stop; asked again, it cuts what is left.
func (s *Server) Stop() {
	s.mu.Lock()
	s.machine.RequestStop(time.Now())
	s.mu.Unlock()
	select {
	case s.asked <- struct{}{}:
	default:
	}
}

// Stopped returns a channel that closes at the end of the stop.
func (s *Server) Stopped() <-chan struct{} { return s.stopped }

// CutRequests returns the requests that the stop cut; it is complete once Stopped is closed.
func (s *Server) CutRequests() []stop.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

// Stopping reports whether the stop has been asked for.
func (s *Server) Stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Stopping()
}

// State is what a dump shows of a Server.
type State struct {
	// Stopping tells that the stop has been asked for.
	Stopping bool `json:"stopping"`
	// Connections is the number of open connections.
	Connections int `json:"connections"`
	// Requests lists the requests in progress, the oldest first.
	Requests []stop.Request `json:"requests"`
}

// State returns the present state.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Stopping: s.machine.Stopping(), Connections: s.machine.Connections(), Requests: s.machine.Requests()}
}

// Serve listens until the stop has ended, or until the context ends, which cuts every request.
func (s *Server) Serve(ctx context.Context) (err error) {
	bound, err := new(net.ListenConfig).Listen(ctx, "tcp", s.config.Listen)
	if err != nil {
		return errors.Annotate(err, "listen for callers")
	}
	accepting := &listener{TCPListener: bound.(*net.TCPListener), server: s}
	server := s.config.NewHTTPServer()
	server.Handler, server.ConnState = s, s.state
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey, c) }
	defer func() { _ = server.Close() }()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(accepting) }()
	return s.run(ctx, accepting, failed)
}

// run carries out the stop.
func (s *Server) run(ctx context.Context, accepting *listener, failed <-chan error) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	if !s.Stopping() {
		ticker.Stop()
	}
	for {
		select {
		case <-s.asked:
			ticker.Reset(stepInterval)
		case <-ticker.C:
		case err := <-failed:
			if !accepting.closing.Load() {
				return err
			}
			_ = accepting.Close()
			s.locked(s.machine.ListenerClosed)
			failed = nil
		case <-ctx.Done():
			return ctx.Err()
		}
		if s.step(ctx, accepting) {
			return suture.ErrDoNotRestart
		}
	}
}

func (s *Server) locked(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// step carries out what is due and reports whether the stop has ended.
func (s *Server) step(ctx context.Context, accepting *listener) (ended bool) {
	for _, action := range s.due() {
		switch action.Kind {
		case stop.SetUnready:
			s.config.Log.Info("stopping: not ready, answers ask callers to close their connections")
			s.config.SetUnready(ctx)
		case stop.EndConnection:
		case stop.CloseListener:
			s.config.Log.Info("stopping: closing the listener")
			accepting.finish()
		case stop.ReleaseLease:
			s.config.ReleaseLease(ctx)
		case stop.Exit:
			s.exit(action.Cut)
			return true
		}
	}
	return false
}

// exit tells what the stop cut.
func (s *Server) exit(cut []stop.Request) {
	for _, request := range cut {
		s.config.Log.WithFields(logrus.Fields{"request": request.ID, "since": request.Since}).Error("stopping: request was cut")
	}
	s.config.Log.WithField("cut", len(cut)).Info("stopped")
	s.locked(func() { s.cut = cut })
	close(s.stopped)
}

// due returns the actions that are due and ends idle connections.
func (s *Server) due() []stop.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions := s.machine.Step(time.Now())
	for _, action := range actions {
		if c := s.conns[action.Connection]; action.Kind == stop.EndConnection && c != nil {
			c.over.Store(true)
			go c.end(s.config.CloseResponse)
		}
	}
	return actions
}

// opened takes a new connection.
func (s *Server) opened(accepted *net.TCPConn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	c := &conn{TCPConn: accepted, id: s.last, server: s}
	s.conns[c.id] = c
	s.machine.Open(c.id, time.Now())
	return c
}

// arrive takes bytes of a request and reports whether they may be read.
func (s *Server) arrive(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.StartRead(id, time.Now())
}

// begin takes a request that has been read.
func (s *Server) begin(id uint64, request string) stop.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Decide(id, request)
}

// state hears from net/http how a connection goes on.
func (s *Server) state(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*conn)
	if !ok || state != http.StateIdle {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.SetIdle(c.id, time.Now())
	if c.ahead.Swap(false) {
		s.machine.StartRead(c.id, time.Now())
	}
}

// closed takes the end of a connection.
func (s *Server) closed(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, id)
	s.machine.Close(id)
}
