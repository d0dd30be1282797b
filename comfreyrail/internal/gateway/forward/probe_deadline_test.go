package forward

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Guards against a request that gets neither a response nor a refusal because its caller leaves while the request waits for a probe of
// its engine, which is silent or has ended the connection. A probe lasts longer than the time that is kept for the response; those of
// the test last for probeTime.
func TestCallerIsAnsweredDespiteProbe(t *testing.T) {
	const callerTime, probeTime = 400 * time.Millisecond, 5 * time.Second
	silent := func(conn net.Conn, _ *http.Request, _ int) { _, _ = conn.Read(make([]byte, 1)) }
	end := func(conn net.Conn, _ *http.Request, _ int) { _ = conn.Close() }
	tests := []struct {
		name    string
		respond func(net.Conn, *http.Request, int)
		probed  int32         // number of the query for the engine's state that lasts, zero for none
		timeout string        // of the caller in milliseconds
		abandon time.Duration // of the route
	}{
		{"caller's timeout", silent, 1, "400", 0},
		{"caller of a stream leaves", silent, 1, "", callerTime},
		{"caller's timeout, engine ends the connection", end, 0, "400", 0},
		{"caller of a stream leaves, engine ends the connection", end, 0, "", callerTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var queries atomic.Int32
			released := make(chan struct{})
			defer close(released)
			one := newServer(t, "one", test.respond)
			one.card = "card"
			g := newGatewayWith(t, gatewayOptions{
				state: func(context.Context, backend.Server) (state backend.State, err error) {
					if queries.Add(1) == test.probed {
						<-released
					}
					return state, nil
				},
				ended: func(context.Context, backend.Server, poison.Request, bool) (crashed bool) {
					<-released
					return false
				},
				config: func(config *route.Config) {
					useEngines(config)
					stream := &config.Routes[2]
					stream.Timeout, stream.MaxAttempts, stream.AbandonTime = 20*time.Second, 1, test.abandon
					stream.LatencyTarget = callerTime / 2
				},
			}, one)
			start := time.Now()
			answered := make(chan int, 1)
			go func() { answered <- askWithTimeout(t, g.url+"/stream/", test.timeout) }()
			select {
			case status := <-answered:
				if status < http.StatusBadGateway {
					t.Errorf("got status %d after %v, want an error response", status, time.Since(start))
				}
			case <-time.After(probeTime):
				t.Errorf("got no response while a probe lasted for %v, want one within the caller's %v", probeTime, callerTime)
			}
		})
	}
}

// askWithTimeout sends a request that states the caller's timeout and returns the status of the response, zero without one.
func askWithTimeout(t *testing.T, url, timeout string) (status int) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("question"))
	if err != nil {
		t.Error(err)
		return 0
	}
	request.Header.Set("Id", "r1")
	request.Header.Set("Prefix", "shared,own")
	request.Header.Set("Timeout", timeout)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
