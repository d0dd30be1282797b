package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/member"
)

// udpProxy forwards packets between clients and a server. It can drop the packets of all existing flows.
type udpProxy struct {
	socket net.PacketConn
	server net.Addr

	mu    sync.Mutex
	flows map[string]*flow
}

// flow is the state of the proxy for one client socket.
type flow struct {
	upstream net.PacketConn
	dropped  bool
}

func newUDPProxy(t *testing.T, server string) *udpProxy {
	t.Helper()
	address, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &udpProxy{socket: socket, server: address, flows: make(map[string]*flow)}
	t.Cleanup(func() {
		_ = socket.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, known := range p.flows {
			_ = known.upstream.Close()
		}
	})
	go p.forwardToServer(t)
	return p
}

// forwardToServer forwards packets from clients to the server until the socket is closed.
func (p *udpProxy) forwardToServer(t *testing.T) {
	packet := make([]byte, 1<<16)
	for {
		size, client, err := p.socket.ReadFrom(packet)
		if err != nil {
			return
		}
		p.mu.Lock()
		fl := p.flows[client.String()]
		if fl == nil {
			upstream, listenErr := net.ListenPacket("udp", "127.0.0.1:0")
			if listenErr != nil {
				t.Error(listenErr)
				p.mu.Unlock()
				return
			}
			fl = &flow{upstream: upstream}
			p.flows[client.String()] = fl
			go p.forwardToClient(fl, client)
		}
		dropped := fl.dropped
		p.mu.Unlock()
		if !dropped {
			_, _ = fl.upstream.WriteTo(packet[:size], p.server)
		}
	}
}

// forwardToClient forwards packets from the server to one client.
func (p *udpProxy) forwardToClient(fl *flow, client net.Addr) {
	packet := make([]byte, 1<<16)
	for {
		size, _, err := fl.upstream.ReadFrom(packet)
		if err != nil {
			return
		}
		p.mu.Lock()
		dropped := fl.dropped
		p.mu.Unlock()
		if !dropped {
			_, _ = p.socket.WriteTo(packet[:size], client)
		}
	}
}

// dropFlows makes the proxy drop all later packets of the flows that exist now.
func (p *udpProxy) dropFlows() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, fl := range p.flows {
		fl.dropped = true
	}
}

// TestCallReconnects guards against calls that keep waiting on a connection whose packets are lost on the way. After the first
// timeout the next call must open a new connection and succeed.
func TestCallReconnects(t *testing.T) {
	client, server := newPair(t, map[Kind]Handler{
		"ping": func(context.Context, member.Member, []byte) (any, error) { return true, nil },
	})
	proxy := newUDPProxy(t, server.Address)
	server.Address = proxy.socket.LocalAddr().String()
	call := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		var resp bool
		return client.Call(ctx, server, "ping", struct{}{}, &resp)
	}
	if err := call(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	proxy.dropFlows()
	if err := call(200 * time.Millisecond); err == nil {
		t.Error("call on the connection with lost packets succeeded, want an error")
	}
	if err := call(10 * time.Second); err != nil {
		t.Errorf("next call: got error %v, want a response over a new connection", err)
	}
}
