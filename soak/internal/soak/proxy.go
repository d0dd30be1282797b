package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// fault is what a proxy does to its connections.
type fault int

const (
	none    fault = iota
	delayed       // bytes take longer
	silent        // bytes go nowhere, connections stay open
	oneWay        // answers go nowhere
	reset         // connections are reset
)

// proxyDelay is how much longer delayed bytes take.
const proxyDelay = 60 * time.Millisecond

// proxy passes connections on to an address, with a fault.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault fault
	conns map[*net.TCPConn]bool
}

// newProxy returns a proxy on a free port of the loopback.
func newProxy(ctx context.Context, target string) (*proxy, error) {
	listener, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[*net.TCPConn]bool)}
	go p.serve(ctx)
	return p, nil
}

// listen listens on a free port of the loopback.
func listen(ctx context.Context) (net.Listener, error) {
	return new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the fault; a reset ends all connections at once.
func (p *proxy) set(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f != reset {
		return
	}
	for conn := range p.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

func (p *proxy) now() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) serve(ctx context.Context) {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(ctx, accepted.(*net.TCPConn))
	}
}

func (p *proxy) keep(conn *net.TCPConn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = true
		return
	}
	delete(p.conns, conn)
}

func (p *proxy) pass(ctx context.Context, caller *net.TCPConn) {
	p.keep(caller, true)
	defer p.keep(caller, false)
	defer func() { _ = caller.Close() }()
	if p.now() == reset {
		_ = caller.SetLinger(0)
		return
	}
	opened, err := new(net.Dialer).DialContext(ctx, "tcp", p.target)
	if err != nil {
		return
	}
	server := opened.(*net.TCPConn)
	defer func() { _ = server.Close() }()
	done := make(chan struct{})
	go func() {
		p.copy(server, caller, false)
		_ = server.CloseWrite()
		close(done)
	}()
	p.copy(caller, server, true)
	_ = caller.Close()
	<-done
}

// copy passes bytes on until a side ends. Once bytes have been lost the rest goes nowhere either: a connection never goes on
// after a gap.
func (p *proxy) copy(to io.Writer, from io.Reader, answers bool) {
	buffer := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			lost = lost || p.loses(answers)
		}
		if n > 0 && !lost {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// loses reports whether bytes go nowhere now, after the delay that they take.
func (p *proxy) loses(answers bool) bool {
	switch p.now() {
	case silent:
		return true
	case oneWay:
		return answers
	case delayed:
		time.Sleep(proxyDelay)
		return false
	default:
		return false
	}
}
