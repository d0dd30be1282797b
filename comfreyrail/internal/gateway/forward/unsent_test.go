package forward

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// newDeadServer returns a listed server that refuses connections. Its port is taken until the test ends, so that no other server gets it.
func newDeadServer(t *testing.T, id string) *server {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(socket) })
	if err = unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return &server{id: id, address: fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)}
}

// Guards against requests that are refused or broken off because a server that could not be reached, and thus got nothing, counts as one
// of the servers that the route allows, or against the retry budget.
func TestUnreachableServersAreNoAttempts(t *testing.T) {
	const gateways = 8 // the order of the servers is random
	twoRetries := func(config *BudgetConfig) {
		config.Window = retry.WindowBudgetConfig{Burst: 4, Period: time.Minute} // half of the burst is shared
	}
	tests := []struct {
		name        string
		path        string
		first, then func(net.Conn, *http.Request, int)
	}{
		{"one attempt", "/once/", respondOK, respondOK},
		{"two attempts", "/safe/", closeConnection, respondOK},
		{"stream broken off by its first server", "/stream/", beginThenBreak, respondWithSilence(-1)},
		{"stream whose first server is silent", "/stream/", beginThenSilence, respondWithSilence(-1)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for i := range gateways {
				t.Run(strconv.Itoa(i), func(t *testing.T) {
					t.Parallel()
					respond := firstThen(test.first, test.then)
					servers := []*server{newServer(t, "one", respond), newServer(t, "two", respond), newDeadServer(t, "three"), newDeadServer(t, "four")}
					g := newGatewayWith(t, gatewayOptions{budget: twoRetries}, servers...)
					response, body, complete := g.send(t, test.path, "")
					if response.StatusCode != http.StatusOK || !complete {
						t.Errorf("got status %d, complete %v, body %q, want a whole response", response.StatusCode, complete, body)
					}
				})
			}
		})
	}
}
