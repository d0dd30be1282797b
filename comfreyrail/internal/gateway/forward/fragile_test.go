package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Times of fragile servers.
const (
	// fragileRun is how long a sound request runs, and one under which the server crashes before it does.
	fragileRun = 30 * time.Millisecond
	// fragileDownTime is the time from a crash until the server is back.
	fragileDownTime = 700 * time.Millisecond
)

// crashingBody is the body of requests under which fragile servers crash.
const crashingBody = "crash"

// fragileServers are backend servers that crash under requests with crashingBody, and are back after fragileDownTime as another
// incarnation at the same address.
type fragileServers struct {
	t     *testing.T
	store *sharedStore
	card  string                               // kind of accelerator if the servers are engines
	begin func(conn net.Conn, r *http.Request) // sends what a crashing server sends before; may be nil

	downTime time.Duration // from a crash until the server is back

	mu       sync.Mutex
	live     []*fragileServer
	arrivals []time.Time // of requests with crashingBody
	crashes  []time.Time
	started  int // incarnations
	stopped  bool
}

// fragileServer is an incarnation.
type fragileServer struct {
	fleet    *fragileServers
	id       string
	listener net.Listener

	mu      sync.Mutex
	conns   map[net.Conn]bool
	crashed bool
}

// newFragileServers starts servers.
func newFragileServers(t *testing.T, s *sharedStore, count int, card string, begin func(net.Conn, *http.Request)) *fragileServers {
	t.Helper()
	f := &fragileServers{t: t, store: s, card: card, begin: begin, downTime: fragileDownTime}
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.stopped = true
	})
	for range count {
		f.start("127.0.0.1:0")
	}
	return f
}

// start starts an incarnation at the address and lists it.
func (f *fragileServers) start(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Error(err)
		return
	}
	f.t.Cleanup(func() { _ = listener.Close() })
	f.started++
	s := &fragileServer{fleet: f, id: fmt.Sprint("incarnation", f.started), listener: listener, conns: make(map[net.Conn]bool)}
	f.live = append(f.live, s)
	go s.accept()
	entry := backend.Server{ID: s.id, Service: "app", Address: listener.Addr().String(), Slots: 8, Card: f.card}
	if f.card != "" {
		entry.Layers = backend.Range{To: 1}
	}
	f.store.list(entry)
}

// arrived counts the arrivals of requests with crashingBody after a time.
func (f *fragileServers) arrived(after time.Time) (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.arrivals {
		if at.After(after) {
			count++
		}
	}
	return count
}

// crash returns the time of the n-th crash, and false if there were fewer.
func (f *fragileServers) crash(n int) (at time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < n {
		return at, false
	}
	return f.crashes[n-1], true
}

func (s *fragileServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		crashed := s.crashed
		s.mu.Unlock()
		if crashed {
			_ = conn.Close()
			return
		}
		go s.serve(conn)
	}
}

func (s *fragileServer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		if string(body) == crashingBody {
			s.fleet.mu.Lock()
			s.fleet.arrivals = append(s.fleet.arrivals, time.Now())
			s.fleet.mu.Unlock()
			if s.fleet.begin != nil {
				s.fleet.begin(conn, request)
			}
			time.Sleep(fragileRun)
			s.crash()
			return
		}
		time.Sleep(fragileRun)
		s.answer(conn, request)
	}
}

// answer answers a sound request.
func (s *fragileServer) answer(conn net.Conn, request *http.Request) {
	if !isStream(request) {
		respondOK(conn, request, 0)
		return
	}
	writeStreamHeader(conn, request)
	writeEvent(conn, 1, "text")
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// isStream reports whether a request is one of a stream.
func isStream(request *http.Request) bool {
	return strings.HasPrefix(request.URL.Path, "/stream/") || strings.HasPrefix(request.URL.Path, "/single/")
}

// crash ends the listener and all connections, and starts another incarnation later.
func (s *fragileServer) crash() {
	s.mu.Lock()
	if s.crashed {
		s.mu.Unlock()
		return
	}
	s.crashed = true
	_ = s.listener.Close()
	s.mu.Unlock()
	s.fleet.mu.Lock()
	s.fleet.crashes = append(s.fleet.crashes, time.Now())
	s.fleet.mu.Unlock()
	restart := func() {
		s.fleet.store.unlist(s.id)
		s.fleet.start(s.listener.Addr().String())
	}
	if s.fleet.downTime == 0 {
		restart()
	} else {
		time.AfterFunc(s.fleet.downTime, restart)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// crashAny crashes the n-th incarnation that has started.
func (f *fragileServers) crashAny(n int) {
	f.mu.Lock()
	s := f.live[n]
	f.mu.Unlock()
	s.crash()
}

// refusingServer returns the entry of a server that refuses connections.
func refusingServer(t *testing.T, n int) backend.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	return backend.Server{ID: fmt.Sprint("gone", n), Service: "app", Address: listener.Addr().String()}
}
