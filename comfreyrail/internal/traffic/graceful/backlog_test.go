package graceful

import (
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
)

// Guards against a reset of connections that wait in the backlog when the listener closes: its deadline may have passed while the
// process was held up, which says nothing about what waits.
func TestBacklogIsAcceptedAfterDeadline(t *testing.T) {
	netListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = netListener.Close() }()
	closing := &listener{TCPListener: netListener.(*net.TCPListener), server: New(Config{})}
	const waiting = 3
	for range waiting {
		connection, err := net.Dial("tcp", netListener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
	}
	closing.drainBacklog()
	time.Sleep(2 * backlogTime)
	for n := range waiting {
		accepted, err := closing.Accept()
		if err != nil {
			t.Fatalf("got %v from call %d of Accept, want a connection", err, n+1)
		}
		_ = accepted.Close()
	}
	if _, err = closing.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %v from Accept without waiting connections, want %v", err, net.ErrClosed)
	}
}
