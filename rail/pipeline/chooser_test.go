package pipeline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

var start = time.Unix(1_800_000_000, 0)

func testSpec() *backend.EngineSpec {
	return &backend.EngineSpec{
		Layers: 80, LayerMB: 1750, KVTokenBytes: 918000, StepTime: 1020 * time.Microsecond,
		StepTimePerSequence: 7140 * time.Nanosecond, StepTimePerContextToken: 10 * time.Nanosecond,
		PrefillTimePerToken: 9524 * time.Nanosecond, StepsPerPass: 3, ActivationBytes: 45900, ZoneMbps: 26000,
		Cards: []backend.Card{
			{Name: "large", MemoryMB: 72000, DecodeFactor: 2.4, PrefillFactor: 3.2},
			{Name: "small", MemoryMB: 21600, DecodeFactor: 16, PrefillFactor: 8.2},
		},
		Delays: []backend.Delay{{From: "a", To: "b", OneWay: 750 * time.Microsecond}},
	}
}

// engines returns count engines that each hold an equal part of the 80 layers.
func engines(zone, card string, count int) (servers []backend.Server) {
	size := 80 / count
	for i := range count {
		id := fmt.Sprintf("%s-%s-%d", zone, card, i)
		servers = append(servers, backend.Server{
			ID: id, Address: id, Zone: zone, Card: card, Layers: backend.Range{From: i * size, To: (i + 1) * size},
		})
	}
	return servers
}

func newChooser(servers []backend.Server, instances int) *Chooser {
	random := rand.New(rand.NewPCG(1, 2))
	c := New(Config{Random: random.Float64})
	c.SetEngines(testSpec(), servers, instances)
	return c
}

var usualRequest = Request{PromptTokens: 760, OutputTokens: 200, Zone: "a"}

// TestChooseRunsEveryLayerOnceInOrder guards against chains that skip or repeat a layer, or use an engine twice.
func TestChooseRunsEveryLayerOnceInOrder(t *testing.T) {
	servers := append(engines("a", "large", 4), engines("b", "small", 8)...)
	c := newChooser(servers, 6)
	for i := range 200 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		chain, ok := c.Choose(now, usualRequest)
		if !ok {
			continue
		}
		if !Covers(chain, 80) {
			t.Fatalf("chain %+v does not run every layer once in order", chain)
		}
		seen := make(map[string]bool)
		for _, stage := range chain {
			if seen[stage.Server.ID] {
				t.Fatalf("engine %s appears twice in %+v", stage.Server.ID, chain)
			}
			seen[stage.Server.ID] = true
		}
		c.Started(now, chain, usualRequest)
	}
}

// TestChooseSkipsSuspectedAndAvoidedEngines guards against a retry on an engine on which the request failed, and
// against using a suspected engine while others hold its layers.
func TestChooseSkipsSuspectedAndAvoidedEngines(t *testing.T) {
	servers := append(engines("a", "large", 4), engines("a", "small", 8)...)
	c := newChooser(servers, 1)
	c.MarkSuspected(start, "a-large-1")
	request := usualRequest
	request.Avoid = []string{"a-large-3"}
	chain, ok := c.Choose(start, request)
	if !ok {
		t.Fatal("got no chain, want one over the other engines")
	}
	for _, stage := range chain {
		if stage.Server.ID == "a-large-1" || stage.Server.ID == "a-large-3" {
			t.Errorf("chain uses %s, want a chain without suspected and avoided engines", stage.Server.ID)
		}
	}
}

// TestChooseRefusesWithoutMemory guards against accepting more requests than fit in memory: a small engine holds the KV
// cache of less than 35,800 tokens, and each request takes 960.
func TestChooseRefusesWithoutMemory(t *testing.T) {
	c := newChooser(engines("a", "small", 8), 1)
	started := 0
	for range 1000 {
		chain, ok := c.Choose(start, usualRequest)
		if !ok {
			break
		}
		c.Started(start, chain, usualRequest)
		started++
	}
	if most := int(35800 / 960); started == 0 || started > most {
		t.Errorf("got %d requests started, want 1 to %d", started, most)
	}
}

// TestEndedReleasesMemory guards against reservations that outlive their requests until Choose refuses all others.
func TestEndedReleasesMemory(t *testing.T) {
	c := newChooser(engines("a", "small", 8), 1)
	for range 500 {
		chain, ok := c.Choose(start, usualRequest)
		if !ok {
			t.Fatal("got no chain, want one while no request is in progress")
		}
		c.Started(start, chain, usualRequest)
		c.Ended(chain, usualRequest)
	}
}

// TestChooseNeedsEveryLayer guards against chains that leave out layers that no engine holds.
func TestChooseNeedsEveryLayer(t *testing.T) {
	servers := engines("a", "small", 8)
	c := newChooser(append(servers[:3:3], servers[4:]...), 1)
	if chain, ok := c.Choose(start, usualRequest); ok {
		t.Errorf("got %+v, want no chain while no engine holds some of the layers", chain)
	}
}

// TestChooseAvoidsCrossingZones guards against overloading the link between zones, which carries 59 requests a second
// at a utilization of 0.8: if the instance's zone lacks an engine for some layers, requests run wholly in another zone
// rather than cross the link in the middle of the chain.
func TestChooseAvoidsCrossingZones(t *testing.T) {
	near, far := engines("a", "large", 4), engines("b", "large", 4)
	c := newChooser(append(append(near[:2:2], near[3]), far...), 1)
	crossings, count := 0, 300
	for i := range count {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		chain, ok := c.Choose(now, usualRequest)
		if !ok {
			t.Fatal("got no chain")
		}
		c.Started(now, chain, usualRequest)
		c.Ended(chain, usualRequest)
		for j := 1; j < len(chain); j++ {
			if chain[j].Server.Zone != chain[j-1].Server.Zone {
				crossings++
			}
		}
	}
	seconds := float64(count) * 0.01
	utilization := float64(crossings) * c.transferSeconds(usualRequest) / seconds
	if utilization > 0.8 {
		t.Errorf("got link utilization %.2f, want at most 0.8", utilization)
	}
}

// TestChooseNeverTakesADeadEngine guards against sending a request to a dead engine if no other engine holds its
// layers; Choose refuses the request instead.
func TestChooseNeverTakesADeadEngine(t *testing.T) {
	c := newChooser(engines("a", "large", 4), 1)
	c.ProbeFailed(start, "a-large-1")
	if chain, ok := c.Choose(start, usualRequest); ok {
		t.Errorf("got %+v, want no chain over an engine whose probe failed", chain)
	}
	if _, ok := c.Choose(start.Add(deadDuration), usualRequest); !ok {
		t.Error("got no chain, want one once the failed probe is older than deadDuration")
	}
}

// TestChoosePrefersDetourToSuspectedEngine guards against a suspectPenalty below the cost of a saturated link, with
// which a chain over suspected engines would win over the detour.
func TestChoosePrefersDetourToSuspectedEngine(t *testing.T) {
	near, far := engines("a", "large", 4), engines("b", "large", 4)
	c := newChooser(append(near, far...), 1)
	c.state(linkID("a", "b")).addWork(start, 100)
	suspected := []string{"a-large-1", "b-large-0", "b-large-2", "b-large-3"}
	for _, id := range suspected {
		c.MarkSuspected(start, id)
	}
	chain, ok := c.Choose(start, usualRequest)
	if !ok {
		t.Fatal("got no chain")
	}
	for _, stage := range chain {
		if slices.Contains(suspected, stage.Server.ID) {
			t.Errorf("chain uses %s, want the detour over the saturated link", stage.Server.ID)
		}
	}
}

// TestOwnProgressOverridesPeerSuspicion guards against avoiding a zone because an instance that cannot reach it keeps
// reporting its engines as suspected, although this instance's own requests make progress there.
func TestOwnProgressOverridesPeerSuspicion(t *testing.T) {
	near, far := engines("a", "large", 4), engines("b", "large", 4)
	c := New(Config{Random: func() float64 { return 0.5 }, PeerUsage: func(id string) (Usage, bool) { return Usage{FailedRecently: id[0] == 'a'}, true }})
	c.SetEngines(testSpec(), append(near, far...), 2)
	tests := []struct {
		name          string
		sinceProgress time.Duration // in the suspected zone
		want          string
	}{{"progress just now", 100 * time.Millisecond, "a"}, {"none lately", time.Second, "b"}}
	for _, test := range tests {
		c.Progressed(start, chainOver(near), 30*time.Millisecond)
		chain, ok := c.Choose(start.Add(test.sinceProgress), usualRequest)
		if !ok {
			t.Fatal("got no chain")
		}
		if got := chain[0].Server.Zone; got != test.want {
			t.Errorf("%s: got a chain in zone %s, want %s", test.name, got, test.want)
		}
	}
}
