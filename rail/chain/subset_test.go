package chain

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// fleet returns workers of one model in equal stages and three zones.
func fleet(workers, stages, layers int) []Server {
	servers := make([]Server, workers)
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

func TestSubsetCoversEveryLayerEvenly(t *testing.T) {
	const instances, workers, stages, layers, size = 490, 210, 6, 60, 8
	servers := fleet(workers, stages, layers)
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
	mean := float64(instances*size*stages) / workers
	most := 0
	for _, count := range uses {
		most = max(most, count)
	}
	if got, want := len(uses), workers; got != want {
		t.Errorf("servers in use: got %d, want %d", got, want)
	}
	if got, want := float64(most)/mean, 1.5; got > want {
		t.Errorf("most instances at one server over the mean: got %.2f, want at most %.2f", got, want)
	}
}

func TestSubsetKeepsOthersWhenAServerLeaves(t *testing.T) {
	servers := fleet(60, 3, 60)
	before := Subset(servers, "instance", 4)
	servers[7].Usable = false
	after := Subset(servers, "instance", 4)
	kept := make(map[string]bool)
	for _, server := range after {
		kept[server.Name] = true
	}
	for _, server := range before {
		if server.Name != servers[7].Name && !kept[server.Name] {
			t.Errorf("%s: got dropped, want kept", server.Name)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	cases := []struct {
		name    string
		workers int
		prefix  uint64
	}{
		{name: "30 workers", workers: 30},
		{name: "210 workers", workers: 210},
		{name: "1900 workers", workers: 1900},
		{name: "30 workers with prefix", workers: 30, prefix: 7},
		{name: "210 workers with prefix", workers: 210, prefix: 7},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			picker := New(Config{Random: rand.New(rand.NewSource(1))})
			picker.Update(fleet(c.workers, 6, 60), 60)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := picker.Choose(Request{Prefix: c.prefix}); !ok {
					b.Fatal("no chain")
				}
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	servers := fleet(210, 6, 60)
	picker := New(Config{Random: rand.New(rand.NewSource(1))})
	b.ReportAllocs()
	for b.Loop() {
		picker.Update(servers, 60)
	}
}

func BenchmarkChooseBaseline(b *testing.B) {
	servers := fleet(210, 6, 60)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := Choose(servers, Request{Layers: 60}); !ok {
			b.Fatal("no chain")
		}
	}
}
