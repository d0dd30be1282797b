package stream

import (
	"math/rand"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// TestRetryBudgetDenied guards against retries without progress beyond the retry budget: with the budget used up, an attempt
// that delivered new tokens is still followed by another, and one without new tokens is not.
func TestRetryBudgetDenied(t *testing.T) {
	tests := []struct {
		name      string
		delivered int
		want      Strategy
	}{
		{name: "new tokens", delivered: 3, want: NewChain},
		{name: "no new token", delivered: 0, want: RetryLater},
	}
	newServer := func(name string) chain.Server {
		return chain.Server{Name: name, Usable: true, Status: engine.Status{Server: name, Last: 4, Version: "v1"}}
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			recovery := NewRecovery(RecoveryConfig{
				Choose: chain.ChooseCheapest, Request: chain.Request{Layers: 4}, Rand: rand.New(rand.NewSource(1)),
				MaxAttemptsWithoutProgress: 9, BaseBackoff: time.Millisecond, MaxBackoff: time.Second, Cooldown: time.Second, MaxChainWait: time.Second,
				TakeRetry: func() bool { return false },
			})
			now, servers := time.Unix(1, 0), []chain.Server{newServer("a"), newServer("b")}
			first := recovery.Begin(now, servers)
			failure := AttemptFailure{Chain: first.Chain, Stages: []StageStatus{{Failed: true}}, Delivered: test.delivered, Reason: "test"}
			if got := recovery.Decide(now, failure, servers).Strategy; got != test.want {
				t.Errorf("strategy: got %s, want %s", got, test.want)
			}
		})
	}
}
