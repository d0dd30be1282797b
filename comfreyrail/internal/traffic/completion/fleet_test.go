package completion

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/fakecontrol"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeengine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Sizes of the fleet.
const (
	stages      = 3
	stageLayers = 4
	layers      = stages * stageLayers
)

// fleet is a pool of engines behind silenceable proxies, and a Runner.
type fleet struct {
	engines map[string]*fakeengine.Server
	proxies map[string]*proxy
	servers map[string]*httptest.Server
	checker invariant.Checker
	runner  *Runner
}

// newFleet returns a fleet with two engines for each stage; the one named "a" is the cheaper.
func newFleet(tb testing.TB, layerTime, prefillTime time.Duration) *fleet {
	tb.Helper()
	f := &fleet{engines: map[string]*fakeengine.Server{}, proxies: map[string]*proxy{}, servers: map[string]*httptest.Server{}}
	f.checker.Report = func(violation *invariant.Violation) { tb.Errorf("%v", violation) }
	log := logrus.New()
	log.SetOutput(tb.Output())
	state := control.New(control.Config{Log: logrus.NewEntry(log), Checker: &f.checker})
	ctx, cancel := context.WithCancel(tb.Context())
	tb.Cleanup(cancel)
	go func() { _ = state.Serve(ctx) }()
	tables := &table.Tables{Generation: 1, Pools: []table.Pool{{Name: "model", Kind: table.ModelPool, Layers: layers}}}
	for stage := range stages {
		for replica, letter := range []string{"a", "b"} {
			name := fmt.Sprintf("%d%s", stage, letter)
			f.engines[name] = fakeengine.New(fakeengine.Config{
				Name: name, First: stage * stageLayers, Last: (stage + 1) * stageLayers, Version: "v1",
				LayerTime: layerTime * time.Duration(10+replica) / 10, PrefillTime: prefillTime, ImportTime: prefillTime / 10, MaxPrefixes: 8,
			})
			tb.Cleanup(f.engines[name].Close)
			f.servers[name] = httptest.NewServer(f.engines[name])
			f.proxies[name] = newProxy(tb, f.servers[name].Listener.Addr().String())
			tables.Pools[0].Servers = append(tables.Pools[0].Servers, table.Server{Name: name, Address: f.proxies[name].address, Zone: "z"})
		}
	}
	if err := fakecontrol.Install(ctx, state, tables); err != nil {
		tb.Fatal(err)
	}
	f.report(ctx, tb, state, tables)
	f.runner = New(Config{Control: state, HTTP: &http.Client{Transport: &http.Transport{}}, Log: logrus.NewEntry(log), Zone: "z", Checker: &f.checker})
	return f
}

// report tells the control what the engines report, and waits until it is known.
func (f *fleet) report(ctx context.Context, tb testing.TB, state *control.Control, tables *table.Tables) {
	tb.Helper()
	for i, row := range tables.Pools[0].Servers {
		stage := i / 2
		status := engine.Status{
			Server: row.Name, First: stage * stageLayers, Last: (stage + 1) * stageLayers, Version: "v1",
			LayerTime: time.Duration(10 + i%2), Slots: 8,
		}
		state.Send(ctx, control.ServerReported{Name: row.Name, Status: status, At: time.Now()})
	}
	last := tables.Pools[0].Servers[2*stages-1].Name
	for !state.Snapshot().Usable(last) {
		time.Sleep(time.Millisecond)
	}
}

// kill makes an engine refuse connections and breaks those it has.
func (f *fleet) kill(name string) {
	f.engines[name].SetFaults(fakeengine.Faults{Crash: true})
	f.proxies[name].kill()
}

// freeze pauses an engine while its connections stay open.
func (f *fleet) freeze(name string) { f.engines[name].SetFaults(fakeengine.Faults{Freeze: true}) }

// ask runs one request and returns its tokens with the time of each; after runs when that many tokens have arrived.
func (f *fleet) ask(tb testing.TB, id, prompt string, maxTokens, after int, fault func()) (tokens []string, at []time.Time, err error) {
	tb.Helper()
	ctx, cancel := context.WithTimeout(tb.Context(), 30*time.Second)
	defer cancel()
	request := Request{ID: id, Route: table.Route{Name: "r", Pool: "model"}, Prompt: prompt, MaxTokens: maxTokens}
	_, err = f.runner.Run(ctx, request, func(token string) error {
		tokens, at = append(tokens, token), append(at, time.Now())
		if len(tokens) == after && fault != nil {
			fault()
		}
		return nil
	})
	return tokens, at, err
}

// longPrompt returns a prompt of that many tokens.
func longPrompt(number, tokens int) string {
	start := fmt.Sprintf("%08d", number)
	return start + strings.Repeat("abcd", max(0, tokens-len(start)/engine.TokenBytes))
}

// proxy passes TCP connections on until they are silenced; new ones still work.
type proxy struct {
	address  string
	target   string
	listener net.Listener

	mu      sync.Mutex
	conns   []*conn
	blocked atomic.Bool
}

// conn is a pair of connections; once silent it drops every byte but stays open.
type conn struct {
	near, far net.Conn
	silent    atomic.Bool
}

func newProxy(tb testing.TB, target string) *proxy {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	p := &proxy{address: listener.Addr().String(), target: target, listener: listener}
	tb.Cleanup(p.kill)
	go p.serve()
	return p
}

func (p *proxy) serve() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &conn{near: near, far: far}
		p.mu.Lock()
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		go p.pass(c, near, far)
		go p.pass(c, far, near)
	}
}

// pass copies one direction and drops what arrives while the connection is silent.
func (p *proxy) pass(c *conn, from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if p.blocked.Load() && bytes.Contains(buffer[:n], []byte(engine.PathActivation)) {
			c.silent.Store(true)
		}
		if c.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_, _ = c.near.Close(), c.far.Close()
			return
		}
	}
}

// silence makes all connections that are open now silent for good.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.silent.Store(true)
	}
}

// block loses every activation from now on, over new connections too.
func (p *proxy) block() { p.blocked.Store(true) }

// kill refuses new connections and breaks the open ones.
func (p *proxy) kill() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_, _ = c.near.Close(), c.far.Close()
	}
}
