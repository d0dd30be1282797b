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
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/controltest"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeengine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Sizes of the pool, in stages and layers.
const (
	stages      = 3
	stageLayers = 4
	layers      = stages * stageLayers
)

// enginePool is a pool of stand-in engines behind proxies that inject network faults, with the Runner under test.
type enginePool struct {
	engines map[string]*fakeengine.Server
	proxies map[string]*proxy
	servers map[string]*httptest.Server
	checker invariant.Checker
	runner  *Runner
}

// newEnginePool returns a pool with two engines for each stage. The engine whose name ends with "a" is the faster one,
// so that the first attempt uses it.
func newEnginePool(tb testing.TB, layerTime, prefillTime time.Duration) *enginePool {
	tb.Helper()
	e := &enginePool{engines: map[string]*fakeengine.Server{}, proxies: map[string]*proxy{}, servers: map[string]*httptest.Server{}}
	e.checker.Report = func(violation *invariant.Violation) { tb.Errorf("%v", violation) }
	log := logrus.New()
	log.SetOutput(tb.Output())
	state := control.New(control.Config{Log: logrus.NewEntry(log), Checker: &e.checker})
	ctx, cancel := context.WithCancel(tb.Context())
	tb.Cleanup(cancel)
	go func() { _ = state.Serve(ctx) }()
	tables := &table.Tables{Generation: 1, Pools: []table.Pool{{Name: "model", Kind: table.ModelPool, Layers: layers}}}
	for stage := range stages {
		for replica, suffix := range []string{"a", "b"} {
			name := fmt.Sprintf("%d%s", stage, suffix)
			e.engines[name] = fakeengine.New(fakeengine.Config{
				Name: name, First: stage * stageLayers, Last: (stage + 1) * stageLayers, Version: "v1",
				LayerTime: layerTime * time.Duration(10+replica) / 10, PrefillTime: prefillTime, ImportTime: prefillTime / 10, MaxPrefixes: 8,
			})
			tb.Cleanup(e.engines[name].Close)
			e.servers[name] = httptest.NewServer(e.engines[name])
			e.proxies[name] = newProxy(tb, e.servers[name].Listener.Addr().String())
			tables.Pools[0].Servers = append(tables.Pools[0].Servers, table.Server{Name: name, Address: e.proxies[name].address, Zone: "z"})
		}
	}
	if err := controltest.Install(ctx, state, tables); err != nil {
		tb.Fatal(err)
	}
	e.reportServers(ctx, tb, state, tables)
	e.runner = New(Config{Control: state, HTTP: &http.Client{Transport: &http.Transport{}}, Log: logrus.NewEntry(log), Zone: "z", Checker: &e.checker})
	return e
}

// reportServers sends a status of each engine to the control goroutine and waits until the last one is usable.
func (e *enginePool) reportServers(ctx context.Context, tb testing.TB, state *control.Control, tables *table.Tables) {
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

// kill crashes an engine: new connections are refused and the open ones are closed.
func (e *enginePool) kill(name string) {
	e.engines[name].SetFaults(fakeengine.Faults{Crash: true})
	e.proxies[name].kill()
}

// freeze stops all responses of an engine while its connections stay open.
func (e *enginePool) freeze(name string) { e.engines[name].SetFaults(fakeengine.Faults{Freeze: true}) }

// complete runs one request and returns its tokens and the arrival time of each. If fault isn't nil, complete calls it
// once faultAfter tokens have arrived.
func (e *enginePool) complete(tb testing.TB, id, prompt string, maxTokens, faultAfter int, fault func()) (tokens []string, times []time.Time, err error) {
	tb.Helper()
	ctx, cancel := context.WithTimeout(tb.Context(), 30*time.Second)
	defer cancel()
	request := Request{ID: id, Route: table.Route{Name: "r", Pool: "model"}, Prompt: prompt, MaxTokens: maxTokens}
	_, err = e.runner.Run(ctx, request, func(token string) error {
		tokens, times = append(tokens, token), append(times, time.Now())
		if len(tokens) == faultAfter && fault != nil {
			fault()
		}
		return nil
	})
	return tokens, times, err
}

// longPrompt returns a prompt of about the given number of tokens, whose prefix is unique to the id.
func longPrompt(id, tokens int) string {
	prefix := fmt.Sprintf("%08d", id)
	return prefix + strings.Repeat("abcd", max(0, tokens-len(prefix)/engine.TokenBytes))
}

// proxy forwards TCP connections. It can black-hole the open ones, or all those that carry activations.
type proxy struct {
	address  string
	target   string
	listener net.Listener

	mu                 sync.Mutex
	conns              []*connPair
	activationsDropped atomic.Bool
}

// connPair is a client connection and its connection to the target. A black-holed pair drops every byte but stays open.
type connPair struct {
	client, server net.Conn
	blackholed     atomic.Bool
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
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &connPair{client: client, server: server}
		p.mu.Lock()
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		go p.relay(c, client, server)
		go p.relay(c, server, client)
	}
}

// relay copies one direction of a connection and drops all bytes once the pair is black-holed.
func (p *proxy) relay(c *connPair, from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if p.activationsDropped.Load() && bytes.Contains(buffer[:n], []byte(engine.PathActivation)) {
			c.blackholed.Store(true)
		}
		if c.blackholed.Load() {
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
			_, _ = c.client.Close(), c.server.Close()
			return
		}
	}
}

// blackhole permanently black-holes all connections that are open now; new ones still work.
func (p *proxy) blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.blackholed.Store(true)
	}
}

// dropActivations black-holes every connection that carries an activation from now on, new connections included.
func (p *proxy) dropActivations() { p.activationsDropped.Store(true) }

// kill refuses new connections and closes the open ones.
func (p *proxy) kill() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_, _ = c.client.Close(), c.server.Close()
	}
}
