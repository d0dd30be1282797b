package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Guards against a change of the wall clock shortening or prolonging a stop: its times must keep their monotonic clock
// readings.
func TestStopUsesMonotonicClock(t *testing.T) {
	f := &Forwarder{}
	now := time.Now()
	f.PlanStop(now, now.Add(time.Minute))
	plan := f.stopPlan.Load()
	for _, at := range []time.Time{plan.refuseFrom, plan.abortAt} {
		if got, want := at.String(), " m="; !strings.Contains(got, want) {
			t.Errorf("got %s, want a monotonic clock reading", got)
		}
	}
}

// While the load balancer may send a refused caller back to a stopping instance, the instance must accept every request. After that
// it must refuse those that may be in progress when its requests are aborted. Guards against an estimate of the time that a request
// takes: its server may be slower than those of most requests, or fall silent for a second, though the request is short.
func TestStopRefusesWhatMayBeAborted(t *testing.T) {
	stream := &route.Route{Kind: route.Stream, LatencyTarget: 500 * time.Millisecond, Timeout: 20 * time.Second}
	plain := &route.Route{Kind: route.AtMostOnce, LatencyTarget: 100 * time.Millisecond, Timeout: 800 * time.Millisecond}
	tests := []struct {
		name    string
		route   *route.Route
		request call.Request
		lag     time.Duration // until the load balancer sends callers elsewhere
		left    time.Duration // until requests are aborted
		want    bool
	}{
		{"short stream", stream, call.Request{LengthHint: 50, MaxTokens: 100}, 0, 4 * time.Second, false},
		{"hint far too low", stream, call.Request{LengthHint: 50, MaxTokens: 400}, 0, 4 * time.Second, false},
		{"no time for a silent second", stream, call.Request{LengthHint: 100, MaxTokens: 150}, 0, 3 * time.Second, false},
		{"stream of unknown length", stream, call.Request{}, 0, 3 * time.Second, false},
		{"within the lag", stream, call.Request{MaxTokens: 400}, time.Minute, 4 * time.Second, true},
		{"timeout before the abort", plain, call.Request{}, 0, time.Second, true},
		{"caller's timeout before the abort", stream, call.Request{MaxTokens: 400, Timeout: time.Second}, 0, 2 * time.Second, true},
		{"timeout after the abort", plain, call.Request{}, 0, 700 * time.Millisecond, false},
		{"slow plain request", &route.Route{Kind: route.AtMostOnce, LatencyTarget: 300 * time.Millisecond, Timeout: 4 * time.Second}, call.Request{}, 0, 3 * time.Second, false},
	}
	for _, test := range tests {
		f := &Forwarder{}
		f.PlanStop(time.Now().Add(test.lag), time.Now().Add(test.left))
		j := &job{route: test.route, request: test.request, startedAt: time.Now()}
		j.setDeadline()
		if got := f.acceptsBeforeAbort(j); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against a request that may run once only being sent to a server late in a stop, and aborted without a response at its end.
func TestStopSendsNothingThatItMayAbort(t *testing.T) {
	s := newServer(t, "only", respondOK)
	g := newGateway(t, func(config *route.Config) { config.Routes[0].Timeout = 4 * time.Second }, s)
	g.forwarder.PlanStop(time.Now(), time.Now().Add(3*time.Second))
	response, _, complete := g.send(t, "/once/", "")
	if response.StatusCode != http.StatusServiceUnavailable || !complete || s.received() != 0 {
		t.Errorf("got status %d, complete %v, sent %d times, want status 503 at once", response.StatusCode, complete, s.received())
	}
}
