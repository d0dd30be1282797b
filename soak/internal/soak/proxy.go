package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// linkFault is a fault that a proxy applies to its connections. The report of a run shows its number: 1 is delayBytes, 2 is
// dropAll, 3 is dropResponses and 4 is resetConns.
type linkFault int

const (
	noFault       linkFault = iota
	delayBytes              // all bytes are delayed by proxyDelay
	dropAll                 // all bytes are dropped, connections stay open
	dropResponses           // bytes from the target are dropped
	resetConns              // connections are reset at once
)

// proxyDelay is the delay after each read of a connection while the fault is delayBytes.
const proxyDelay = 60 * time.Millisecond

// proxy forwards TCP connections to the target and applies a fault to them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	conns map[*net.TCPConn]bool
}

// newProxy starts a proxy on a free loopback port.
func newProxy(ctx context.Context, target string) (*proxy, error) {
	listener, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[*net.TCPConn]bool)}
	go p.serve(ctx)
	return p, nil
}

// listen listens on a free loopback port.
func listen(ctx context.Context) (net.Listener, error) {
	return new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setFault sets the fault; resetConns also resets all open connections at once.
func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f != resetConns {
		return
	}
	for conn := range p.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// serve accepts connections until the listener is closed.
func (p *proxy) serve(ctx context.Context) {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(ctx, accepted.(*net.TCPConn))
	}
}

// track adds an open connection to those that resetConns resets, or removes a closed one.
func (p *proxy) track(conn *net.TCPConn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = true
		return
	}
	delete(p.conns, conn)
}

// forward copies bytes in both directions between the client and the target until the target closes its write side or a write
// to the client fails.
func (p *proxy) forward(ctx context.Context, client *net.TCPConn) {
	p.track(client, true)
	defer p.track(client, false)
	defer func() { _ = client.Close() }()
	if p.currentFault() == resetConns {
		_ = client.SetLinger(0)
		return
	}
	dialed, err := new(net.Dialer).DialContext(ctx, "tcp", p.target)
	if err != nil {
		return
	}
	server := dialed.(*net.TCPConn)
	defer func() { _ = server.Close() }()
	done := make(chan struct{})
	go func() {
		p.copyBytes(server, client, false)
		_ = server.CloseWrite()
		close(done)
	}()
	p.copyBytes(client, server, true)
	_ = client.Close()
	<-done
}

// copyBytes copies bytes from src to dst until either fails or src ends. After it has dropped bytes it drops all that follow,
// because a TCP connection never continues after a gap. fromTarget reports whether src is the target.
func (p *proxy) copyBytes(dst io.Writer, src io.Reader, fromTarget bool) {
	buffer := make([]byte, 16<<10)
	dropping := false
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			dropping = dropping || p.shouldDrop(fromTarget)
		}
		if n > 0 && !dropping {
			if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// shouldDrop reports whether the bytes just read, from the target if fromTarget is set, must be dropped. While the fault is
// delayBytes, it first waits for proxyDelay.
func (p *proxy) shouldDrop(fromTarget bool) bool {
	switch p.currentFault() {
	case dropAll:
		return true
	case dropResponses:
		return fromTarget
	case delayBytes:
		time.Sleep(proxyDelay)
		return false
	default:
		return false
	}
}
