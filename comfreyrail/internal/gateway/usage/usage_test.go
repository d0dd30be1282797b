package usage

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/pipeline"
)

var start = time.Unix(1_800_000_000, 0)

func receiveReport(t *testing.T, e *Exchange, at time.Time, header message, usage map[string]pipeline.Usage) {
	t.Helper()
	header.Recipients = maxSameZonePeers
	datagram, err := encode(header, hashed(usage))
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
		name     string
		after    time.Duration
		sameZone int
		want     float64
		known    bool
	}{
		{"sum of the report and the other zone's total", 0, 1, 3200, true},
		{"few instances: every report is expected to arrive, none is scaled", 0, 3, 3200, true},
		{"one of 60: divided by the probability that its report arrives", 0, 60, 1280/receiveProbability(maxSameZonePeers, 60) + 1920, true},
		{"not listed in the store", 0, 0, 3200, true},
		{"only the total is recent enough", reportTTL + time.Millisecond, 1, 1920, true},
		{"nothing is recent enough", totalTTL + time.Millisecond, 1, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := New(Config{Name: "me", Zone: "a", Peers: func() []Peer { return peersOf(test.sameZone, 60) }})
			receiveReport(t, e, start, message{Name: "first", Zone: "a"}, map[string]pipeline.Usage{"engine": {ReservedKV: 640, WorkRate: 0.5}})
			receiveReport(t, e, start, message{Name: "first", Zone: "a"}, map[string]pipeline.Usage{"engine": {ReservedKV: 1280, WorkRate: 0.5}})
			for _, name := range []string{"second", "third"} {
				total := map[string]pipeline.Usage{"engine": {ReservedKV: 1920, WorkRate: 0.25, Slowness: 12}}
				receiveReport(t, e, start, message{Name: name, Zone: "b", Total: true}, total)
			}
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

// fleet is a fleet of instances that exchange their usage in virtual time.
type fleet struct {
	zones     int
	exchanges []*Exchange
	crossed   int // bytes that crossed to another zone
}

// newFleet returns a fleet of instances that each use the engine of their zone with a work rate of 0.01.
func newFleet(zones, perZone int) *fleet {
	f := &fleet{zones: zones}
	peers := make([]Peer, 0, zones*perZone)
	for i := range zones * perZone {
		peers = append(peers, Peer{Address: fmt.Sprint(i), Zone: fmt.Sprint(i % zones)})
	}
	for i, self := range peers {
		engine := "engine" + self.Zone
		f.exchanges = append(f.exchanges, New(Config{
			Name: self.Address, Zone: self.Zone, Peers: func() []Peer { return append(slices.Clone(peers[:i]), peers[i+1:]...) },
			Usage: func() map[string]pipeline.Usage {
				return map[string]pipeline.Usage{engine: {WorkRate: 0.01, ReservedKV: 6400}}
			},
		}))
	}
	return f
}

// round lets every instance send a round of datagrams, which arrive at once.
func (f *fleet) round(t *testing.T, now time.Time) {
	t.Helper()
	for _, e := range f.exchanges {
		e.sendRoundTo(now, func(peer string, datagram []byte) {
			to, err := strconv.Atoi(peer)
			if err != nil {
				t.Fatal(err)
			}
			if f.exchanges[to].config.Zone != e.config.Zone {
				f.crossed += len(datagram)
			}
			if err = f.exchanges[to].receive(now, datagram); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Hundreds of instances in several zones must each know about how much all others use of an engine, though few bytes may
// cross between zones.
func TestEstimatesInLargeFleets(t *testing.T) {
	tests := []struct {
		zones, perZone int
		crossed        float64 // largest number of bytes per second of an instance that cross to another zone
	}{{3, 3, 3000}, {3, 24, 1000}, {5, 39, 1000}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d zones of %d", test.zones, test.perZone), func(t *testing.T) {
			f := newFleet(test.zones, test.perZone)
			const rounds = 25
			for i := range rounds {
				f.round(t, start.Add(time.Duration(i)*sendInterval))
			}
			end := start.Add(rounds * sendInterval)
			far, near, unknown := 0.0, 0.0, 0
			for _, e := range f.exchanges {
				usage := e.PeerUsage(end)
				for zone := range test.zones {
					got, _ := usage("engine" + fmt.Sprint(zone))
					switch {
					case fmt.Sprint(zone) == e.config.Zone:
						near += got.ReservedKV / (6400 * float64(test.perZone-1)) / float64(len(f.exchanges))
					case got.ReservedKV == 0:
						unknown++
					default:
						far += got.ReservedKV / (6400 * float64(test.perZone)) / float64(len(f.exchanges)*(test.zones-1))
					}
				}
			}
			if near < 0.9 || near > 1.1 || far < 0.85 || far > 1.15 {
				t.Errorf("got mean estimates of %.2f of the own zone's and %.2f of another zone's usage, want about 1", near, far)
			}
			if got, want := unknown, len(f.exchanges)*(test.zones-1)/8; got > want {
				t.Errorf("got %d unknown totals, want at most %d", got, want)
			}
			perSecond := float64(f.crossed) / float64(len(f.exchanges)) / (rounds * sendInterval.Seconds())
			t.Logf("near %.2f, far %.2f, %d unknown, %.0f bytes/s cross for each instance", near, far, unknown, perSecond)
			if perSecond > test.crossed {
				t.Errorf("got %.0f bytes/s that cross, want at most %.0f", perSecond, test.crossed)
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
		receiveReport(t, e, start, message{Name: fmt.Sprint(i), Zone: "a"}, map[string]pipeline.Usage{"engine": {ReservedKV: 640}})
	}
	got, _ := e.PeerUsage(start)("engine")
	if want := 640.0 * members; math.Abs(got.ReservedKV-want) > want/20 {
		t.Errorf("got ReservedKV %.0f from %d of %d, want about %.0f", got.ReservedKV, reporting, members, want)
	}
}

// A round must go to a few instances of the own zone and to fewer of the others, each drawn once.
func TestRoundPrefersOwnZone(t *testing.T) {
	tests := []struct{ sameZone, otherZones, wantSameZone, wantOtherZones int }{{22, 45, maxSameZonePeers, 1}, {1, 4, 1, 3}, {0, 2, 0, 2}, {0, 0, 0, 0}}
	for _, test := range tests {
		var peers []Peer
		for i, peer := range peersOf(test.sameZone, test.otherZones) {
			peers = append(peers, Peer{Address: peer.Zone + fmt.Sprint(i), Zone: peer.Zone})
		}
		e := New(Config{Name: "me", Zone: "a", Peers: func() []Peer { return peers }, Usage: func() map[string]pipeline.Usage { return nil }})
		sent := make(map[string]int)
		e.sendRoundTo(start, func(peer string, _ []byte) {
			sent[peer]++
			sent[peer[:1]]++
		})
		if sent["a"] != test.wantSameZone || sent["b"] != test.wantOtherZones || len(sent) > test.wantSameZone+test.wantOtherZones+2 {
			t.Errorf("of %d and %d: got %v, want %d and %d, each once", test.sameZone, test.otherZones, sent, test.wantSameZone, test.wantOtherZones)
		}
	}
}

// The datagrams must stay within the bytes per second that an instance may send, and must go to at least one instance of
// its zone and one of another zone. The case of 180 engines also covers 490 instances and 1,900 engines, since datagrams
// don't grow above maxEntries.
func TestFanoutStaysWithinByteLimit(t *testing.T) {
	tests := []struct{ engines, instances, sameZone, otherZones int }{{33, 2, 4, 3}, {90, 24, 2, 1}, {180, 39, 1, 1}, {0, 1, 5, 3}}
	for _, test := range tests {
		otherZones := totalRecipients(test.instances)
		sameZone := fanout(test.engines, otherZones)
		if sameZone < test.sameZone || otherZones < test.otherZones || sameZone > maxSameZonePeers || otherZones > maxOtherZonePeers {
			t.Errorf("%d engines: got %d and %d, want %d and %d at least", test.engines, sameZone, otherZones, test.sameZone, test.otherZones)
		}
		size := headerBytes + min(test.engines, maxEntries)*entryBytes
		totalSize := headerBytes + min(test.engines, maxTotalEntries)*entryBytes
		if got, want := float64(sameZone*size+otherZones*totalSize)/sendInterval.Seconds(), 16.4e3; got > want {
			t.Errorf("%d engines: got %.0f bytes/s, want %.0f at most", test.engines, got, want)
		}
	}
}

// Guards against a datagram that leaves out engines which failed or are slow, or those with the most work.
func TestMostLoadedKeepsWhatMatters(t *testing.T) {
	usage := make(map[uint32]pipeline.Usage)
	for i := range uint32(100) {
		usage[i] = pipeline.Usage{WorkRate: float64(i)}
	}
	usage[3] = pipeline.Usage{FailedRecently: true}
	usage[4] = pipeline.Usage{Slowness: 12}
	kept := mostLoaded(usage, 10)
	for _, id := range []uint32{3, 4, 92, 99} {
		if _, ok := kept[id]; !ok || len(kept) != 10 {
			t.Errorf("got %d entries %v, want 10 with %d among them", len(kept), kept, id)
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

func TestDatagramFitsOnePacket(t *testing.T) {
	usage := make(map[uint32]pipeline.Usage)
	for i := range uint32(2 * maxEntries) {
		usage[i] = pipeline.Usage{ReservedKV: 4e9, WorkRate: 60}
	}
	header := message{Name: "an-instance-with-a-long-name-in-a-zone-1", Zone: "a-zone-with-a-long-name", Recipients: 5}
	datagram, err := encode(header, mostLoaded(usage, maxEntries))
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
		message{Name: "peer", Zone: "a", Recipients: 5}, map[uint32]pipeline.Usage{1: {ReservedKV: 1, WorkRate: 1}},
	)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram)
	f.Fuzz(func(t *testing.T, content []byte) {
		e := New(Config{Name: "me"})
		if err := e.receive(start, content); err == nil && len(e.reports)+len(e.totals) != 1 {
			t.Errorf("got %d reports from an accepted datagram, want 1", len(e.reports)+len(e.totals))
		}
	})
}
