package stream_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/stall"
	"github.com/comfreyrail/comfreyrail/rail/stream"
)

// Guards against an attempt given up because the time to open its stages passed, although they were open: each such attempt
// was taken from the budget of its pool, and once that was exhausted requests failed.
func TestStagesThatOpenedLateAreUsed(t *testing.T) {
	opened := func(index int) stream.Event { return stream.StageOpened{Attempt: 1, Index: index} }
	probed := func(index, attempt int) stream.Event {
		return stream.StageProbed{Probe: 1, Index: index, Responded: true, Progress: engine.Progress{Attempt: attempt}}
	}
	tests := []struct {
		name   string
		events []stream.Event // what arrives after the timeout
		want   int            // the number of runs of the first attempt that start
	}{
		{"probe finds both open", []stream.Event{probed(0, 1), probed(1, 1)}, 1},
		{"both responses are late", []stream.Event{opened(0), opened(1), probed(0, 1), probed(1, 1)}, 1},
		{"one response is late", []stream.Event{opened(0), probed(0, 1), probed(1, 1), opened(1)}, 1},
		{"call timed out", []stream.Event{stream.OpenFailed{Attempt: 1, Index: 1, TimedOut: true}, probed(0, 1), probed(1, 1)}, 1},
		{"one isn't open", []stream.Event{probed(0, 1), probed(1, 0)}, 0},
		{"one is silent", []stream.Event{probed(0, 1), stream.StageProbed{Probe: 1, Index: 1}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			servers := []chain.Server{server("a", 0, 2, "v1"), server("b", 2, 4, "v1")}
			s := stream.NewSession(stream.SessionConfig{
				Answer: stream.AnswerConfig{Stream: "s", Layers: 4, MaxTokens: 9, Checker: &invariant.Checker{}},
				Recovery: stream.RecoveryConfig{
					Choose: chain.ChooseCheapest, Request: chain.Request{Layers: 4}, Rand: rand.New(rand.NewSource(1)),
					MaxAttemptsWithoutProgress: 4, BaseBackoff: time.Millisecond, MaxBackoff: time.Second, Cooldown: time.Second, MaxChainWait: time.Second,
				},
				Stall: stall.DefaultConfig(), Servers: func() []chain.Server { return servers },
				OpenTimeout: time.Second, ProbeTimeout: time.Second, Deadline: now.Add(time.Minute),
			})
			s.Begin(now)
			now = s.NextTick()
			actions := s.Handle(now, stream.Tick{})
			for _, event := range test.events {
				actions = append(actions, s.Handle(now, event)...)
			}
			got := 0
			for _, action := range actions {
				if start, ok := action.(stream.StartRun); ok && start.Attempt == 1 {
					got++
				}
			}
			if got != test.want {
				t.Errorf("got %d runs of the first attempt, want %d", got, test.want)
			}
		})
	}
}
