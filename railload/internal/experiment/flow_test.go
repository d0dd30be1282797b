package experiment

import (
	"math/rand"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
)

// TestMaxFlow guards against a throughput bound that is too low or too high.
func TestMaxFlow(t *testing.T) {
	cases := []struct {
		name  string
		nodes int
		edges []edge
		want  float64
	}{
		{name: "no path", nodes: 3, edges: []edge{{0, 1, 5}}, want: 0},
		{name: "bottleneck stage", nodes: 3, edges: []edge{{0, 1, 5}, {0, 1, 2}, {1, 2, 4}}, want: 4},
		{name: "edge across both stages", nodes: 3, edges: []edge{{0, 1, 5}, {1, 2, 4}, {0, 2, 3}}, want: 7},
		{name: "rerouted flow", nodes: 4, edges: []edge{{0, 1, 1}, {0, 2, 1}, {1, 2, 1}, {1, 3, 1}, {2, 3, 1}}, want: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := maxFlow(c.nodes, c.edges); got != c.want {
				t.Errorf("flow: got %v, want %v", got, c.want)
			}
		})
	}
}

// TestThroughputBound guards against a simulation that generates more tokens than maxTokenRate allows, or under
// overload less than 90% of them.
func TestThroughputBound(t *testing.T) {
	const duration = 10 * time.Second // virtual time that is simulated
	virtualClock := new(clock)
	pool := newPool(virtualClock, rand.New(rand.NewSource(1)), layouts[1])
	chosen := pickerPolicy(8, actualInstanceCount)(virtualClock, rand.New(rand.NewSource(2)), 1)
	chosen.update(pool.servers)
	tokens := 0
	for range 1000 {
		picked, ok := chosen.choose(chain.Request{})
		if !ok {
			t.Fatal("no chain")
		}
		chosen.started(picked)
		pool.generate(picked, meanTokens, func() { tokens++ }, func() {})
	}
	virtualClock.runUntil(duration)
	got, bound := float64(tokens)/duration.Seconds(), pool.maxTokenRate()
	if got > bound || got < 0.9*bound {
		t.Errorf("tokens per second: got %.0f, want 90%% to 100%% of the bound %.0f", got, bound)
	}
}
