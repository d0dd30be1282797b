package stream

import (
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// Guards against an answer that is given up for want of budget with the message that no chain was left.
func TestGiveUpNamesTheObstacle(t *testing.T) {
	allow, refuse := func(time.Time) bool { return true }, func(time.Time) bool { return false }
	tests := []struct {
		name        string
		choose      bool
		takeAttempt func(time.Time) bool
		takeRetry   bool
		want        string
	}{
		{"no chain", false, allow, true, "no chain of backend servers is left"},
		{"attempt budget", true, refuse, true, "the attempt budget"},
		{"retry budget", true, allow, false, "the retry budget"},
	}
	for _, test := range tests {
		chosen := chain.Chain{Stages: []engine.Stage{{Server: "a"}, {Server: "b"}}}
		r := NewRecovery(RecoveryConfig{
			Choose:      func([]chain.Server, chain.Request) (chain.Chain, bool) { return chosen, test.choose },
			TakeAttempt: test.takeAttempt, TakeRetry: func() bool { return test.takeRetry },
			Rand: rand.New(rand.NewSource(1)), MaxAttemptsWithoutProgress: 10, MaxChainWait: time.Second, BaseBackoff: time.Millisecond, MaxBackoff: time.Millisecond,
		})
		now := time.Unix(1_800_000_000, 0)
		failure := AttemptFailure{Chain: chosen, Stages: []StageStatus{{Failed: true}, {Failed: true}}, Reason: "a stage did not open in time"}
		step := r.Decide(now, failure, nil)
		if step.Strategy != RetryLater {
			t.Errorf("%s: got %v, want %v before MaxChainWait", test.name, step.Strategy, RetryLater)
		}
		step = r.ChangeChain(now.Add(time.Second), failure, nil)
		if step.Strategy != GiveUp || !strings.Contains(step.Reason, test.want) || !strings.Contains(step.Reason, failure.Reason) {
			t.Errorf("%s: got %v, %q, want %v that names %q and the failure", test.name, step.Strategy, step.Reason, GiveUp, test.want)
		}
	}
}
