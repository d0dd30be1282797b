package install

import (
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// testGeneration is an encoded generation as a source provides it.
type testGeneration struct {
	manifest table.Manifest
	hash     table.Hash
	contents [][]byte
}

// newGeneration returns the generation with the number, whose tables hold a single pool with the given layers.
func newGeneration(t *testing.T, number uint64, layers int) testGeneration {
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
	g := testGeneration{manifest: next.Head.Manifest, hash: chunk.Hash, contents: [][]byte{chunk.Content}}
	for _, rows := range next.Chunks {
		g.contents = append(g.contents, rows.Content)
	}
	return g
}

// eventAt is an event at an offset from the start.
type eventAt struct {
	offset time.Duration
	event  Event
}

// TestHandle guards against an instance that is ready before it has caught up, that goes back to an older generation,
// or that puts invalid or contradicting content in force.
func TestHandle(t *testing.T) {
	// A negative number of layers is invalid.
	one, two, different, invalid := newGeneration(t, 1, 1), newGeneration(t, 2, 2), newGeneration(t, 2, 3), newGeneration(t, 3, -1)
	store, peer := Source{}, Source{Peer: "b"}
	read := func(g testGeneration) Event { return HeadRead{Manifest: g.manifest} }
	offer := func(g testGeneration) Event {
		return GenerationOffered{Peer: peer.Peer, Generation: g.manifest.Generation, Hash: g.hash}
	}
	fetched := func(g testGeneration, from Source) Event {
		return Fetched{Generation: g.manifest.Generation, From: from, Contents: g.contents}
	}
	failed := func(g testGeneration, from Source) Event {
		return Fetched{Generation: g.manifest.Generation, From: from, Failed: true}
	}
	tests := []struct {
		name       string
		events     []eventAt
		generation uint64
		ready      bool
		violations uint64
	}{
		// A generation from a peer needs two fetches, the manifest and then the chunks; a head read from the store contains the
		// manifest.
		{"store responded, peers queried", []eventAt{{0, read(one)}, {0, fetched(one, store)}, {0, PeersQueried{}}}, 1, true, 0},
		{"peers not queried yet", []eventAt{{0, read(one)}, {0, fetched(one, store)}}, 1, false, 0},
		{"newer generation being fetched", []eventAt{{0, read(one)}, {0, fetched(one, store)}, {0, offer(two)}, {0, PeersQueried{}}}, 1, false, 0},
		{"nothing accepted yet", []eventAt{{0, HeadAbsent{}}, {0, PeersQueried{}}}, 0, false, 0},
		{"older head read late", []eventAt{{0, read(two)}, {0, fetched(two, store)}, {0, read(one)}}, 2, false, 0},
		{"older generation offered", []eventAt{{0, read(two)}, {0, fetched(two, store)}, {0, offer(one)}}, 2, false, 0},
		{"older generation fetched late", []eventAt{{0, read(one)}, {0, read(two)}, {0, fetched(two, store)}, {0, fetched(one, store)}}, 2, false, 0},
		{"peer only, before StartWait", []eventAt{{0, offer(one)}, {0, fetched(one, peer)}, {0, fetched(one, peer)}, {0, PeersQueried{}}}, 1, false, 0},
		{"peer only, after StartWait", []eventAt{{0, offer(one)}, {0, fetched(one, peer)}, {0, fetched(one, peer)}, {0, PeersQueried{}}, {DefaultStartWait, Tick{}}}, 1, true, 0},
		{"newer generation not fetched", []eventAt{{0, read(one)}, {0, fetched(one, store)}, {0, offer(two)}, {0, failed(two, peer)}, {0, PeersQueried{}}}, 1, false, 0},
		{"fetch from peer failed, fetch from store succeeded", []eventAt{{0, offer(one)}, {0, failed(one, peer)}, {0, read(one)}, {0, fetched(one, store)}}, 1, false, 0},
		{"fetch timeout", []eventAt{{0, offer(one)}, {time.Minute, Tick{}}, {time.Minute, read(one)}, {time.Minute, fetched(one, store)}}, 1, false, 0},
		{"isolated", []eventAt{{0, read(one)}, {0, fetched(one, store)}, {0, PeersQueried{}}, {time.Minute, Tick{}}}, 1, false, 0},
		{"isolation ended", []eventAt{{0, read(one)}, {0, fetched(one, store)}, {0, PeersQueried{}}, {time.Minute, Tick{}}, {time.Minute, read(one)}}, 1, true, 0},
		{"different content of generation in force", []eventAt{{0, read(two)}, {0, fetched(two, store)}, {0, offer(different)}}, 2, false, 1},
		{"different content of generation being fetched", []eventAt{{0, read(two)}, {0, offer(different)}, {0, fetched(two, store)}}, 2, false, 1},
		{"invalid tables", []eventAt{{0, read(two)}, {0, fetched(two, store)}, {0, read(invalid)}, {0, fetched(invalid, store)}}, 2, false, 1},
		{"unexpected content", []eventAt{{0, read(one)}, {0, Fetched{Generation: 1, Contents: different.contents}}}, 0, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			checker := new(invariant.Checker)
			installer := New(Config{Checker: checker})
			for _, e := range test.events {
				installer.Handle(e.event, time.Unix(1000, 0).Add(e.offset))
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
