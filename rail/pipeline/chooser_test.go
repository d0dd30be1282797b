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

func testEngine() *backend.EngineSpec {
	return &backend.EngineSpec{
		Layers: 80, LayerMB: 1750, KVTokenBytes: 918000, StepTime: 1020 * time.Microsecond,
		PerSequence: 7140 * time.Nanosecond, PerContext: 10 * time.Nanosecond, PerPromptToken: 9524 * time.Nanosecond,
		StepsPerPass: 3, ActivationBytes: 45900, ZoneMbps: 26000,
		Cards: []backend.Card{
			{Name: "large", MemoryMB: 72000, DecodeFactor: 2.4, PrefillFactor: 3.2},
			{Name: "small", MemoryMB: 21600, DecodeFactor: 16, PrefillFactor: 8.2},
		},
		Delays: []backend.Delay{{From: "a", To: "b", OneWay: 750 * time.Microsecond}},
	}
}

// engines returns one engine for each part of the layers.
func engines(zone, card string, parts int) (servers []backend.Server) {
	size := 80 / parts
	for i := range parts {
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
	c.SetFleet(testEngine(), servers, instances)
	return c
}

var usual = Request{PromptTokens: 760, OutputTokens: 200, Zone: "a"}

func TestChooseRunsEveryLayerOnceInOrder(t *testing.T) {
	servers := append(engines("a", "large", 4), engines("b", "small", 8)...)
	c := newChooser(servers, 6)
	for i := range 200 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		path, ok := c.Choose(now, usual)
		if !ok {
			continue
		}
		if !Covers(path, 80) {
			t.Fatalf("path %+v does not run every layer once in order", path)
		}
		seen := make(map[string]bool)
		for _, stage := range path {
			if seen[stage.Server.ID] {
				t.Fatalf("engine %s appears twice in %+v", stage.Server.ID, path)
			}
			seen[stage.Server.ID] = true
		}
		c.Started(now, path, usual)
	}
}

func TestChooseLeavesSuspectsAndAvoidedEnginesAlone(t *testing.T) {
	servers := append(engines("a", "large", 4), engines("a", "small", 8)...)
	c := newChooser(servers, 1)
	c.SuspectAddress(start, "a-large-1")
	request := usual
	request.Avoid = []string{"a-large-3"}
	path, ok := c.Choose(start, request)
	if !ok {
		t.Fatal("got no path, want one over the other engines")
	}
	for _, stage := range path {
		if stage.Server.ID == "a-large-1" || stage.Server.ID == "a-large-3" {
			t.Errorf("path uses %s, want it left alone", stage.Server.ID)
		}
	}
}

func TestChooseRefusesWhereAPartHasNoRoom(t *testing.T) {
	c := newChooser(engines("a", "small", 8), 1)
	started := 0
	for range 1000 {
		path, ok := c.Choose(start, usual)
		if !ok {
			break
		}
		c.Started(start, path, usual)
		started++
	}
	if most := int(35800 / 960); started == 0 || started > most {
		t.Errorf("got %d requests in memory, want 1 to %d", started, most)
	}
}

func TestEndedGivesTheMemoryBack(t *testing.T) {
	c := newChooser(engines("a", "small", 8), 1)
	for range 500 {
		path, ok := c.Choose(start, usual)
		if !ok {
			t.Fatal("got no path, want one while nothing is in progress")
		}
		c.Started(start, path, usual)
		c.Ended(path, usual)
	}
}

func TestChooseNeedsEveryLayer(t *testing.T) {
	servers := engines("a", "small", 8)
	c := newChooser(append(servers[:3:3], servers[4:]...), 1)
	if path, ok := c.Choose(start, usual); ok {
		t.Errorf("got %+v, want no path where a part is held by nobody", path)
	}
}

// All of one zone's requests lack a part there: they go to another zone as a whole rather than through the link, which
// carries 59 of them a second.
func TestChooseKeepsWholePathsInAZone(t *testing.T) {
	here, there := engines("a", "large", 4), engines("b", "large", 4)
	c := newChooser(append(append(here[:2:2], here[3]), there...), 1)
	crossings, count := 0, 300
	for i := range count {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		path, ok := c.Choose(now, usual)
		if !ok {
			t.Fatal("got no path")
		}
		c.Started(now, path, usual)
		c.Ended(path, usual)
		for j := 1; j < len(path); j++ {
			if path[j].Server.Zone != path[j-1].Server.Zone {
				crossings++
			}
		}
	}
	seconds := float64(count) * 0.01
	got := float64(crossings) * c.transfer(usual) / seconds
	if got > 0.8 {
		t.Errorf("the link is taken for %.2f of the time, want 0.8 at most", got)
	}
}

// Nobody else holds a dead engine's layers: a request is refused at once rather than sent to the dead one.
func TestChooseNeverTakesADeadEngine(t *testing.T) {
	c := newChooser(engines("a", "large", 4), 1)
	c.ProbeFailed(start, "a-large-1")
	if path, ok := c.Choose(start, usual); ok {
		t.Errorf("got %+v, want no path over an engine that does not answer", path)
	}
	if _, ok := c.Choose(start.Add(deadTime), usual); !ok {
		t.Error("got no path, want one once the engine has not been asked for long")
	}
}

// Links between zones are full: a detour over them is still better than an engine that failed.
func TestChooseTakesAnyDetourBeforeASuspect(t *testing.T) {
	here, there := engines("a", "large", 4), engines("b", "large", 4)
	c := newChooser(append(here, there...), 1)
	c.load(pipeID("a", "b")).add(start, 100)
	suspects := []string{"a-large-1", "b-large-0", "b-large-2", "b-large-3"}
	for _, id := range suspects {
		c.SuspectAddress(start, id)
	}
	path, ok := c.Choose(start, usual)
	if !ok {
		t.Fatal("got no path")
	}
	for _, stage := range path {
		if slices.Contains(suspects, stage.Server.ID) {
			t.Errorf("path uses %s, want the detour over the full link", stage.Server.ID)
		}
	}
}

// An instance that is cut off from a zone tells the others that its engines fail, again and again: those whose requests make
// progress there go on using them.
func TestOwnProgressCountsMoreThanAnothersSuspicion(t *testing.T) {
	here, there := engines("a", "large", 4), engines("b", "large", 4)
	c := New(Config{Random: func() float64 { return 0.5 }, PeerUsage: func(id string) (Usage, bool) { return Usage{Suspect: id[0] == 'a'}, true }})
	c.SetFleet(testEngine(), append(here, there...), 2)
	tests := []struct {
		name string
		last time.Duration // time since the last progress in the suspected zone
		want string
	}{{"progress just now", 100 * time.Millisecond, "a"}, {"none lately", time.Second, "b"}}
	for _, test := range tests {
		c.Progressed(start, pathOver(here), 30*time.Millisecond)
		path, ok := c.Choose(start.Add(test.last), usual)
		if !ok {
			t.Fatal("got no path")
		}
		if got := path[0].Server.Zone; got != test.want {
			t.Errorf("%s: got a path in zone %s, want %s", test.name, got, test.want)
		}
	}
}
