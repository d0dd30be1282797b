package chain

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// newServers returns servers of one model that are divided evenly among the stages and over three zones.
func newServers(count, stages, layers int) []Server {
	servers := make([]Server, count)
	for i := range servers {
		first := i % stages * layers / stages
		servers[i] = Server{
			Name: fmt.Sprintf("worker-%d", i), Zone: fmt.Sprintf("zone-%d", i/stages%3), Usable: true, ReportedAt: epoch,
			Status: engine.Status{
				First: first, Last: (i%stages + 1) * layers / stages, Version: "v1",
				LayerTime: time.Duration(1+i%3) * time.Millisecond, Slots: 8, Queue: i % 7,
			},
		}
	}
	return servers
}

// TestSubsetBalance checks that each instance gets a chain and that instances are spread evenly over the servers.
func TestSubsetBalance(t *testing.T) {
	const instances, serverCount, stages, layers, size = 490, 210, 6, 60, 8
	servers := newServers(serverCount, stages, layers)
	uses := make(map[string]int)
	for i := range instances {
		subset := Subset(servers, fmt.Sprintf("instance-%d", i), size)
		if got, want := len(subset), size*stages; got != want {
			t.Fatalf("size of subset: got %d, want %d", got, want)
		}
		picker := New(Config{Random: rand.New(rand.NewSource(1))})
		picker.Update(subset, layers)
		if _, ok := picker.Choose(Request{}); !ok {
			t.Fatalf("instance %d: got no chain, want one", i)
		}
		for _, server := range subset {
			uses[server.Name]++
		}
	}
	mean := float64(instances*size*stages) / serverCount
	highest := 0
	for _, count := range uses {
		highest = max(highest, count)
	}
	if got, want := len(uses), serverCount; got != want {
		t.Errorf("servers in use: got %d, want %d", got, want)
	}
	if got, want := float64(highest)/mean, 1.5; got > want {
		t.Errorf("maximum number of instances at one server relative to the mean: got %.2f, want at most %.2f", got, want)
	}
}

// TestSubsetServerLeaves checks that all other servers of the subset stay in it when a server leaves.
func TestSubsetServerLeaves(t *testing.T) {
	servers := newServers(60, 3, 60)
	before := Subset(servers, "instance", 4)
	servers[7].Usable = false
	after := Subset(servers, "instance", 4)
	kept := make(map[string]bool)
	for _, server := range after {
		kept[server.Name] = true
	}
	for _, server := range before {
		if server.Name != servers[7].Name && !kept[server.Name] {
			t.Errorf("%s: removed from the subset, want kept", server.Name)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	cases := []struct {
		name    string
		servers int
		prefix  uint64
	}{
		{name: "30 servers", servers: 30},
		{name: "210 servers", servers: 210},
		{name: "1900 servers", servers: 1900},
		{name: "30 servers with prefix", servers: 30, prefix: 7},
		{name: "210 servers with prefix", servers: 210, prefix: 7},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			picker := New(Config{Random: rand.New(rand.NewSource(1))})
			picker.Update(newServers(c.servers, 6, 60), 60)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := picker.Choose(Request{Prefix: c.prefix}); !ok {
					b.Fatal("got no chain, want one")
				}
			}
		})
	}
}

// BenchmarkUpdate measures an Update that changes no server, so that the graphs are not rebuilt.
func BenchmarkUpdate(b *testing.B) {
	servers := newServers(210, 6, 60)
	picker := New(Config{Random: rand.New(rand.NewSource(1))})
	b.ReportAllocs()
	for b.Loop() {
		picker.Update(servers, 60)
	}
}

// BenchmarkChooseBaseline measures ChooseCheapest, which considers all servers, for comparison with Picker.Choose.
func BenchmarkChooseBaseline(b *testing.B) {
	servers := newServers(210, 6, 60)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := ChooseCheapest(servers, Request{Layers: 60}); !ok {
			b.Fatal("got no chain, want one")
		}
	}
}
