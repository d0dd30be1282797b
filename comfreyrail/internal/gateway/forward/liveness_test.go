package forward

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

var errNoResponse = errors.New("no response")

// newStreamAttempt returns a Forwarder, a job and an attempt along four engines. The engines respond to probes with the
// result of state, and probes counts them.
func newStreamAttempt(
	t *testing.T, state func(id string) (backend.State, error), probes *atomic.Int32,
) (*Forwarder, *job, *streamAttempt) {
	t.Helper()
	f := New(Config{
		Catalog: newCatalog(t, &gateway{}, route.Config{Version: 1}, newSharedStore(nil)), Log: discardLog(),
		FetchState: func(_ context.Context, server backend.Server) (backend.State, error) {
			probes.Add(1)
			return state(server.ID)
		},
	})
	engine := &backend.EngineSpec{Layers: 8, StepsPerPass: 1, StepTime: time.Millisecond, Cards: []backend.Card{{Name: "card", MemoryMB: 1000, DecodeFactor: 1, PrefillFactor: 1}}}
	a := &streamAttempt{service: &route.Service{Name: "llm", Engine: engine}, progressAt: time.Now()}
	var servers []backend.Server
	for i := range 4 {
		id := fmt.Sprintf("e%d", i)
		layers := backend.Range{From: 2 * i, To: 2*i + 2}
		server := backend.Server{ID: id, Address: id + ":1", Service: "llm", Card: "card", Layers: layers}
		servers = append(servers, server)
		a.chain = append(a.chain, pipeline.Stage{Server: server, Layers: layers})
	}
	chooser := pipeline.New(pipeline.Config{})
	chooser.SetEngines(engine, servers, 1)
	f.selector.engines["llm"] = &serviceEngines{chooser: chooser}
	return f, &job{request: call.Request{ID: "mine"}}, a
}

// Guards against a reroute around an engine that responds or that only another request is waiting for, and against
// marking all engines as dead when this instance is disconnected.
func TestFindFaultyStage(t *testing.T) {
	reportStall := func(request, address string) func(id string) (backend.State, error) {
		return func(id string) (backend.State, error) {
			if id == "e0" {
				return backend.State{Stalled: []backend.StalledRequest{
					{Request: "another", Address: "e3:1"}, {Request: request, Address: address},
				}}, nil
			}
			return backend.State{}, nil
		}
	}
	failProbes := func(ids ...string) func(id string) (backend.State, error) {
		return func(id string) (backend.State, error) {
			for _, one := range ids {
				if id == one {
					return backend.State{}, errNoResponse
				}
			}
			return backend.State{}, nil
		}
	}
	tests := []struct {
		name  string
		state func(id string) (backend.State, error)
		stage int
		want  bool
	}{
		{"all respond", failProbes(), 0, false},
		{"one fails", failProbes("e2"), 2, true},
		{"first engine fails", failProbes("e0"), 0, true},
		{"first of two that fail", failProbes("e1", "e3"), 1, true},
		{"all fail: instance may be disconnected", failProbes("e0", "e1", "e2", "e3"), 0, false},
		{"stall reported for the request", reportStall("mine", "e2:1"), 2, true},
		{"stall reported for another request", reportStall("other", "e2:1"), 0, false},
		{"stall reported outside the chain", reportStall("mine", "e9:1"), 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var probes atomic.Int32
			f, j, a := newStreamAttempt(t, test.state, &probes)
			stage, got := f.findFaultyStage(context.Background(), j, a, 0)
			if got != test.want || got && stage != test.stage {
				t.Errorf("got stage %d, %v, want %d, %v", stage, got, test.stage, test.want)
			}
		})
	}
}

// Guards against an overload of probes when many requests stall at the same time: they share the results of the probes, and
// the rate limit is never exceeded.
func TestLivenessProbesAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var probes atomic.Int32
		f, j, a := newStreamAttempt(t, func(string) (backend.State, error) { return backend.State{}, nil }, &probes)
		for range 50 {
			f.findFaultyStage(context.Background(), j, a, 0)
		}
		if got, want := int(probes.Load()), len(a.chain); got != want {
			t.Errorf("got %d probes for 50 checks within livenessTTL, want %d", got, want)
		}
		f.liveness.permits = 0
		for _, stage := range a.chain {
			delete(f.liveness.results, stage.Server.ID)
		}
		f.findFaultyStage(context.Background(), j, a, 0)
		if got, want := int(probes.Load()), len(a.chain); got != want {
			t.Errorf("got %d probes without permits, want no more than %d", got, want)
		}
	})
}

// Once one attempt has found an engine dead, all attempts must treat it as dead without another probe.
func TestDeadEngineKnownToAllAttempts(t *testing.T) {
	var probes atomic.Int32
	f, j, a := newStreamAttempt(t, func(id string) (backend.State, error) {
		if id == "e2" {
			return backend.State{}, errNoResponse
		}
		return backend.State{}, nil
	}, &probes)
	f.findFaultyStage(context.Background(), j, a, 0)
	before := probes.Load()
	if stage, ok := f.selector.deadStage(a, 0); !ok || stage != 2 {
		t.Errorf("got stage %d, %v, want 2", stage, ok)
	}
	if got := probes.Load(); got != before {
		t.Errorf("got %d more probes, want none", got-before)
	}
}
