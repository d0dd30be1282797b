package placer

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Guards against layers for an engine that is leaving, and against orders to one that wants nothing now.
func TestNoOrdersToEnginesThatLeaveOrWait(t *testing.T) {
	isEngine := func(id string) func(backend.Server) bool {
		return func(server backend.Server) bool { return server.ID == id }
	}
	e := &fakeEngines{}
	p := newPlacer(t, e, 4, true)
	p.config.Leaving, p.config.Waiting = isEngine("e5"), isEngine("e6")
	p.place(context.Background())
	p.inFlight.Wait()
	ordered := func() (engines []string) {
		for _, order := range e.orders {
			id, _, _ := strings.Cut(order, "=")
			engines = append(engines, id)
		}
		slices.Sort(engines)
		return engines
	}
	if got, want := ordered(), []string{"e4", "e7"}; !slices.Equal(got, want) {
		t.Fatalf("got orders to %v, want %v", got, want)
	}
	p.config.Waiting = isEngine("none")
	p.place(context.Background())
	p.inFlight.Wait()
	if got, want := ordered(), []string{"e4", "e6", "e7"}; !slices.Equal(got, want) {
		t.Errorf("got orders to %v after the wait, want %v", got, want)
	}
}

// Guards against an engine that is back from a crash being given other layers than are missing, because the entries of engines that
// crashed with it are still listed.
func TestLostEnginesDoNotCountAsHolders(t *testing.T) {
	first := backend.Range{To: 10}
	layers := []backend.Range{first, first, first}
	for from := 10; from < 80; from += 10 {
		layers = append(layers, backend.Range{From: from, To: from + 10}, backend.Range{From: from, To: from + 10})
	}
	layers = append(layers, backend.Range{})
	tests := []struct {
		name    string
		lost    int // the first engines
		missing bool
	}{
		{"none", 0, false},
		{"two of three that hold the first layers", 2, true},
		{"all, as this instance is disconnected", len(layers), false},
	}
	for _, test := range tests {
		e := &fakeEngines{}
		p := newPlacerOf(t, e, layers, true)
		p.config.Lost = func(server backend.Server) bool {
			for i := range test.lost {
				if server.ID == fmt.Sprintf("e%d", i) {
					return true
				}
			}
			return false
		}
		placeAndWait(p)
		if got, want := slices.Equal(e.orders, []string{"e17=0-10"}), test.missing; got != want || len(e.orders) != 1 {
			t.Errorf("%s: got orders %v, want one for the first layers: %v", test.name, e.orders, want)
		}
	}
}
