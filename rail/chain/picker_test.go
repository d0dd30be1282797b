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

// poolModel is the actual state of a pool in TestProveChoice, with the chains in progress and their number at each
// server.
type poolModel struct {
	now      time.Time
	servers  []Server
	chains   []Chain
	inFlight map[string]int
	checker  *invariant.Checker
	picker   *Picker
}

func newPoolModel(rt *rapid.T) *poolModel {
	m := &poolModel{now: epoch, inFlight: map[string]int{}, checker: new(invariant.Checker)}
	source := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "source")))
	m.picker = New(Config{Zone: "a", Random: source, Samples: rapid.IntRange(1, 4).Draw(rt, "samples"), Checker: m.checker})
	m.picker.SetInstances(rapid.IntRange(1, 9).Draw(rt, "instances"))
	for i := range rapid.IntRange(1, 14).Draw(rt, "servers") {
		m.servers = append(m.servers, drawServer(rt, fmt.Sprintf("s%d", i)))
	}
	m.picker.Update(m.servers, testLayers)
	return m
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

// injectFault changes one server, possibly to a wrong or outdated load, and updates the picker.
func (m *poolModel) injectFault(rt *rapid.T, tally *proptest.Tally) {
	i := rapid.IntRange(0, len(m.servers)-1).Draw(rt, "server")
	server := &m.servers[i]
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
		server.ReportedAt = m.now.Add(-time.Duration(rapid.IntRange(-2, 20).Draw(rt, "age")) * time.Second)
	case "removed":
		if len(m.servers) > 1 {
			m.servers = append(m.servers[:i:i], m.servers[i+1:]...)
		}
	default:
		server.Usable, server.Status.Leaving = true, false
	}
	tally.Count(kind)
	m.picker.Update(m.servers, testLayers)
}

// choose requests a chain and checks it against the actual state of the servers.
func (m *poolModel) choose(rt *rapid.T, tally *proptest.Tally) {
	request := Request{Avoid: map[string]bool{}, Prefix: uint64(rapid.IntRange(0, 3).Draw(rt, "prefix"))}
	request.Version = rapid.SampledFrom([]string{"", "", "v1"}).Draw(rt, "pinned")
	for i := range rapid.IntRange(0, 2).Draw(rt, "avoided") {
		request.Avoid[m.servers[(i*3)%len(m.servers)].Name] = true
	}
	chain, ok := m.picker.Choose(request)
	if !ok {
		if m.hasWholeRangeChain(request) {
			tally.Failf(rt, "got no chain although whole ranges cover the layers")
		}
		return
	}
	if !chain.Covers(testLayers) {
		tally.Failf(rt, "chain %v does not cover the layers", chain)
	}
	for _, stage := range chain.Stages {
		if reason := m.unfitReason(stage, chain.Version, request); reason != "" {
			tally.Failf(rt, "stage %v: %s", stage, reason)
		}
	}
	m.chains = append(m.chains, chain)
	m.picker.Started(m.now, chain)
	for _, stage := range chain.Stages {
		m.inFlight[stage.Server]++
	}
}

// unfitReason returns the reason why the server cannot run the stage, or an empty string if it can.
func (m *poolModel) unfitReason(stage engine.Stage, version string, request Request) string {
	for _, server := range m.servers {
		status := server.Status
		switch {
		case server.Name != stage.Server:
			continue
		case request.Avoid[stage.Server]:
			return "avoided"
		case !server.Usable || status.Leaving:
			return "unusable or leaving"
		case status.Version != version || request.Version != "" && request.Version != version:
			return "wrong version"
		case stage.First == status.First && stage.Last == status.Last:
			return ""
		case status.Partial && status.First <= stage.First && stage.Last <= status.Last:
			return ""
		}
		return "outside its range"
	}
	return "not listed"
}

// hasWholeRangeChain reports whether a chain of one version exists in which every server runs its whole range.
func (m *poolModel) hasWholeRangeChain(request Request) bool {
	for _, version := range []string{"v1", "v2"} {
		reached := [testLayers + 1]bool{0: true}
		for layer := range testLayers {
			for _, server := range m.servers {
				stage := engine.Stage{Server: server.Name, First: server.Status.First, Last: server.Status.Last}
				if reached[layer] && stage.First == layer && m.unfitReason(stage, version, request) == "" {
					reached[stage.Last] = true
				}
			}
		}
		if reached[testLayers] {
			return true
		}
	}
	return false
}

// finish ends a random chain.
func (m *poolModel) finish(rt *rapid.T) {
	if len(m.chains) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.chains)-1).Draw(rt, "finished")
	chain := m.chains[i]
	m.chains = append(m.chains[:i], m.chains[i+1:]...)
	m.picker.Ended(m.now, chain)
	for _, stage := range chain.Stages {
		m.inFlight[stage.Server]--
	}
}

// TestProveChoice checks that every chain covers the layers with servers that can run its stages, that a chain is found
// whenever whole ranges form a chain, and that requests in flight are counted correctly.
func TestProveChoice(t *testing.T) {
	proptest.Run(t, "choice", func(rt *rapid.T, tally *proptest.Tally) {
		m := newPoolModel(rt)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			tally.Operations++
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				m.injectFault(rt, tally)
			case 1, 2:
				m.finish(rt)
			default:
				m.choose(rt, tally)
			}
			for name, want := range m.inFlight {
				if got := m.picker.InFlight(name); got != want {
					tally.Failf(rt, "in flight at %s: got %d, want %d", name, got, want)
				}
			}
		}
		if got := m.checker.Violations(); got != 0 {
			tally.Failf(rt, "invariants violated in the picker: got %d, want 0", got)
		}
	})
}

// TestEndedTwice checks that ending a chain twice violates an invariant and leaves the count at zero.
func TestEndedTwice(t *testing.T) {
	checker := new(invariant.Checker)
	picker := New(Config{Checker: checker})
	chain := Chain{Stages: []engine.Stage{{Server: "s"}}}
	picker.Started(epoch, chain)
	picker.Ended(epoch, chain)
	picker.Ended(epoch, chain)
	if got, want := picker.InFlight("s"), 0; got != want {
		t.Errorf("in flight: got %d, want %d", got, want)
	}
	if got, want := checker.Violations(), uint64(1); got != want {
		t.Errorf("violations: got %d, want %d", got, want)
	}
}

// TestEstimateRequests guards against an estimate that ignores the requests started after the sample, or counts those
// in the sample twice.
func TestEstimateRequests(t *testing.T) {
	cases := []struct {
		name      string
		started   time.Duration
		instances int
		want      float64
	}{
		{name: "started before the sample", started: 0, instances: 9, want: 10},
		{name: "started after the sample, one instance", started: 2500 * time.Millisecond, instances: 1, want: 11},
		{name: "started after the sample, nine instances", started: 2500 * time.Millisecond, instances: 9, want: 19},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			picker := New(Config{})
			picker.SetInstances(c.instances)
			chain := Chain{Stages: []engine.Stage{{Server: "s"}}}
			picker.Started(epoch.Add(c.started), chain)
			picker.Update([]Server{{Name: "s", Usable: true, ReportedAt: epoch.Add(3 * time.Second), Status: engine.Status{Queue: 10}}}, 1)
			if got := picker.estimateRequests(picker.servers[0]); got != c.want {
				t.Errorf("estimated requests: got %v, want %v", got, c.want)
			}
		})
	}
}
