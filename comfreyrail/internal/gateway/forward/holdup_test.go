package forward

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/runclock"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Guards against sound servers being taken for silent, and streams being started a second time, after a hold-up of this process: the
// time without bytes exceeds each timeout, but the process did not run in it.
func TestHoldUpIsNoSilence(t *testing.T) {
	tests := []struct {
		name   string
		silent func(net.Conn, *http.Request, int)
	}{
		{"before the headers", respondWithSilence(0)},
		{"between events", respondWithSilence(2)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			respond := firstThen(test.silent, respondWithSilence(-1))
			one, two := newServer(t, "one", respond), newServer(t, "two", respond)
			clock := runclock.New(runclock.Config{Elapsed: func() time.Duration { return 0 }})
			g := newGatewayWith(t, gatewayOptions{clock: clock}, one, two)
			response, body, complete := g.send(t, "/stream/", "")
			if response.StatusCode != http.StatusOK || body != wholeStream() || !complete {
				t.Errorf("got status %d, complete %v, body %q, want the whole stream", response.StatusCode, complete, body)
			}
			if got := one.received() + two.received(); got != 1 {
				t.Errorf("got %d attempts, want 1", got)
			}
		})
	}
}

// Guards against engines being probed for their slowness because a check for silence comes early, as it does after a hold-up.
func TestEarlyCheckIsNoSlowness(t *testing.T) {
	f, j, a := newStreamAttempt(t, func(string) (backend.State, error) { return backend.State{}, nil }, new(atomic.Int32))
	j.route = &route.Route{LatencyTarget: 10 * time.Second, GapTarget: 10 * time.Second}
	for range 20 {
		if wait := f.checkStall(context.Background(), j, a, time.Minute); wait < time.Second {
			t.Errorf("got the next check after %v, want it after the rest of the time", wait)
		}
	}
	if got := f.selector.nextProbes(len(a.chain)); len(got) > 0 {
		t.Errorf("got probes of %d engines, want none", len(got))
	}
}
