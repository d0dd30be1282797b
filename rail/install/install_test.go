package install

import (
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// stored is a generation as its source keeps it.
type stored struct {
	manifest table.Manifest
	hash     table.Hash
	contents [][]byte
}

// generation returns a generation of a single pool with the number of layers.
func generation(t *testing.T, number uint64, layers int) stored {
	t.Helper()
	tables := &table.Tables{Generation: number, Pools: []table.Pool{{Name: "p", Kind: table.ModelPool, Layers: layers}}}
	next, err := table.UpdateHead(new(table.Head), tables, table.HistoryEntry{ID: "e"})
	if err != nil {
		t.Fatal(err)
	}
	chunk, err := table.EncodeManifest(&next.Head.Manifest)
	if err != nil {
		t.Fatal(err)
	}
	s := stored{manifest: next.Head.Manifest, hash: chunk.Hash, contents: [][]byte{chunk.Content}}
	for _, rows := range next.Chunks {
		s.contents = append(s.contents, rows.Content)
	}
	return s
}

// event is an event at a time after the start.
type eventAt struct {
	after time.Duration
	event Event
}

func TestHandle(t *testing.T) {
	one, two, other, invalid := generation(t, 1, 1), generation(t, 2, 2), generation(t, 2, 3), generation(t, 3, -1)
	service, peer := Source{}, Source{Peer: "b"}
	read := func(s stored) Event { return HeadRead{Manifest: s.manifest} }
	offer := func(s stored) Event {
		return GenerationOffered{Peer: peer.Peer, Generation: s.manifest.Generation, Hash: s.hash}
	}
	fetched := func(s stored, from Source) Event {
		return Fetched{Generation: s.manifest.Generation, From: from, Contents: s.contents}
	}
	failed := func(s stored, from Source) Event {
		return Fetched{Generation: s.manifest.Generation, From: from, Failed: true}
	}
	tests := []struct {
		name       string
		events     []eventAt
		generation uint64
		ready      bool
		violations uint64
	}{
		{"service and peers", []eventAt{{0, read(one)}, {0, fetched(one, service)}, {0, PeersPolled{}}}, 1, true, 0},
		{"peers not asked yet", []eventAt{{0, read(one)}, {0, fetched(one, service)}}, 1, false, 0},
		{"newer generation still fetched", []eventAt{{0, read(one)}, {0, fetched(one, service)}, {0, offer(two)}, {0, PeersPolled{}}}, 1, false, 0},
		{"nothing accepted yet", []eventAt{{0, HeadAbsent{}}, {0, PeersPolled{}}}, 0, false, 0},
		{"slow read", []eventAt{{0, read(two)}, {0, fetched(two, service)}, {0, read(one)}}, 2, false, 0},
		{"lagging peer", []eventAt{{0, read(two)}, {0, fetched(two, service)}, {0, offer(one)}}, 2, false, 0},
		{"late fetch", []eventAt{{0, read(one)}, {0, read(two)}, {0, fetched(two, service)}, {0, fetched(one, service)}}, 2, false, 0},
		{"peer alone, too soon", []eventAt{{0, offer(one)}, {0, fetched(one, peer)}, {0, fetched(one, peer)}, {0, PeersPolled{}}}, 1, false, 0},
		{"peer alone, service out", []eventAt{{0, offer(one)}, {0, fetched(one, peer)}, {0, fetched(one, peer)}, {0, PeersPolled{}}, {DefaultStartWait, Tick{}}}, 1, true, 0},
		{"newer generation that cannot be fetched", []eventAt{{0, read(one)}, {0, fetched(one, service)}, {0, offer(two)}, {0, failed(two, peer)}, {0, PeersPolled{}}}, 1, false, 0},
		{"peer without content, then the service", []eventAt{{0, offer(one)}, {0, failed(one, peer)}, {0, read(one)}, {0, fetched(one, service)}}, 1, false, 0},
		{"fetch without end", []eventAt{{0, offer(one)}, {time.Minute, Tick{}}, {time.Minute, read(one)}, {time.Minute, fetched(one, service)}}, 1, false, 0},
		{"isolated", []eventAt{{0, read(one)}, {0, fetched(one, service)}, {0, PeersPolled{}}, {time.Minute, Tick{}}}, 1, false, 0},
		{"contact again", []eventAt{{0, read(one)}, {0, fetched(one, service)}, {0, PeersPolled{}}, {time.Minute, Tick{}}, {time.Minute, read(one)}}, 1, true, 0},
		{"other content of the generation in force", []eventAt{{0, read(two)}, {0, fetched(two, service)}, {0, offer(other)}}, 2, false, 1},
		{"other content of a generation that is fetched", []eventAt{{0, read(two)}, {0, offer(other)}, {0, fetched(two, service)}}, 2, false, 1},
		{"invalid tables", []eventAt{{0, read(two)}, {0, fetched(two, service)}, {0, read(invalid)}, {0, fetched(invalid, service)}}, 2, false, 1},
		{"content that was not asked for", []eventAt{{0, read(one)}, {0, Fetched{Generation: 1, Contents: other.contents}}}, 0, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			checker := new(invariant.Checker)
			installer := New(Config{Checker: checker})
			for _, e := range test.events {
				installer.Handle(e.event, time.Unix(1000, 0).Add(e.after))
			}
			if got := installer.InForce().Manifest.Generation; got != test.generation {
				t.Errorf("generation in force: got %d, want %d", got, test.generation)
			}
			if got := installer.Ready(); got != test.ready {
				t.Errorf("ready: got %t, want %t", got, test.ready)
			}
			if got := checker.Violations(); got != test.violations {
				t.Errorf("violations: got %d, want %d", got, test.violations)
			}
		})
	}
}
