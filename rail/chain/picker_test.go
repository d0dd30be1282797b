package chain

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/proptest"
)

const testLayers = 8

var epoch = time.Unix(1_000_000, 0)

// world is the true state of a pool in a proof, with the plans in progress.
type world struct {
	now     time.Time
	servers []Server
	plans   []Plan
	counts  map[string]int
	checker *invariant.Checker
	picker  *Picker
}

func newWorld(rt *rapid.T) *world {
	w := &world{now: epoch, counts: map[string]int{}, checker: new(invariant.Checker)}
	source := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "source")))
	w.picker = New(Config{Zone: "a", Random: source, Samples: rapid.IntRange(1, 4).Draw(rt, "samples"), Checker: w.checker})
	w.picker.SetInstances(rapid.IntRange(1, 9).Draw(rt, "instances"))
	for i := range rapid.IntRange(1, 14).Draw(rt, "servers") {
		w.servers = append(w.servers, drawServer(rt, fmt.Sprintf("s%d", i)))
	}
	w.picker.Update(w.servers, testLayers)
	return w
}

func drawServer(rt *rapid.T, name string) Server {
	first := rapid.SampledFrom([]int{0, 0, 2, 4, 4, 6}).Draw(rt, "first")
	return Server{
		Name: name, Address: name, Usable: true,
		Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "zone"),
		Status: engine.Status{
			First: first, Last: rapid.IntRange(first+1, testLayers).Draw(rt, "last"),
			Version: rapid.SampledFrom([]string{"v1", "v1", "v2"}).Draw(rt, "version"),
			Partial: rapid.Bool().Draw(rt, "partial"), Slots: rapid.IntRange(0, 4).Draw(rt, "slots"),
			LayerTime: time.Duration(rapid.IntRange(0, 5).Draw(rt, "time")) * time.Millisecond,
		},
	}
}

// fault changes one server and tells the picker, sometimes with a wrong or old load.
func (w *world) fault(rt *rapid.T, tally *proptest.Tally) {
	i := rapid.IntRange(0, len(w.servers)-1).Draw(rt, "server")
	server := &w.servers[i]
	kind := rapid.SampledFrom([]string{"leaving", "unusable", "reload", "wrongload", "removed", "healed"}).Draw(rt, "fault")
	switch kind {
	case "leaving":
		server.Status.Leaving = true
	case "unusable":
		server.Usable = false
	case "reload":
		*server = drawServer(rt, server.Name)
	case "wrongload":
		server.Status.Queue = rapid.IntRange(-5, 1000).Draw(rt, "queue")
		server.ReportedAt = w.now.Add(-time.Duration(rapid.IntRange(-2, 20).Draw(rt, "age")) * time.Second)
	case "removed":
		if len(w.servers) > 1 {
			w.servers = append(w.servers[:i:i], w.servers[i+1:]...)
		}
	default:
		server.Usable, server.Status.Leaving = true, false
	}
	tally.CountFault(kind)
	w.picker.Update(w.servers, testLayers)
}

// choose asks for a plan and compares it with the servers as they are.
func (w *world) choose(rt *rapid.T, tally *proptest.Tally) {
	request := Request{Avoid: map[string]bool{}, Prefix: uint64(rapid.IntRange(0, 3).Draw(rt, "prefix"))}
	request.Version = rapid.SampledFrom([]string{"", "", "v1"}).Draw(rt, "pinned")
	for i := range rapid.IntRange(0, 2).Draw(rt, "avoided") {
		request.Avoid[w.servers[(i*3)%len(w.servers)].Name] = true
	}
	plan, ok := w.picker.Choose(request)
	if !ok {
		if w.whole(request) {
			tally.Failf(rt, "no plan although whole ranges cover the layers")
		}
		return
	}
	if !plan.Covers(testLayers) {
		tally.Failf(rt, "plan %v does not cover the layers", plan)
	}
	for _, hop := range plan.Hops {
		if reason := w.misfit(hop, plan.Version, request); reason != "" {
			tally.Failf(rt, "hop %v: %s", hop, reason)
		}
	}
	w.plans = append(w.plans, plan)
	w.picker.Started(w.now, plan)
	for _, hop := range plan.Hops {
		w.counts[hop.Server]++
	}
}

// misfit tells why the server cannot run the hop, or nothing.
func (w *world) misfit(hop engine.Hop, version string, request Request) string {
	for _, server := range w.servers {
		status := server.Status
		switch {
		case server.Name != hop.Server:
			continue
		case request.Avoid[hop.Server]:
			return "avoided"
		case !server.Usable || status.Leaving:
			return "unusable or leaving"
		case status.Version != version || request.Version != "" && request.Version != version:
			return "other version"
		case hop.First == status.First && hop.Last == status.Last:
			return ""
		case status.Partial && status.First <= hop.First && hop.Last <= status.Last:
			return ""
		}
		return "outside its range"
	}
	return "not listed"
}

// whole reports whether servers that run their whole range cover the layers in one version.
func (w *world) whole(request Request) bool {
	for _, version := range []string{"v1", "v2"} {
		reached := [testLayers + 1]bool{0: true}
		for layer := range testLayers {
			for _, server := range w.servers {
				hop := engine.Hop{Server: server.Name, First: server.Status.First, Last: server.Status.Last}
				if reached[layer] && hop.First == layer && w.misfit(hop, version, request) == "" {
					reached[hop.Last] = true
				}
			}
		}
		if reached[testLayers] {
			return true
		}
	}
	return false
}

// finish ends one plan.
func (w *world) finish(rt *rapid.T) {
	if len(w.plans) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.plans)-1).Draw(rt, "finished")
	plan := w.plans[i]
	w.plans = append(w.plans[:i], w.plans[i+1:]...)
	w.picker.Finished(w.now, plan)
	for _, hop := range plan.Hops {
		w.counts[hop.Server]--
	}
}

func TestProveChoice(t *testing.T) {
	proptest.Run(t, "choice", func(rt *rapid.T, tally *proptest.Tally) {
		w := newWorld(rt)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			tally.Operations++
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				w.fault(rt, tally)
			case 1, 2:
				w.finish(rt)
			default:
				w.choose(rt, tally)
			}
			for name, want := range w.counts {
				if got := w.picker.InFlight(name); got != want {
					tally.Failf(rt, "in flight at %s: got %d, want %d", name, got, want)
				}
			}
		}
		if got := w.checker.Violations(); got != 0 {
			tally.Failf(rt, "invariants violated in the picker: got %d, want 0", got)
		}
	})
}

func TestFinishedTwiceIsRefused(t *testing.T) {
	checker := new(invariant.Checker)
	picker := New(Config{Checker: checker})
	plan := Plan{Hops: []engine.Hop{{Server: "s"}}}
	picker.Started(epoch, plan)
	picker.Finished(epoch, plan)
	picker.Finished(epoch, plan)
	if got, want := picker.InFlight("s"), 0; got != want {
		t.Errorf("in flight: got %d, want %d", got, want)
	}
	if got, want := checker.Violations(), uint64(1); got != want {
		t.Errorf("violations: got %d, want %d", got, want)
	}
}

func TestStreamsSinceReport(t *testing.T) {
	cases := []struct {
		name      string
		started   time.Duration
		instances int
		want      float64
	}{
		{name: "before the report was made", started: 0, instances: 9, want: 10},
		{name: "since, alone", started: 2500 * time.Millisecond, instances: 1, want: 11},
		{name: "since, with nine instances alike", started: 2500 * time.Millisecond, instances: 9, want: 19},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			picker := New(Config{})
			picker.SetInstances(c.instances)
			plan := Plan{Hops: []engine.Hop{{Server: "s"}}}
			picker.Started(epoch.Add(c.started), plan)
			picker.Update([]Server{{Name: "s", Usable: true, ReportedAt: epoch.Add(3 * time.Second), Status: engine.Status{Queue: 10}}}, 1)
			if got := picker.streams(picker.servers[0]); got != c.want {
				t.Errorf("streams: got %v, want %v", got, c.want)
			}
		})
	}
}
