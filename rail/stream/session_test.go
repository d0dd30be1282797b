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

// scriptedEngines responds to the actions of one Session in a fixed way.
type scriptedEngines struct {
	servers []chain.Server
	// refuseOpen makes the stages refuse to open.
	refuseOpen bool
	// refuseRun makes every run fail without effect.
	refuseRun bool
	// tokens is the number of tokens of the first run.
	tokens int
	// afterRun is called after the frames of each run, before the run fails.
	afterRun func(e *scriptedEngines)
	abandon  stream.Abandon
	// chains and imports hold the Chain and the Imports of each OpenStages.
	chains  []chain.Chain
	imports [][]string
	// takeAttempt is RecoveryConfig.TakeAttempt.
	takeAttempt func(now time.Time) bool
}

func server(name string, first, last int, version string) chain.Server {
	status := engine.Status{Server: name, First: first, Last: last, Version: version, LayerTime: 1}
	return chain.Server{Name: name, Address: name, Status: status, Usable: true}
}

func (e *scriptedEngines) respond(action stream.Action) (events []stream.Event) {
	switch action := action.(type) {
	case stream.OpenStages:
		e.chains, e.imports = append(e.chains, action.Chain), append(e.imports, action.Imports)
		for i := range action.Chain.Stages {
			if e.refuseOpen {
				return []stream.Event{stream.OpenFailed{Attempt: action.Attempt, Index: i, Reason: "refused"}}
			}
			events = append(events, stream.StageOpened{Attempt: action.Attempt, Index: i})
		}
	case stream.StartRun:
		if !e.refuseRun {
			events = e.frames(action)
		}
		e.afterRun(e)
		events = append(events, stream.RunFailed{Attempt: action.Attempt, NotRun: e.refuseRun, Reason: "broken"})
	case stream.ProbeStages:
		for i, stage := range action.Chain.Stages {
			alive := slices.ContainsFunc(e.servers, func(s chain.Server) bool { return s.Name == stage.Server })
			events = append(events, stream.StageProbed{Probe: action.Probe, Index: i, Responded: alive})
		}
	case stream.Abandon:
		e.abandon = action
	}
	return events
}

// frames returns the frames that arrive before the run fails. Only the first run has any.
func (e *scriptedEngines) frames(run stream.StartRun) (events []stream.Event) {
	tokens := slices.Clone(run.Resume)
	chosen := e.chains[len(e.chains)-1]
	var receipts []engine.Receipt
	for _, stage := range chosen.Stages {
		receipts = append(receipts, engine.Receipt{Server: stage.Server, First: stage.First, Last: stage.Last, Version: chosen.Version})
	}
	for range e.tokens {
		tokens = append(tokens, "t")
		events = append(events, stream.FrameArrived{Frame: engine.Frame{
			Stream: "s", Attempt: run.Attempt, Position: len(tokens) - 1, Token: "t",
			Receipts: receipts, Trace: engine.HashReceipts(receipts), Sum: tokenDigest("s", tokens),
		}})
	}
	e.tokens = 0
	return events
}

// run runs a Session to its end in virtual time.
func (e *scriptedEngines) run(t *testing.T) *stream.Session {
	t.Helper()
	now := time.Unix(1000, 0)
	s := stream.NewSession(stream.SessionConfig{
		Answer: stream.AnswerConfig{Stream: "s", Layers: 4, MaxTokens: 9, Checker: &invariant.Checker{}},
		Recovery: stream.RecoveryConfig{
			Choose: chain.ChooseCheapest, Request: chain.Request{Layers: 4}, Rand: rand.New(rand.NewSource(1)),
			TakeAttempt: e.takeAttempt, MaxAttemptsWithoutProgress: 4, BaseBackoff: time.Millisecond, MaxBackoff: time.Second, Cooldown: time.Second, MaxChainWait: time.Second,
		},
		Stall: stall.DefaultConfig(), Servers: func() []chain.Server { return e.servers },
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
		for _, event := range e.respond(action) {
			queue = append(queue, s.Handle(now, event)...)
		}
	}
	t.Fatal("session did not end")
	return nil
}

// TestSessionOutcome guards against a wrong outcome of an abandoned request, such as NotRun after a backend server may have
// run it.
func TestSessionOutcome(t *testing.T) {
	both := []chain.Server{server("a", 0, 2, "v1"), server("b", 2, 4, "v1")}
	replaceVersion := func(e *scriptedEngines) { e.servers = []chain.Server{server("c", 0, 2, "v2"), server("d", 2, 4, "v2")} }
	doNothing := func(*scriptedEngines) {}
	tests := []struct {
		name    string
		engines scriptedEngines
		want    outcome.Outcome
		code    outcome.Code
	}{
		{"no server", scriptedEngines{afterRun: doNothing}, outcome.NotRun, outcome.CodeNoServer},
		{"stages refuse", scriptedEngines{servers: both, refuseOpen: true, afterRun: doNothing}, outcome.NotRun, outcome.CodeNoServer},
		{"runs refused", scriptedEngines{servers: both, refuseRun: true, afterRun: doNothing}, outcome.NotRun, outcome.CodeNoServer},
		{"run fails before the first token", scriptedEngines{servers: both, afterRun: doNothing}, outcome.Unknown, outcome.CodeBackend},
		{"servers removed", scriptedEngines{servers: both, tokens: 2, afterRun: func(e *scriptedEngines) { e.servers = nil }}, outcome.Unknown, outcome.CodeNoServer},
		{"model version removed", scriptedEngines{servers: both, tokens: 2, afterRun: replaceVersion}, outcome.Unknown, outcome.CodeNoServer},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.engines.run(t)
			if got := test.engines.abandon; got.Outcome != test.want || got.Code != test.code {
				t.Errorf("got %s with code %s (%s), want %s with code %s", got.Outcome, got.Code, got.Reason, test.want, test.code)
			}
		})
	}
}

// TestSessionKeepsLiveStages checks that a stage that responds keeps its server, also when a cheaper one is available.
func TestSessionKeepsLiveStages(t *testing.T) {
	engines := scriptedEngines{servers: []chain.Server{server("a", 0, 2, "v1"), server("b", 2, 4, "v1")}, tokens: 2}
	engines.afterRun = func(engines *scriptedEngines) {
		engines.servers = []chain.Server{server("cheap", 0, 2, "v1"), server("a", 0, 2, "v1"), server("c", 2, 4, "v1")}
		engines.servers[1].Status.Queue = 9
	}
	engines.run(t)
	if got := engines.chains[1].Stages; got[0].Server != "a" || got[1].Server != "c" {
		t.Errorf("got second chain %v, want a to be kept and b replaced by c", got)
	}
}

// TestSessionTakeAttempt checks that RecoveryConfig.TakeAttempt limits the attempts without a new token.
func TestSessionTakeAttempt(t *testing.T) {
	tests := []struct {
		name         string
		refusals     int
		wantAttempts int
	}{
		{"always permitted", 0, 4},
		{"permitted after 5 refusals", 5, 4},
		{"never permitted", 1000, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			calls := 0
			engines := scriptedEngines{servers: []chain.Server{server("a", 0, 4, "v1"), server("b", 0, 4, "v1")}, afterRun: func(*scriptedEngines) {}}
			engines.takeAttempt = func(time.Time) bool {
				calls++
				return calls > test.refusals
			}
			engines.run(t)
			if got := len(engines.chains); got != test.wantAttempts {
				t.Errorf("got %d attempts, want %d", got, test.wantAttempts)
			}
		})
	}
}
