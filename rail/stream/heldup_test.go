package stream_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/stall"
	"github.com/comfreyrail/comfreyrail/rail/stream"
)

// newTestSession returns a session on two engines that ends after a minute.
func newTestSession(now time.Time) *stream.Session {
	servers := []chain.Server{server("a", 0, 2, "v1"), server("b", 2, 4, "v1")}
	return stream.NewSession(stream.SessionConfig{
		Answer: stream.AnswerConfig{Stream: "s", Layers: 4, MaxTokens: 9, Checker: &invariant.Checker{}},
		Recovery: stream.RecoveryConfig{
			Choose: chain.ChooseCheapest, Request: chain.Request{Layers: 4}, Rand: rand.New(rand.NewSource(1)),
			MaxAttemptsWithoutProgress: 4, BaseBackoff: time.Millisecond, MaxBackoff: time.Second, Cooldown: time.Second, MaxChainWait: time.Second,
		},
		Stall: stall.DefaultConfig(), Servers: func() []chain.Server { return servers },
		OpenTimeout: time.Second, ProbeTimeout: time.Second, Deadline: now.Add(time.Minute),
	})
}

// TestHoldUpIsNoStall guards against sound engines being given up, or a running stream being taken for a silent one, after a hold-up
// of this process that exceeds each timeout.
func TestHoldUpIsNoStall(t *testing.T) {
	const heldUp = 5 * time.Second
	opened := func(s *stream.Session, now time.Time) {
		s.Handle(now, stream.StageOpened{Attempt: 1, Index: 0})
		s.Handle(now, stream.StageOpened{Attempt: 1, Index: 1})
	}
	tests := []struct {
		name    string
		prepare func(s *stream.Session, now time.Time)
	}{
		{"opening", func(*stream.Session, time.Time) {}},
		{"running", opened},
		{"probing", func(s *stream.Session, now time.Time) {
			opened(s, now)
			s.Handle(now, stream.RunFailed{Attempt: 1, Reason: "broken"})
		}},
	}
	for _, test := range tests {
		now := time.Unix(1000, 0)
		s := newTestSession(now)
		s.Begin(now)
		test.prepare(s, now)
		due := s.NextTick()
		now = now.Add(heldUp)
		s.Handle(now, stream.HeldUp{Duration: heldUp})
		if actions := s.Handle(now, stream.Tick{}); len(actions) > 0 {
			t.Errorf("%s: got actions %+v after the hold-up, want none", test.name, actions)
		}
		if got, want := s.NextTick(), due.Add(heldUp); !got.Equal(want) {
			t.Errorf("%s: got the next tick %v later, want %v", test.name, got.Sub(due), want.Sub(due))
		}
	}
}

// TestDeadlineInHoldUp guards against a request that goes on after its deadline because this process was held up.
func TestDeadlineInHoldUp(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newTestSession(now)
	s.Begin(now)
	now = now.Add(2 * time.Minute)
	for _, action := range s.Handle(now, stream.HeldUp{Duration: 2 * time.Minute}) {
		if abandon, ok := action.(stream.Abandon); ok && abandon.Code == outcome.CodeDeadline && s.Ended() {
			return
		}
	}
	t.Error("got a session that goes on after its deadline, want it abandoned")
}
