package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/limit"
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

// Guards against a response that is due while the gateway stands still and then comes when the caller has left: a process that has 0.4
// of a core may use up its share within 40 ms and stands still for the rest of a tenth of a second.
func TestStandstillLeavesTimeForResponse(t *testing.T) {
	const standstill, network = 60 * time.Millisecond, 10 * time.Millisecond
	for _, callerTime := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 20 * time.Second} {
		if got, want := lessDelivery(callerTime)+standstill+network, callerTime; got > want {
			t.Errorf("got the response at %v at the latest, want it before the caller leaves at %v", got, want)
		}
	}
}

// Guards against a stream that gets neither a response nor a refusal because its caller disconnects, well before its timeout, when no
// event has arrived: its servers are silent, or respond without an event.
func TestCallerOfStreamIsAnsweredBeforeItLeaves(t *testing.T) {
	const abandonTime = 400 * time.Millisecond
	abandoned := func(config *route.Config) {
		for i := range config.Routes {
			config.Routes[i].AbandonTime = abandonTime
		}
	}
	silent := func(conn net.Conn, _ *http.Request, _ int) { _, _ = conn.Read(make([]byte, 1)) }
	for _, path := range []string{"/single/", "/stream/"} {
		for _, respond := range []func(net.Conn, *http.Request, int){silent, beginThenSilence} {
			g := newGateway(t, abandoned, newServer(t, "one", respond), newServer(t, "two", respond))
			start := time.Now()
			response, _, complete := g.send(t, path, "")
			if took := time.Since(start); response.StatusCode != http.StatusGatewayTimeout || !complete || took >= abandonTime {
				t.Errorf("%s: got status %d, complete %v after %v, want 504 within %v", path, response.StatusCode, complete, took, abandonTime)
			}
		}
	}
}

// Guards against a stream that has begun in time being ended when its caller would have left without an event, and against an error
// response being broken off then.
func TestStreamThatBeginsInTimeGoesOn(t *testing.T) {
	t.Parallel()
	const abandonTime = time.Second
	abandoned := func(config *route.Config) {
		for i := range config.Routes {
			config.Routes[i].AbandonTime = abandonTime
		}
	}
	slowEvents := func(conn net.Conn, request *http.Request, _ int) {
		writeStreamHeader(conn, request)
		for id := 1; id <= lastEvent; id++ {
			time.Sleep(abandonTime / 2)
			writeEvent(conn, id, strconv.Itoa(id))
		}
		_, _ = io.WriteString(conn, lastChunk)
	}
	if _, body, complete := newGateway(t, abandoned, newServer(t, "only", slowEvents)).send(t, "/stream/", ""); !complete || body != eventText(1, lastEvent) {
		t.Errorf("got %q, complete %v, want the whole stream", body, complete)
	}
	slowError := func(conn net.Conn, request *http.Request, _ int) {
		size := 2 * limit.HeldBytes
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 500 Failed\r\nId: %s\r\nContent-Length: %d\r\n\r\n", request.Header.Get("Id"), size)
		_, _ = conn.Write(make([]byte, size-1))
		time.Sleep(2 * abandonTime)
		_, _ = conn.Write(make([]byte, 1))
	}
	response, _, complete := newGateway(t, abandoned, newServer(t, "only", slowError)).send(t, "/stream/", "")
	if response.StatusCode != http.StatusInternalServerError || !complete {
		t.Errorf("got status %d, complete %v, want the server's whole error response", response.StatusCode, complete)
	}
}
