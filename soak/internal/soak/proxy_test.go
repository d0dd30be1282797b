package soak

import (
	"bufio"
	"context"
	"net"
	"os"
	"testing"
	"time"

	"github.com/juju/errors"
)

// A connection that lost bytes does not go on after the gap, as no network does that to TCP: seed 338 saw a stream without two of
// its events.
func TestProxyNeverGoesOnAfterAGap(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := listen(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	p, err := newProxy(ctx, listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	caller, err := net.Dial("tcp", p.address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	reader := bufio.NewReader(caller)
	say := func(text string) { _, _ = server.Write([]byte(text + "\n")) }
	say("first")
	if got, err := reader.ReadString('\n'); err != nil || got != "first\n" {
		t.Fatalf("got %q, %v, want the first line", got, err)
	}
	p.set(silent)
	say("lost")
	for range 100 {
		time.Sleep(time.Millisecond)
	}
	p.set(none)
	say("third")
	_ = caller.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if got, err := reader.ReadString('\n'); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %q, %v, want silence after the gap", got, err)
	}
}
