package placement

import (
	"fmt"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

func mixedEngine() *backend.EngineSpec {
	return &backend.EngineSpec{
		Layers: 80, LayerMB: 1750, KVTokenBytes: 918000,
		Cards: []backend.Card{
			{Name: "large", MemoryMB: 72000, DecodeFactor: 2.4, PrefillFactor: 3.2},
			{Name: "middle", MemoryMB: 43200, DecodeFactor: 5.6, PrefillFactor: 2.7},
			{Name: "small", MemoryMB: 21600, DecodeFactor: 16, PrefillFactor: 8.2},
		},
	}
}

func mixedFleet() (servers []backend.Server) {
	counts := []struct {
		zone, card string
		count      int
	}{
		{"a", "large", 1}, {"b", "large", 1}, {"c", "large", 2},
		{"a", "middle", 3}, {"b", "middle", 6}, {"c", "middle", 2},
		{"a", "small", 8}, {"b", "small", 5}, {"c", "small", 5},
	}
	for _, group := range counts {
		for i := range group.count {
			servers = append(servers, backend.Server{
				ID: fmt.Sprintf("%s-%s-%d", group.zone, group.card, i), Zone: group.zone, Card: group.card,
			})
		}
	}
	return servers
}

// holders counts the engines of a zone, or of all, that hold each layer.
func holders(plan []Assignment, zone string, layers int) []int {
	counts := make([]int, layers)
	for _, assignment := range plan {
		if zone != "" && assignment.Server.Zone != zone {
			continue
		}
		for layer := assignment.Layers.From; layer < assignment.Layers.To; layer++ {
			counts[layer]++
		}
	}
	return counts
}

func TestPlanCoversEveryLayerInEveryZone(t *testing.T) {
	engine := mixedEngine()
	plan := Plan(engine, mixedFleet(), nil)
	for _, zone := range []string{"a", "b", "c"} {
		for layer, got := range holders(plan, zone, engine.Layers) {
			if got < 1 {
				t.Errorf("zone %s: layer %d is held by %d engines, want at least 1", zone, layer, got)
			}
		}
	}
	for layer, got := range holders(plan, "", engine.Layers) {
		if got < 5 {
			t.Errorf("layer %d is held by %d engines, want at least 5", layer, got)
		}
	}
}

func TestPlanLeavesRoomForRequests(t *testing.T) {
	engine := mixedEngine()
	for _, assignment := range Plan(engine, mixedFleet(), nil) {
		card, _ := engine.Card(assignment.Server.Card)
		got := float64(assignment.Layers.Len()) * engine.LayerMB
		if want := card.MemoryMB * MaxWeightFraction; got > want {
			t.Errorf("%s holds %v MB of weights, want at most %v", assignment.Server.ID, got, want)
		}
	}
}

// A burst of half as much again, with a few engines lost, needs the KV cache of about 400 requests of 960 tokens at once.
func TestPlanHasRoomForABurst(t *testing.T) {
	engine := mixedEngine()
	room := make([]float64, engine.Layers)
	for _, assignment := range Plan(engine, mixedFleet(), nil) {
		card, _ := engine.Card(assignment.Server.Card)
		for layer := assignment.Layers.From; layer < assignment.Layers.To; layer++ {
			room[layer] += engine.KVCapacity(card, assignment.Layers.Len())
		}
	}
	for layer, got := range room {
		if want := 400 * 960.0; got < want {
			t.Errorf("layer %d has room for %.0f tokens, want %.0f", layer, got, want)
		}
	}
}

func TestPlanGivesAnEmptyEngineWhatTheFleetLacks(t *testing.T) {
	engine := mixedEngine()
	servers := mixedFleet()
	full := Plan(engine, servers, nil)
	lost := full[len(full)-1]
	var rest []backend.Server
	for _, assignment := range full {
		server := assignment.Server
		server.Layers = assignment.Layers
		if server.Layers.From < lost.Layers.To && lost.Layers.From < server.Layers.To {
			continue
		}
		rest = append(rest, server)
	}
	rest = append(rest, lost.Server)
	plan := Plan(engine, rest, nil)
	if len(plan) != 1 || plan[0].Layers != lost.Layers {
		t.Errorf("got %+v, want the layers %+v that nobody holds", plan, lost.Layers)
	}
}

func TestPlanKeepsWhatIsHeldAndPromised(t *testing.T) {
	engine := mixedEngine()
	servers := mixedFleet()
	promised := make(map[string]backend.Range)
	for _, assignment := range Plan(engine, servers, nil) {
		promised[assignment.Server.ID] = assignment.Layers
	}
	if got := Plan(engine, servers, promised); len(got) != 0 {
		t.Errorf("got %d assignments, want none where all is promised", len(got))
	}
	servers[0].Draining = true
	if got := Plan(engine, servers[:1], nil); len(got) != 0 {
		t.Errorf("got %d assignments, want none for an engine that leaves", len(got))
	}
}
