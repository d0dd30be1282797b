package stream_test

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/stall"
	"github.com/comfreyrail/comfreyrail/rail/stream"
)

// world reacts to the actions of one Session by a script.
type world struct {
	servers   []chain.Server
	refuse    bool
	unsent    bool
	tokens    int
	afterRun  func(w *world)
	abandoned stream.Abandon
	plans     []chain.Plan
	imports   [][]string
	allow     func(now time.Time) bool
}

func server(name string, first, last int, version string) chain.Server {
	status := engine.Status{Server: name, First: first, Last: last, Version: version, LayerTime: 1}
	return chain.Server{Name: name, Address: name, Status: status, Usable: true}
}

func (w *world) react(action stream.Action) (events []stream.Event) {
	switch action := action.(type) {
	case stream.OpenStages:
		w.plans, w.imports = append(w.plans, action.Plan), append(w.imports, action.Imports)
		for i := range action.Plan.Hops {
			if w.refuse {
				return []stream.Event{stream.StageFailed{Attempt: action.Attempt, Index: i, Reason: "refused"}}
			}
			events = append(events, stream.StageOpened{Attempt: action.Attempt, Index: i})
		}
	case stream.StartRun:
		if !w.unsent {
			events = w.frames(action)
		}
		w.afterRun(w)
		events = append(events, stream.RunFailed{Attempt: action.Attempt, NotRun: w.unsent, Reason: "broken"})
	case stream.ProbeStages:
		for i, hop := range action.Plan.Hops {
			alive := slices.ContainsFunc(w.servers, func(s chain.Server) bool { return s.Name == hop.Server })
			events = append(events, stream.StageProbed{Probe: action.Probe, Index: i, Answered: alive})
		}
	case stream.Abandon:
		w.abandoned = action
	}
	return events
}

// frames returns the tokens that the run yields before it breaks.
func (w *world) frames(run stream.StartRun) (events []stream.Event) {
	tokens := slices.Clone(run.Resume)
	plan := w.plans[len(w.plans)-1]
	var receipts []engine.Receipt
	for _, hop := range plan.Hops {
		receipts = append(receipts, engine.Receipt{Server: hop.Server, First: hop.First, Last: hop.Last, Version: plan.Version})
	}
	for range w.tokens {
		tokens = append(tokens, "t")
		events = append(events, stream.FrameArrived{Frame: engine.Frame{
			Stream: "s", Attempt: run.Attempt, Position: len(tokens) - 1, Token: "t",
			Receipts: receipts, Trace: engine.TraceOf(receipts), Sum: sum("s", tokens),
		}})
	}
	w.tokens = 0
	return events
}

// run drives a Session to its end in virtual time.
func (w *world) run(t *testing.T) *stream.Session {
	t.Helper()
	now := time.Unix(1000, 0)
	s := stream.NewSession(stream.SessionConfig{
		Answer: stream.AnswerConfig{Stream: "s", Layers: 4, MaxTokens: 9, Checker: &invariant.Checker{}},
		Recovery: stream.RecoveryConfig{
			Choose: chain.Choose, Request: chain.Request{Layers: 4}, Rand: rand.New(rand.NewSource(1)),
			Allow: w.allow, MaxAttemptsWithoutProgress: 4, BaseBackoff: time.Millisecond, MaxBackoff: time.Second, Cooldown: time.Second, MaxChainWait: time.Second,
		},
		Silence: stall.DefaultConfig(), Servers: func() []chain.Server { return w.servers },
		OpenTimeout: time.Second, ProbeTimeout: time.Second, Deadline: now.Add(time.Minute),
	})
	queue := s.Begin(now)
	for range 1000 {
		if s.Ended() && len(queue) == 0 {
			return s
		}
		if len(queue) == 0 {
			now = s.NextTick()
			queue = s.Handle(now, stream.Tick{})
			continue
		}
		action := queue[0]
		queue = queue[1:]
		for _, event := range w.react(action) {
			queue = append(queue, s.Handle(now, event)...)
		}
	}
	t.Fatal("the session does not end")
	return nil
}

func TestSessionTellsWhatIsKnown(t *testing.T) {
	both := []chain.Server{server("a", 0, 2, "v1"), server("b", 2, 4, "v1")}
	upgrade := func(w *world) { w.servers = []chain.Server{server("c", 0, 2, "v2"), server("d", 2, 4, "v2")} }
	nothing := func(*world) {}
	tests := []struct {
		name  string
		world world
		want  outcome.Outcome
		code  outcome.Code
	}{
		{"no server", world{afterRun: nothing}, outcome.NotRun, outcome.CodeNoServer},
		{"every stage refuses", world{servers: both, refuse: true, afterRun: nothing}, outcome.NotRun, outcome.CodeNoServer},
		{"every run is refused", world{servers: both, unsent: true, afterRun: nothing}, outcome.NotRun, outcome.CodeNoServer},
		{"the run breaks before a token", world{servers: both, afterRun: nothing}, outcome.Unknown, outcome.CodeBackend},
		{"the servers vanish", world{servers: both, tokens: 2, afterRun: func(w *world) { w.servers = nil }}, outcome.Unknown, outcome.CodeNoServer},
		{"the version vanishes", world{servers: both, tokens: 2, afterRun: upgrade}, outcome.Unknown, outcome.CodeNoServer},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.world.run(t)
			if got := test.world.abandoned; got.Outcome != test.want || got.Code != test.code {
				t.Errorf("got %s with code %s (%s), want %s with code %s", got.Outcome, got.Code, got.Reason, test.want, test.code)
			}
		})
	}
}

func TestSessionKeepsLiveStages(t *testing.T) {
	w := world{servers: []chain.Server{server("a", 0, 2, "v1"), server("b", 2, 4, "v1")}, tokens: 2}
	w.afterRun = func(w *world) {
		w.servers = []chain.Server{server("cheap", 0, 2, "v1"), server("a", 0, 2, "v1"), server("c", 2, 4, "v1")}
		w.servers[1].Status.Queue = 9
	}
	w.run(t)
	if got := w.plans[1].Hops; got[0].Server != "a" || got[1].Server != "c" {
		t.Errorf("got second plan %v, want a to be kept and b replaced by c", got)
	}
}

func TestSessionAsksForTheRetryBudget(t *testing.T) {
	tests := []struct {
		name     string
		refusals int
		want     int
	}{
		{"budget", 0, 4},
		{"budget after a while", 5, 4},
		{"no budget", 1000, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			asked := 0
			w := world{servers: []chain.Server{server("a", 0, 4, "v1"), server("b", 0, 4, "v1")}, afterRun: func(*world) {}}
			w.allow = func(time.Time) bool {
				asked++
				return asked > test.refusals
			}
			w.run(t)
			if got := len(w.plans); got != test.want {
				t.Errorf("got %d attempts, want %d", got, test.want)
			}
		})
	}
}
