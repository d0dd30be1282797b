package stream

import (
	"math/rand"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// TestBudgetHoldsBackFruitlessAttempts denies every retry and fails attempts with and without new tokens.
func TestBudgetHoldsBackFruitlessAttempts(t *testing.T) {
	cases := []struct {
		name      string
		delivered int
		want      Strategy
	}{
		{name: "new tokens", delivered: 3, want: Rechain},
		{name: "no new token", delivered: 0, want: RetryLater},
	}
	status := func(name string) chain.Server {
		return chain.Server{Name: name, Usable: true, Status: engine.Status{Server: name, Last: 4, Version: "v1"}}
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			recovery := NewRecovery(RecoveryConfig{
				Choose: chain.Choose, Request: chain.Request{Layers: 4}, Rand: rand.New(rand.NewSource(1)),
				MaxAttemptsWithoutProgress: 9, BaseBackoff: time.Millisecond, MaxBackoff: time.Second, Cooldown: time.Second, MaxChainWait: time.Second,
				TakeRetry: func() bool { return false },
			})
			now, servers := time.Unix(1, 0), []chain.Server{status("a"), status("b")}
			begin := recovery.Begin(now, servers)
			failed := AttemptFailure{Plan: begin.Plan, Stages: []StageStatus{{Failed: true}}, Delivered: c.delivered, Reason: "test"}
			if got := recovery.Decide(now, failed, servers).Strategy; got != c.want {
				t.Errorf("way: got %s, want %s", got, c.want)
			}
		})
	}
}
