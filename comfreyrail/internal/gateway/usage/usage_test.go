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

func receiveReport(t *testing.T, e *Exchange, at time.Time, name, zone string, usage map[string]pipeline.Usage) {
	t.Helper()
	datagram, err := encode(message{
		Name: name, Zone: zone, SameZoneRecipients: maxSameZonePeers, OtherZoneRecipients: maxOtherZonePeers,
	}, usage)
	if err != nil {
		t.Fatal(err)
	}
	if err = e.receive(at, datagram); err != nil {
		t.Fatal(err)
	}
}

// peersOf returns the given numbers of instances in zone "a" and in zone "b".
func peersOf(sameZone, otherZones int) (peers []Peer) {
	for range sameZone {
		peers = append(peers, Peer{Zone: "a"})
	}
	for range otherZones {
		peers = append(peers, Peer{Zone: "b"})
	}
	return peers
}

// Guards against an estimate that counts a report twice, counts an expired one, or scales up the usage when every report
// is expected to arrive.
func TestPeerUsage(t *testing.T) {
	tests := []struct {
		name                 string
		after                time.Duration
		sameZone, otherZones int
		want                 float64
		known                bool
	}{
		{"sum of all reports", 0, 1, 1, 3200, true},
		{"few instances: every report is expected to arrive, none is scaled", 0, 3, 3, 3200, true},
		{"one of 60 of the same zone: divided by the probability that its report arrives", 0, 60, 1, 1280/receiveProbability(maxSameZonePeers, 60) + 1920, true},
		{"one of 60 of the other zone: divided by the probability that its report arrives", 0, 1, 60, 1280 + 1920/receiveProbability(maxOtherZonePeers, 60), true},
		{"not listed in the store", 0, 0, 0, 3200, true},
		{"no recent reports", 2 * time.Second, 1, 1, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := New(Config{Name: "me", Zone: "a", Peers: func() []Peer { return peersOf(test.sameZone, test.otherZones) }})
			receiveReport(t, e, start, "first", "a", map[string]pipeline.Usage{"engine": {ReservedKV: 640, WorkRate: 0.5}})
			receiveReport(t, e, start, "first", "a", map[string]pipeline.Usage{"engine": {ReservedKV: 1280, WorkRate: 0.5}})
			receiveReport(t, e, start, "second", "b", map[string]pipeline.Usage{"engine": {ReservedKV: 1920, WorkRate: 0.25, Slowness: 12}})
			got, known := e.PeerUsage(start.Add(test.after))("engine")
			if math.Abs(got.ReservedKV-test.want) > 1 || known != test.known {
				t.Errorf("got ReservedKV %v, known %v, want %v, %v", got.ReservedKV, known, test.want, test.known)
			}
			if known && got.Slowness != 12 {
				t.Errorf("got slowness %v, want 12 whatever the number of instances", got.Slowness)
			}
		})
	}
}

// An instance that receives reports from a part of a large zone must estimate the usage of the whole zone.
func TestPeerUsageEstimatesLargeZone(t *testing.T) {
	const members = 60
	e := New(Config{Name: "me", Zone: "a", Peers: func() []Peer { return peersOf(members, 0) }})
	reporting := int(members * receiveProbability(maxSameZonePeers, members))
	for i := range reporting {
		receiveReport(t, e, start, fmt.Sprint(i), "a", map[string]pipeline.Usage{"engine": {ReservedKV: 640}})
	}
	got, _ := e.PeerUsage(start)("engine")
	if want := 640.0 * members; math.Abs(got.ReservedKV-want) > want/20 {
		t.Errorf("got ReservedKV %.0f from %d of %d, want about %.0f", got.ReservedKV, reporting, members, want)
	}
}

func TestPickPeersPrefersOwnZone(t *testing.T) {
	tests := []struct{ sameZone, otherZones, wantSameZone, wantOtherZones int }{{22, 45, maxSameZonePeers, maxOtherZonePeers}, {1, 4, 1, 3}, {0, 2, 0, 2}, {0, 0, 0, 0}}
	for _, test := range tests {
		e := New(Config{Zone: "a"})
		sameZone, otherZones := 0, 0
		for _, peer := range e.pickPeers(peersOf(test.sameZone, test.otherZones), maxSameZonePeers, maxOtherZonePeers) {
			if peer.Zone == "a" {
				sameZone++
			} else {
				otherZones++
			}
		}
		if sameZone != test.wantSameZone || otherZones != test.wantOtherZones {
			t.Errorf("of %d and %d: got %d and %d, want %d and %d", test.sameZone, test.otherZones, sameZone, otherZones, test.wantSameZone, test.wantOtherZones)
		}
	}
}

// The datagrams must stay within the bytes per second that an instance may send, and must go to at least one instance of
// its zone and one of another zone. The case of 180 engines also covers 490 instances and 1,900 engines, since datagrams
// don't grow above maxEntries.
func TestFanoutStaysWithinByteLimit(t *testing.T) {
	tests := []struct{ engines, sameZone, otherZones int }{{33, 4, 2}, {90, 2, 1}, {180, 1, 1}, {0, 5, 3}}
	for _, test := range tests {
		sameZone, otherZones := fanout(test.engines)
		if sameZone < test.sameZone || otherZones < test.otherZones || sameZone > maxSameZonePeers || otherZones > maxOtherZonePeers {
			t.Errorf("%d engines: got %d and %d, want %d and %d at least", test.engines, sameZone, otherZones, test.sameZone, test.otherZones)
		}
		size := headerBytes + min(test.engines, maxEntries)*entryBytes
		if got, want := float64((sameZone+otherZones)*size)/sendInterval.Seconds(), 16.4e3; got > want {
			t.Errorf("%d engines: got %.0f bytes/s, want %.0f at most", test.engines, got, want)
		}
	}
}

// Guards against a field added to entry without a change of entryBytes, after which datagrams would be refused or
// misread.
func TestEntryBytesMatchesEncoding(t *testing.T) {
	if got := binary.Size(entry{}); got != entryBytes {
		t.Errorf("got %d bytes, want %d", got, entryBytes)
	}
}

// With more engines than a datagram holds, it must not leave out those that failed or are slow, or those with the most work.
func TestDatagramKeepsWhatMatters(t *testing.T) {
	usage := make(map[string]pipeline.Usage)
	for i := range 2 * maxEntries {
		usage[fmt.Sprint(i)] = pipeline.Usage{WorkRate: float64(i) / 100}
	}
	usage["3"], usage["4"] = pipeline.Usage{FailedRecently: true}, pipeline.Usage{Slowness: 12}
	e := New(Config{Name: "me", Zone: "a", Peers: func() []Peer { return peersOf(1, 0) }})
	receiveReport(t, e, start, "peer", "a", usage)
	received := e.reports["peer"].usage
	for _, id := range []string{"3", "4", fmt.Sprint(maxEntries + 2), fmt.Sprint(2*maxEntries - 1)} {
		if _, ok := received[hashID(id)]; !ok || len(received) != maxEntries {
			t.Errorf("got %d entries, %s among them %v, want %d with it", len(received), id, ok, maxEntries)
		}
	}
}

func TestDatagramFitsOnePacket(t *testing.T) {
	usage := make(map[string]pipeline.Usage)
	for i := range 2 * maxEntries {
		usage[string(rune('a'+i%26))+string(rune('a'+i/26))] = pipeline.Usage{ReservedKV: 4e9, WorkRate: 60}
	}
	datagram, err := encode(message{
		Name: "an-instance-with-a-long-name-in-a-zone-1", Zone: "a-zone-with-a-long-name",
		SameZoneRecipients: 5, OtherZoneRecipients: 3,
	}, usage)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(datagram); got > maxDatagram {
		t.Errorf("got %d bytes, want at most %d", got, maxDatagram)
	}
}

// Guards against a panic on a malformed datagram, and against a wrong number of reports from one.
func FuzzReceive(f *testing.F) {
	datagram, err := encode(
		message{Name: "peer", Zone: "a", SameZoneRecipients: 5, OtherZoneRecipients: 3},
		map[string]pipeline.Usage{"engine": {ReservedKV: 1, WorkRate: 1}},
	)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram)
	f.Fuzz(func(t *testing.T, content []byte) {
		e := New(Config{Name: "me"})
		if err := e.receive(start, content); err == nil && len(e.reports) != 1 {
			t.Errorf("got %d reports from an accepted datagram, want 1", len(e.reports))
		}
	})
}
