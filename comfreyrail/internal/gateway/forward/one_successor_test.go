package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// successors is what the engines of a test see of the successors of a silent attempt.
type successors struct {
	refuseUntil time.Time // when the engines begin to accept requests
	secondOnly  bool      // whether they answer only the second request then, and begin its response with an event
	asked       atomic.Int32
	open, most  atomic.Int32 // number of accepted requests that have not ended, now and at most
}

// respond handles a request. If it begins a response, it waits for the end of the connection.
func (s *successors) respond(conn net.Conn, request *http.Request, n int) {
	if time.Now().Before(s.refuseUntil) {
		respondNotRun(conn, request, n)
		return
	}
	if s.asked.Add(1) != 2 && s.secondOnly {
		_ = conn.Close()
		return
	}
	s.most.Store(max(s.open.Add(1), s.most.Load()))
	writeStreamHeader(conn, request)
	if s.secondOnly {
		writeEvent(conn, 1, "x")
	}
	_, _ = conn.Read(make([]byte, 1))
	s.open.Add(-1)
}

// Guards against a second successor that is started beside the first one of the same check, so that nothing ends the first one: an
// engine counts as dead when the time after which another chain is tried without a known fault has also passed.
func TestSilentEngineGetsOneSuccessorAtATime(t *testing.T) {
	// Longer than the time after which another chain is tried without a known fault.
	const refusal = 1700 * time.Millisecond
	tests := []struct {
		name       string
		secondOnly bool
	}{{"both are accepted", false}, {"one has no response", true}}
	for _, test := range tests {
		for n := range 4 { // which of two requests is asked first differs
			t.Run(fmt.Sprint(test.name, " ", n), func(t *testing.T) {
				t.Parallel()
				testSuccessors(t, &successors{refuseUntil: time.Now().Add(refusal), secondOnly: test.secondOnly})
			})
		}
	}
}

// testSuccessors sends a request whose first engine is silent, and checks that successors come one at a time and that none remains.
func testSuccessors(t *testing.T, s *successors) {
	t.Helper()
	respond := firstThen(respondLate, s.respond)
	servers := []*server{newServer(t, "one", respond), newServer(t, "two", respond), newServer(t, "three", respond)}
	for _, s := range servers {
		s.card = "card"
	}
	g := newGatewayWith(t, gatewayOptions{
		config: func(config *route.Config) {
			useEngines(config)
			config.Routes[2].MaxAttempts, config.Routes[2].Timeout = 40, 3*time.Second
		},
		state: func(context.Context, backend.Server) (backend.State, error) {
			return backend.State{}, errors.New("silent")
		},
	}, servers...)
	g.send(t, "/stream/", "")
	if got := s.most.Load(); got != 1 {
		t.Errorf("got %d successors at the same time, want 1", got)
	}
	time.Sleep(200 * time.Millisecond)
	if got := s.open.Load(); got != 0 {
		t.Errorf("got %d requests at engines after the caller's response has ended, want none", got)
	}
	for id, usage := range g.forwarder.Usage() {
		if usage.ReservedKV > 0 {
			t.Errorf("got %v tokens times layers reserved at %s after the caller's response has ended, want none", usage.ReservedKV, id)
		}
	}
}
