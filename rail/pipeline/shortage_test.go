package pipeline

import (
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// A refusal must name what decided it: the layers without memory, their engines, and what this instance and the others are
// taken to have there.
func TestShortageNamesWhatDecided(t *testing.T) {
	servers := engines("a", "large", 4)
	c := newChooser(servers, 1)
	if got := c.Shortage(start, usualRequest); got.Layers.Len() != 0 {
		t.Errorf("got %+v for an empty fleet of engines, want no shortage", got)
	}
	scarce := servers[1]
	capacity := c.spec.KVCapacity(c.spec.Cards[0], scarce.Layers.Len()) * float64(scarce.Layers.Len())
	c.config.PeerUsage = func(id string) (Usage, bool) {
		if id == scarce.ID {
			return Usage{ReservedKV: capacity}, true
		}
		return Usage{}, true
	}
	got := c.Shortage(start, usualRequest)
	want := Shortage{Layers: scarce.Layers, Engines: 1, LowestFill: 1, FillLimit: MaxFill, PeerKV: capacity, PeersKnown: true}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	c.ProbeFailed(start, servers[0].ID)
	got = c.Shortage(start, usualRequest)
	if got.Layers != (backend.Range{From: 0, To: 40}) || got.Dead != 1 || got.Suspected != 1 {
		t.Errorf("got %+v, want the layers 0 to 40 and one engine that is dead and suspected", got)
	}
}
