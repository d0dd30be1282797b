package forward

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
)

// When several engines die at once, hundreds of streams are moved to the few that hold the same layers, and some of these
// have no memory left. A stream must then be moved to another one at once instead of waiting for the dead engine, and an order
// with an unknown outcome must not be followed by another.
func TestRerouteTriesOtherEnginesAfterRejection(t *testing.T) {
	errFull, errLost := errors.New("full"), errors.New("no response")
	tests := []struct {
		name   string
		reject func(try int, address string) error
		tries  int
		moved  bool
	}{
		{"accepted", func(int, string) error { return nil }, 1, true},
		{"first engine full, named", func(try int, address string) error {
			if try == 1 {
				return &call.StageRejectedError{Address: address, Cause: errFull}
			}
			return nil
		}, 2, true},
		{"first engine full, not named", func(try int, _ string) error {
			if try == 1 {
				return &call.StageRejectedError{Cause: errFull}
			}
			return nil
		}, 2, true},
		{"all full", func(_ int, address string) error { return &call.StageRejectedError{Address: address, Cause: errFull} }, 3, false},
		{"response lost", func(int, string) error { return errLost }, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, j, a := newStreamAttempt(t, func(string) (backend.State, error) { return backend.State{}, nil }, new(atomic.Int32))
			var servers []backend.Server
			for _, stage := range a.chain {
				servers = append(servers, stage.Server)
			}
			for _, id := range []string{"spare1", "spare2", "spare3"} {
				servers = append(servers, backend.Server{ID: id, Address: id + ":1", Service: "llm", Card: "card", Layers: a.chain[2].Layers})
			}
			f.selector.engines["llm"].chooser.SetEngines(a.service.Engine, servers, 1)
			var used []string
			f.config.Reroute = func(_ context.Context, _ backend.Server, _ string, stages []call.Stage) error {
				used = append(used, stages[2].Address)
				return test.reject(len(used), stages[2].Address)
			}
			before := a.chain[2].Server.Address
			f.reroute(context.Background(), j, a, 2)
			if moved := a.chain[2].Server.Address != before; len(used) != test.tries || moved != test.moved {
				t.Errorf("got engines %v tried, moved %v, want %d and %v", used, moved, test.tries, test.moved)
			}
			if slices.Sort(used); len(slices.Compact(used)) != test.tries {
				t.Errorf("got engines %v tried, want each only once", used)
			}
		})
	}
}

// When engines die at the same time, a chain may hold two of them. The first engine names the second dead one when it refuses to
// replace the first, and both must then be replaced with one order.
func TestRerouteReplacesTwoDeadEngines(t *testing.T) {
	f, j, a := newStreamAttempt(t, func(string) (backend.State, error) { return backend.State{}, nil }, new(atomic.Int32))
	var servers []backend.Server
	for i, stage := range a.chain {
		servers = append(servers, stage.Server)
		if i > 0 {
			spare := stage.Server
			spare.ID, spare.Address = "spare-"+spare.ID, "spare-"+spare.Address
			servers = append(servers, spare)
		}
	}
	f.selector.engines["llm"].chooser.SetEngines(a.service.Engine, servers, 1)
	dead := []string{a.chain[1].Server.Address, a.chain[3].Server.Address}
	tries := 0
	f.config.Reroute = func(_ context.Context, _ backend.Server, _ string, stages []call.Stage) error {
		tries++
		for _, stage := range stages {
			if slices.Contains(dead, stage.Address) {
				return &call.StageRejectedError{Address: stage.Address, Cause: errors.New("not there")}
			}
		}
		return nil
	}
	f.reroute(context.Background(), j, a, 1)
	want := []string{"e0", "spare-e1", "e2", "spare-e3"}
	var got []string
	for _, stage := range a.chain {
		got = append(got, stage.Server.ID)
	}
	if !slices.Equal(got, want) || tries != 2 {
		t.Errorf("got the chain %v after %d orders, want %v after 2", got, tries, want)
	}
}

// If the engine that cannot take over is not named, all new engines must be left out; a dead engine of the chain is replaced.
func TestReroutePlanRejects(t *testing.T) {
	chain := func(ids ...string) (chain pipeline.Chain) {
		for _, id := range ids {
			chain = append(chain, pipeline.Stage{Server: backend.Server{ID: id, Address: id + ":1"}})
		}
		return chain
	}
	current, planned := chain("a", "dead", "c"), chain("a", "new1", "new2", "c")
	tests := []struct {
		address           string
		replaced, avoided []string
	}{{"new2:1", []string{"dead"}, []string{"new2"}}, {"", []string{"dead"}, []string{"new1", "new2"}}, {"c:1", []string{"dead", "c"}, nil}}
	for _, test := range tests {
		plan := reroutePlan{replaced: []string{"dead"}}
		plan.reject(current, planned, test.address)
		if !slices.Equal(plan.replaced, test.replaced) || !slices.Equal(plan.avoided, test.avoided) {
			t.Errorf("address %q: got %+v, want %v replaced and %v avoided", test.address, plan, test.replaced, test.avoided)
		}
	}
}
