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
		want      Way
	}{
		{name: "new tokens", delivered: 3, want: Rechain},
		{name: "no new token", delivered: 0, want: Later},
	}
	status := func(name string) chain.Server {
		return chain.Server{Name: name, Usable: true, Status: engine.Status{Server: name, Last: 4, Version: "v1"}}
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			recovery := NewRecovery(RecoveryConfig{
				Choose: chain.Choose, Request: chain.Request{Layers: 4}, Rand: rand.New(rand.NewSource(1)),
				MaxFruitless: 9, Backoff: time.Millisecond, MaxBackoff: time.Second, Avoid: time.Second, Patience: time.Second,
				Retry: func() bool { return false },
			})
			now, servers := time.Unix(1, 0), []chain.Server{status("a"), status("b")}
			begin := recovery.Begin(now, servers)
			failed := Failure{Plan: begin.Plan, Stages: []Stage{{Bad: true}}, Delivered: c.delivered, Reason: "test"}
			if got := recovery.Decide(now, failed, servers).Way; got != c.want {
				t.Errorf("way: got %s, want %s", got, c.want)
			}
		})
	}
}
