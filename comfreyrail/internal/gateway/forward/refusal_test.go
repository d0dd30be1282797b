package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/route"
)

// refusalRepeater handles the requests of servers that refuse their first request and run all others. Before they run a request on
// a connection on which they have refused one, they send that refusal again.
type refusalRepeater struct {
	mu      sync.Mutex
	refused map[net.Conn]string // the refusal that was sent on the connection
	runs    int
}

func (r *refusalRepeater) respond(conn net.Conn, request *http.Request, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n == 1 {
		r.refused[conn] = fmt.Sprintf("HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
		_, _ = io.WriteString(conn, r.refused[conn])
		return
	}
	_, _ = io.WriteString(conn, r.refused[conn])
	r.runs++
	writeStreamHeader(conn, request)
	writeEvent(conn, 1, "x")
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// runCount returns the number of requests run so far.
func (r *refusalRepeater) runCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs
}

// allowTwoAttempts allows two attempts on each route.
func allowTwoAttempts(config *route.Config) {
	for i := range config.Routes {
		config.Routes[i].MaxAttempts = 2
	}
}

// Guards against an earlier refusal that a server sends again on an idle connection being taken for the response to a request
// that may run only once: the caller would be told that the request was not run, or it would run at a second server. The ID
// of the repeated refusal is that of the request itself, so that it does not reveal the refusal.
func TestRepeatedRefusalIsNotTheResponse(t *testing.T) {
	for _, path := range []string{"/once/", "/single/"} {
		t.Run(path, func(t *testing.T) {
			repeater := &refusalRepeater{refused: make(map[net.Conn]string)}
			g := newGateway(t, allowTwoAttempts, newServer(t, "first", repeater.respond), newServer(t, "second", repeater.respond))
			if response, _, _ := g.send(t, "/safe/", ""); response.StatusCode != http.StatusServiceUnavailable {
				t.Fatalf("got status %d, want both servers' refusal", response.StatusCode)
			}
			response, _, complete := g.send(t, path, "")
			if response.StatusCode != http.StatusOK || !complete || repeater.runCount() != 1 {
				t.Errorf("got status %d, complete %v after %d runs, want 200 after one run", response.StatusCode, complete, repeater.runCount())
			}
		})
	}
}

// Guards against a refusal that an engine sends again being taken for the response to the next attempt at the same request,
// which has the same ID.
func TestRepeatedRefusalIsNotTheResponseToTheNextAttempt(t *testing.T) {
	repeater := &refusalRepeater{refused: make(map[net.Conn]string)}
	engine := newServer(t, "engine", repeater.respond)
	engine.card = "card"
	response, _, complete := newGateway(t, useEngines, engine).send(t, "/stream/", "")
	if response.StatusCode != http.StatusOK || !complete || repeater.runCount() != 1 {
		t.Errorf("got status %d, complete %v after %d runs, want 200 after one run", response.StatusCode, complete, repeater.runCount())
	}
}

// Guards against a refusal that does not belong to the request being believed: a server may have run the request, so that it
// must not reach a second one, and the caller must not be told that it was not run.
func TestRefusalOfAnotherRequestIsNotBelieved(t *testing.T) {
	tests := []struct{ name, response string }{
		{"400 without an ID", "HTTP/1.1 400 Bad\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"421 without an ID", "HTTP/1.1 421 Misdirected\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"429 without an ID", "HTTP/1.1 429 Busy\r\nNot-Run: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"},
		{"503 without an ID", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"503 with another ID", "HTTP/1.1 503 Full\r\nId: another\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"interim response", "HTTP/1.1 102 Processing\r\nId: r1\r\nNot-Run: 1\r\n\r\n"},
	}
	for _, test := range tests {
		for _, path := range []string{"/once/", "/single/"} {
			t.Run(test.name+path, func(t *testing.T) {
				respond := func(conn net.Conn, _ *http.Request, _ int) {
					_, _ = io.WriteString(conn, test.response)
					_ = conn.Close()
				}
				first, second := newServer(t, "first", respond), newServer(t, "second", respond)
				response, _, _ := newGateway(t, allowTwoAttempts, first, second).send(t, path, "")
				if got := first.received() + second.received(); response.StatusCode != http.StatusBadGateway || got != 1 {
					t.Errorf("got status %d after %d requests at the servers, want 502 after one", response.StatusCode, got)
				}
				if got := response.Header.Get("Retry-After"); got != "" {
					t.Errorf("got Retry-After %q, want none", got)
				}
			})
		}
	}
}

// Guards against requests that are sent to an engine which refuses connections, because the others have no room: they use up their
// attempts and the retry budget there.
func TestEngineThatRefusesConnectionsGetsNoMoreRequests(t *testing.T) {
	engine := newServer(t, "engine", nil)
	engine.card = "card"
	_ = engine.listener.Close()
	g := newGateway(t, useEngines, engine)
	if g.forwarder.EngineLost(engine.entry()) {
		t.Error("got an engine that is lost before any request")
	}
	for i := range 2 {
		response, got, _ := g.sendParts(t, fmt.Sprint("r", i), "last")
		if want := "no-room\n"; got != want || response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("request %d: got status %d, %q, want %d, %q", i, response.StatusCode, got, http.StatusServiceUnavailable, want)
		}
	}
	if !g.forwarder.EngineLost(engine.entry()) {
		t.Error("got an engine that is not lost after it refused a connection")
	}
}
