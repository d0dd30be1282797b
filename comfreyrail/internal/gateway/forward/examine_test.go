package forward

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

var errSilent = errors.New("no answer")

// newRun returns a Forwarder and a run over four engines that answer questions as the function says.
func newRun(t *testing.T, state func(id string) (backend.State, error), asked *atomic.Int32) (*Forwarder, *job, *run) {
	t.Helper()
	f := New(Config{
		Catalog: newCatalog(t, &gateway{}, route.Config{Version: 1}, nil), Log: quiet(),
		FetchState: func(_ context.Context, server backend.Server) (backend.State, error) {
			asked.Add(1)
			return state(server.ID)
		},
	})
	engine := &backend.EngineSpec{Layers: 8, StepsPerPass: 1, StepTime: time.Millisecond, Cards: []backend.Card{{Name: "card", MemoryMB: 1000, DecodeFactor: 1, PrefillFactor: 1}}}
	r := &run{service: &route.Service{Name: "llm", Engine: engine}, since: time.Now()}
	var servers []backend.Server
	for i := range 4 {
		id := fmt.Sprintf("e%d", i)
		layers := backend.Range{From: 2 * i, To: 2*i + 2}
		server := backend.Server{ID: id, Address: id + ":1", Service: "llm", Card: "card", Layers: layers}
		servers = append(servers, server)
		r.path = append(r.path, pipeline.Stage{Server: server, Layers: layers})
	}
	chooser := pipeline.New(pipeline.Config{})
	chooser.SetFleet(engine, servers, 1)
	f.fleet.engines["llm"] = &engines{chooser: chooser}
	return f, &job{request: call.Request{ID: "mine"}}, r
}

func TestExamineFindsWhoIsToBlame(t *testing.T) {
	names := func(request, address string) func(id string) (backend.State, error) {
		return func(id string) (backend.State, error) {
			if id == "e0" {
				return backend.State{Stalled: []backend.Stall{{Request: "another", Address: "e3:1"}, {Request: request, Address: address}}}, nil
			}
			return backend.State{}, nil
		}
	}
	silent := func(ids ...string) func(id string) (backend.State, error) {
		return func(id string) (backend.State, error) {
			for _, one := range ids {
				if id == one {
					return backend.State{}, errSilent
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
		{"all answer: slow, not dead", silent(), 0, false},
		{"the only one that does not answer", silent("e2"), 2, true},
		{"the first engine itself", silent("e0"), 0, true},
		{"the first of two that do not answer", silent("e1", "e3"), 1, true},
		{"none answers: this instance may be cut off", silent("e0", "e1", "e2", "e3"), 0, false},
		{"the one that the first engine names for the request", names("mine", "e2:1"), 2, true},
		{"not the one that it names for another request", names("other", "e2:1"), 0, false},
		{"not one beside the path", names("mine", "e9:1"), 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var asked atomic.Int32
			f, j, r := newRun(t, test.state, &asked)
			stage, got := f.examine(context.Background(), j, r, 0)
			if got != test.want || got && stage != test.stage {
				t.Errorf("got stage %d, %v, want %d, %v", stage, got, test.stage, test.want)
			}
		})
	}
}

// Requests that fall silent together share the answers; nobody is asked beyond the budget.
func TestExamineSharesAnswers(t *testing.T) {
	var asked atomic.Int32
	f, j, r := newRun(t, func(string) (backend.State, error) { return backend.State{}, nil }, &asked)
	for range 50 {
		f.examine(context.Background(), j, r, 0)
	}
	if got, want := int(asked.Load()), len(r.path); got != want {
		t.Errorf("got %d questions for 50 requests at once, want %d", got, want)
	}
	f.examiner.allowed = 0
	for _, stage := range r.path {
		delete(f.examiner.findings, stage.Server.ID)
	}
	f.examine(context.Background(), j, r, 0)
	if got, want := int(asked.Load()), len(r.path); got != want {
		t.Errorf("got %d questions without a budget, want no more than %d", got, want)
	}
}

// Streams through a dead engine go past it without being asked for again, all of them once one has found it.
func TestDeadEngineIsKnownToAllRuns(t *testing.T) {
	var asked atomic.Int32
	f, j, r := newRun(t, func(id string) (backend.State, error) {
		if id == "e2" {
			return backend.State{}, errSilent
		}
		return backend.State{}, nil
	}, &asked)
	f.examine(context.Background(), j, r, 0)
	before := asked.Load()
	if stage, ok := f.fleet.dead(r, 0); !ok || stage != 2 {
		t.Errorf("got stage %d, %v, want 2", stage, ok)
	}
	if got := asked.Load(); got != before {
		t.Errorf("got %d more questions, want none", got-before)
	}
}
