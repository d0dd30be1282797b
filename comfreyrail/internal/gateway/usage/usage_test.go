package usage

import (
	"encoding/binary"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/pipeline"
)

var start = time.Unix(1_800_000_000, 0)

func tell(t *testing.T, s *Exchange, at time.Time, name, zone string, uses map[string]pipeline.Usage) {
	t.Helper()
	datagram, err := encode(message{Name: name, Zone: zone, Near: tellNear, Far: tellFar}, uses)
	if err != nil {
		t.Fatal(err)
	}
	if err = s.hear(at, datagram); err != nil {
		t.Fatal(err)
	}
}

// peersOf returns so many instances in each of two availability zones.
func peersOf(near, far int) (peers []Peer) {
	for range near {
		peers = append(peers, Peer{Zone: "a"})
	}
	for range far {
		peers = append(peers, Peer{Zone: "b"})
	}
	return peers
}

func TestOthers(t *testing.T) {
	tests := []struct {
		name      string
		after     time.Duration
		near, far int
		want      float64
		known     bool
	}{
		{"the sum of all that told", 0, 1, 1, 3200, true},
		{"a dead one of a few, which would have been heard, does not count", 0, 3, 3, 3200, true},
		{"one of sixty of the zone stands for as many as are to be expected", 0, 60, 1, 1280/chanceHeard(tellNear, 60) + 1920, true},
		{"one of sixty of the other zone for those of that zone", 0, 1, 60, 1280 + 1920/chanceHeard(tellFar, 60), true},
		{"one that the store does not list", 0, 0, 0, 3200, true},
		{"nothing once they are silent", 2 * time.Second, 1, 1, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(Config{Name: "me", Zone: "a", Peers: func() []Peer { return peersOf(test.near, test.far) }})
			tell(t, s, start, "first", "a", map[string]pipeline.Usage{"engine": {ReservedKV: 640, WorkRate: 0.5}})
			tell(t, s, start, "first", "a", map[string]pipeline.Usage{"engine": {ReservedKV: 1280, WorkRate: 0.5}})
			tell(t, s, start, "second", "b", map[string]pipeline.Usage{"engine": {ReservedKV: 1920, WorkRate: 0.25, Slowness: 12}})
			got, known := s.PeerUsage(start.Add(test.after))("engine")
			if math.Abs(got.ReservedKV-test.want) > 1 || known != test.known {
				t.Errorf("got %v tokens, known %v, want %v, %v", got.ReservedKV, known, test.want, test.known)
			}
			if known && got.Slowness != 12 {
				t.Errorf("got slowness %v, want 12 however many there are", got.Slowness)
			}
		})
	}
}

// An instance that hears half of a large zone estimates the work of all of it.
func TestOthersEstimatesALargeZone(t *testing.T) {
	const members = 60
	s := New(Config{Name: "me", Zone: "a", Peers: func() []Peer { return peersOf(members, 0) }})
	heard := int(members * chanceHeard(tellNear, members))
	for i := range heard {
		tell(t, s, start, fmt.Sprint(i), "a", map[string]pipeline.Usage{"engine": {ReservedKV: 640}})
	}
	got, _ := s.PeerUsage(start)("engine")
	if want := 640.0 * members; math.Abs(got.ReservedKV-want) > want/20 {
		t.Errorf("got %.0f tokens from %d of %d, want about %.0f", got.ReservedKV, heard, members, want)
	}
}

func TestPickPrefersTheOwnZone(t *testing.T) {
	tests := []struct{ near, far, wantNear, wantFar int }{{22, 45, tellNear, tellFar}, {1, 4, 1, 3}, {0, 2, 0, 2}, {0, 0, 0, 0}}
	for _, test := range tests {
		s := New(Config{Zone: "a"})
		near, far := 0, 0
		for _, peer := range s.pick(peersOf(test.near, test.far), tellNear, tellFar) {
			if peer.Zone == "a" {
				near++
			} else {
				far++
			}
		}
		if near != test.wantNear || far != test.wantFar {
			t.Errorf("of %d and %d: got %d and %d, want %d and %d", test.near, test.far, near, far, test.wantNear, test.wantFar)
		}
	}
}

// The size of today, that of the grown deployments, and 490 instances before 1,900 engines: what is told stays within the
// bytes that a node may spend, and somebody of each kind is told.
func TestReachKeepsWithinTheBytes(t *testing.T) {
	tests := []struct{ engines, near, far int }{{33, 4, 2}, {90, 2, 1}, {180, 1, 1}, {0, 5, 3}}
	for _, test := range tests {
		near, far := reach(test.engines)
		if near < test.near || far < test.far || near > tellNear || far > tellFar {
			t.Errorf("%d engines: got %d and %d, want %d and %d at least", test.engines, near, far, test.near, test.far)
		}
		size := headerBytes + min(test.engines, maxEngines)*entryBytes
		if got, want := float64((near+far)*size)/tellEvery.Seconds(), 16.4e3; got > want {
			t.Errorf("%d engines: got %.0f bytes a second, want %.0f at most", test.engines, got, want)
		}
	}
}

func TestEntryBytes(t *testing.T) {
	if got := binary.Size(entry{}); got != entryBytes {
		t.Errorf("got %d bytes, want %d", got, entryBytes)
	}
}

func TestDatagramFitsOnePacket(t *testing.T) {
	uses := make(map[string]pipeline.Usage)
	for i := range 2 * maxEngines {
		uses[string(rune('a'+i%26))+string(rune('a'+i/26))] = pipeline.Usage{ReservedKV: 4e9, WorkRate: 60}
	}
	datagram, err := encode(message{Name: "an-instance-with-a-long-name-in-a-zone-1", Zone: "a-zone-with-a-long-name", Near: 5, Far: 3}, uses)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(datagram); got > maxDatagram {
		t.Errorf("got %d bytes, want at most %d", got, maxDatagram)
	}
}

func FuzzHear(f *testing.F) {
	datagram, err := encode(message{Name: "peer", Zone: "a", Near: 5, Far: 3}, map[string]pipeline.Usage{"engine": {ReservedKV: 1, WorkRate: 1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram)
	f.Fuzz(func(t *testing.T, content []byte) {
		s := New(Config{Name: "me"})
		if err := s.hear(start, content); err == nil && len(s.heard) != 1 {
			t.Errorf("got %d reports from an accepted datagram, want 1", len(s.heard))
		}
	})
}
