package forward

import (
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

// While the load balancer may send a refused caller back to a stopping instance, the instance must accept every request.
// After that it must refuse those that are not expected to end before its requests are aborted.
func TestRequestsRefusedThatEndAfterCut(t *testing.T) {
	f := &Forwarder{}
	f.tokenTime.Store(int64(10 * time.Millisecond))
	stream := &route.Route{Kind: route.Stream, LatencyTarget: 500 * time.Millisecond}
	tests := []struct {
		lag    time.Duration
		tokens int
		want   bool
	}{{0, 100, true}, {0, 400, false}, {time.Minute, 400, true}}
	for _, test := range tests {
		f.PlanStop(time.Now().Add(test.lag), time.Now().Add(4*time.Second))
		if got := f.acceptsBeforeAbort(&job{route: stream, request: call.Request{LengthHint: test.tokens}}); got != test.want {
			t.Errorf("%d tokens, lag %v: got %v, want %v", test.tokens, test.lag, got, test.want)
		}
	}
}
