package forward

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Guards against a request that gets neither a response nor a refusal because its caller, whose timeout is shorter than the route's, has
// left when the response to the timeout is sent. A change of the configuration that lengthens the route's timeout brings this about.
func TestCallerIsAnsweredBeforeItLeaves(t *testing.T) {
	const callerTimeout = 300 * time.Millisecond
	silent := func(conn net.Conn, _ *http.Request, _ int) { _, _ = conn.Read(make([]byte, 1)) }
	long := func(config *route.Config) {
		for i := range config.Routes {
			config.Routes[i].Timeout = 20 * time.Second
		}
	}
	for _, path := range []string{"/once/", "/safe/", "/single/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			g := newGateway(t, long, newServer(t, "one", silent), newServer(t, "two", silent))
			// The caller's time runs from before it opens its connection.
			ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+path, http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Id", "r1")
			request.Header.Set("Timeout", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
			response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
			if err != nil {
				t.Fatalf("got no response: %v", err)
			}
			_ = response.Body.Close()
			if got, want := response.StatusCode, http.StatusGatewayTimeout; got != want {
				t.Errorf("got status %d, want %d", got, want)
			}
		})
	}
}

// Guards against a short timeout of a caller being used up by the time that is kept for the response.
func TestDeadlineKeepsMostOfShortTimeout(t *testing.T) {
	tests := []struct{ caller, route, want time.Duration }{
		{0, 2 * time.Second, 2 * time.Second},
		{time.Second, 0, time.Second - maxDeliveryTime},
		{time.Second, 2 * time.Second, time.Second - maxDeliveryTime},
		{3 * time.Second, 2 * time.Second, 2 * time.Second},
		{2*time.Second + maxDeliveryTime/2, 2 * time.Second, 2*time.Second - maxDeliveryTime/2},
		{100 * time.Millisecond, time.Second, 90 * time.Millisecond},
		{0, 0, defaultTimeout},
	}
	for _, test := range tests {
		j := &job{route: &route.Route{Timeout: test.route}, startedAt: time.Unix(0, 0)}
		j.request.Timeout = test.caller
		j.setDeadline()
		if got := j.deadline.Sub(j.startedAt); got != test.want {
			t.Errorf("caller %v, route %v: got %v, want %v", test.caller, test.route, got, test.want)
		}
	}
}
