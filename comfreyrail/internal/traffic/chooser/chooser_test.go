package chooser

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/controltest"
	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// newChooser returns a chooser whose state holds a pool of two stages with two servers each, and a function that returns
// these servers.
func newChooser(t *testing.T) (*Chooser, func() []chain.Server) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	state := control.New(control.Config{Log: logrus.NewEntry(logger), Checker: new(invariant.Checker)})
	go func() { _ = state.Serve(t.Context()) }()
	pool := table.Pool{Name: "model", Kind: table.ModelPool, Layers: 4}
	for _, name := range []string{"a", "b", "c", "d"} {
		pool.Servers = append(pool.Servers, table.Server{Name: name, Address: "127.0.0.1:1", Zone: "zone"})
	}
	if err := controltest.Install(context.Background(), state, &table.Tables{Generation: 1, Pools: []table.Pool{pool}}); err != nil {
		t.Fatal(err)
	}
	for i, row := range pool.Servers {
		status := engine.Status{Server: row.Name, First: i / 2 * 2, Last: i/2*2 + 2, Version: "v1", LayerTime: time.Millisecond, Slots: 1}
		state.Send(context.Background(), control.ServerReported{Name: row.Name, Status: status, At: time.Now()})
	}
	for len(usable(state.Snapshot())) < len(pool.Servers) {
		time.Sleep(time.Millisecond)
	}
	chooser := New(Config{Control: state, Name: "i", Zone: "zone", Now: time.Now, Seed: 1, Checker: new(invariant.Checker)})
	return chooser, func() []chain.Server { return state.Snapshot().AppendServers(nil, pool) }
}

// usable returns the names of the usable backend servers in the snapshot.
func usable(snapshot *control.Snapshot) (names []string) {
	for name, server := range snapshot.Servers {
		if server.Usable {
			names = append(names, name)
		}
	}
	return names
}

// TestChooseChainSpreadsRequests checks that requests in progress are spread evenly, and that ending a request twice counts it
// as ended once.
func TestChooseChainSpreadsRequests(t *testing.T) {
	chooser, servers := newChooser(t)
	request := chain.Request{Pool: "model", Layers: 4}
	requests := make(map[string]int)
	dones := make([]func(), 0, 10)
	for range 10 {
		chosen, ok := chooser.ChooseChain(servers(), request)
		if !ok {
			t.Fatal("got no chain, want one")
		}
		dones = append(dones, chooser.Track("model", chosen))
		for _, stage := range chosen.Stages {
			requests[stage.Server]++
		}
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		if got, want := requests[name], 5; got != want {
			t.Errorf("requests at %s: got %d, want %d", name, got, want)
		}
	}
	for _, done := range dones {
		done()
		done()
	}
	if got, want := chooser.pools["model"].picker.InFlight("a"), 0; got != want {
		t.Errorf("requests in progress after the end: got %d, want %d", got, want)
	}
	if got, want := chooser.config.Checker.Violations(), uint64(0); got != want {
		t.Errorf("violations: got %d, want %d", got, want)
	}
}

// TestChooseChainAmongSelectedServers checks that a chain contains no server that wasn't passed to ChooseChain.
func TestChooseChainAmongSelectedServers(t *testing.T) {
	chooser, servers := newChooser(t)
	request := chain.Request{Pool: "model", Layers: 4}
	all := servers()
	chosen, ok := chooser.ChooseChain([]chain.Server{all[1], all[2]}, request)
	if !ok || !chosen.Uses("b") || !chosen.Uses("c") {
		t.Errorf("chain: got %v, want a chain of b and c", chosen)
	}
	if _, ok = chooser.ChooseChain(all[:2], request); ok {
		t.Error("chain without the second stage: got one, want none")
	}
	if _, ok = chooser.ChooseChain(all, request); !ok {
		t.Error("chain of all servers: got none, want one")
	}
}
