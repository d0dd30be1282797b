package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/member"
)

// forwarder carries packets to a server and can lose track of the flows that it has.
type forwarder struct {
	socket net.PacketConn
	server net.Addr

	mu    sync.Mutex
	flows map[string]*flow
}

// flow is what the forwarder knows about one client socket.
type flow struct {
	upstream net.PacketConn
	lost     bool
}

func newForwarder(t *testing.T, server string) *forwarder {
	t.Helper()
	address, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{socket: socket, server: address, flows: make(map[string]*flow)}
	t.Cleanup(func() {
		_ = socket.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, known := range f.flows {
			_ = known.upstream.Close()
		}
	})
	go f.forward(t)
	return f
}

// forward carries packets of clients to the server until the socket is closed.
func (f *forwarder) forward(t *testing.T) {
	packet := make([]byte, 1<<16)
	for {
		size, client, err := f.socket.ReadFrom(packet)
		if err != nil {
			return
		}
		f.mu.Lock()
		known := f.flows[client.String()]
		if known == nil {
			upstream, listenErr := net.ListenPacket("udp", "127.0.0.1:0")
			if listenErr != nil {
				t.Error(listenErr)
				f.mu.Unlock()
				return
			}
			known = &flow{upstream: upstream}
			f.flows[client.String()] = known
			go f.back(known, client)
		}
		lost := known.lost
		f.mu.Unlock()
		if !lost {
			_, _ = known.upstream.WriteTo(packet[:size], f.server)
		}
	}
}

// back carries packets of the server to one client.
func (f *forwarder) back(known *flow, client net.Addr) {
	packet := make([]byte, 1<<16)
	for {
		size, _, err := known.upstream.ReadFrom(packet)
		if err != nil {
			return
		}
		f.mu.Lock()
		lost := known.lost
		f.mu.Unlock()
		if !lost {
			_, _ = f.socket.WriteTo(packet[:size], client)
		}
	}
}

// lose drops the packets of all flows that exist now.
func (f *forwarder) lose() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, known := range f.flows {
		known.lost = true
	}
}

func TestCallAfterSilence(t *testing.T) {
	client, server := newPair(t, map[Kind]Handler{
		"ping": func(context.Context, member.Member, []byte) (any, error) { return true, nil },
	})
	between := newForwarder(t, server.Address)
	server.Address = between.socket.LocalAddr().String()
	call := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		var answer bool
		return client.Call(ctx, server, "ping", struct{}{}, &answer)
	}
	if err := call(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	between.lose()
	if err := call(200 * time.Millisecond); err == nil {
		t.Error("the call on the silent connection got an answer, want an error")
	}
	if err := call(10 * time.Second); err != nil {
		t.Errorf("the next call got %v, want an answer over a new connection", err)
	}
}
