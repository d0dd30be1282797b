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

// TestProxyDropsAllAfterGap guards against a proxy that forwards bytes of a connection after it has dropped some, which TCP never
// does. Because of such a proxy a stream lacked two of its events in the run with seed 338.
func TestProxyDropsAllAfterGap(t *testing.T) {
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
	writeLine := func(text string) { _, _ = server.Write([]byte(text + "\n")) }
	writeLine("first")
	if got, err := reader.ReadString('\n'); err != nil || got != "first\n" {
		t.Fatalf("got %q, %v, want the first line", got, err)
	}
	p.setFault(dropAll)
	writeLine("lost")
	// The proxy must read the line while the fault is set.
	for range 100 {
		time.Sleep(time.Millisecond)
	}
	p.setFault(noFault)
	writeLine("third")
	_ = caller.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if got, err := reader.ReadString('\n'); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %q, %v, want no bytes after the gap", got, err)
	}
}
