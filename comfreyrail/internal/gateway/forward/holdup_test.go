package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/runclock"
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
