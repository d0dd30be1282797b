package forward

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/limit"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Guards against a ready response that is dropped because it is late, and against one that is begun after it was given up.
func TestLateResponseIsSentOnlyWhole(t *testing.T) {
	tests := []struct {
		name string
		size int // of the body in bytes
		want int // status
	}{{"whole", 10, http.StatusOK}, {"not read whole", 2 * limit.HeldBytes, http.StatusGatewayTimeout}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := newServer(t, "one", func(conn net.Conn, _ *http.Request, _ int) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", test.size, bytes.Repeat([]byte("x"), test.size))
			})
			g := newGateway(t, nil, server)
			response, err := g.forwarder.config.Upstream.Send(t.Context(), upstream.Request{Address: server.address, Method: http.MethodGet, Target: "/", Host: "test"})
			if err != nil {
				t.Fatal(err)
			}
			held, err := g.forwarder.hold(response, call.Response{}, func() {})
			if err != nil {
				t.Fatal(err)
			}
			j := &job{mayHaveRun: true, begin: func() error { return errNotBegun }}
			recorder := httptest.NewRecorder()
			if err = j.deliver(t.Context(), recorder, held); err != nil {
				g.forwarder.finish(recorder, httptest.NewRequest(http.MethodGet, "/", http.NoBody), j, err)
			}
			if got := recorder.Code; got != test.want {
				t.Errorf("got status %d, want %d", got, test.want)
			}
		})
	}
}

// Guards against a caller that left being taken for a server's fault, and against a silent server that isn't suspected because its
// response was given up before the caller left.
func TestOnlyCallersEndIsNoFault(t *testing.T) {
	tests := []struct {
		cause error
		want  bool
	}{{nil, true}, {errSuccessorNotNeeded, true}, {errSuccessorLate, false}, {errNotBegun, false}}
	for _, test := range tests {
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(test.cause)
		if got := canceled(ctx); got != test.want {
			t.Errorf("%v: got %v, want %v", test.cause, got, test.want)
		}
	}
}

// Guards against an engine that ends a stream which has begun before its caller's timeout, and against a server that works on a response
// which can't reach its caller any more.
func TestServerIsToldWhenResponseIsUseless(t *testing.T) {
	const timeout = 2 * time.Second
	tests := []struct {
		path string
		want time.Duration
	}{{"/stream/", timeout}, {"/once/", timeout - maxDeliveryTime}}
	for _, test := range tests {
		server := newServer(t, "one", closeConnection)
		g := newGateway(t, func(config *route.Config) {
			for i := range config.Routes {
				config.Routes[i].Timeout, config.Routes[i].MaxAttempts = 20*time.Second, 1
			}
		}, server)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, g.url+test.path, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Id", "r1")
		request.Header.Set("Timeout", strconv.FormatInt(timeout.Milliseconds(), 10))
		response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		milliseconds, _ := strconv.Atoi(server.request(0).Header.Get("Deadline"))
		if got := time.Duration(milliseconds) * time.Millisecond; got > test.want || got <= test.want-maxDeliveryTime/2 {
			t.Errorf("%s: got %v, want %v less what has passed", test.path, got, test.want)
		}
	}
}

// Guards against a request that a stop takes and aborts before its end, which is later than the deadline of its response.
func TestStopRefusesWhatEndsTooLate(t *testing.T) {
	now := time.Now()
	f := new(Forwarder)
	f.PlanStop(now.Add(-time.Second), now.Add(5*time.Second))
	j := &job{route: &route.Route{Kind: route.Stream}, startedAt: now}
	j.request.Timeout = 5*time.Second - responseMargin + maxDeliveryTime/2
	j.setDeadline()
	if f.acceptsBeforeAbort(j) {
		t.Error("got a request accepted whose end is later than the abort, want it refused")
	}
}
