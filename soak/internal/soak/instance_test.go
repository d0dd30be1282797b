package soak

import (
	"context"
	"slices"
	"testing"
)

// TestInstanceAddressStaysFree guards against giving an instance a port that the operating system can assign to another listener
// before the instance listens on it. With several runs at once, the callers of one run then sent their requests to a backend
// server of another run.
func TestInstanceAddressStaysFree(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	addresses := freeAddresses(300)
	for range 1000 {
		listener, err := listen(ctx)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		if got := listener.Addr().String(); slices.Contains(addresses, got) {
			t.Errorf("got a listener on %s, want that address free for the instance", got)
		}
	}
}
