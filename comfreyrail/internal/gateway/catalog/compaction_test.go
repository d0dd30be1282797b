package catalog

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Guards against a server that still gets requests at other instances although its entry is gone: it was removed in the part of
// the history that the store has compacted, the reader found that out by reading everything, and the others, which know later
// revisions than that of the entry, are not told.
func TestRemovalFoundAfterCompactionReachesOthers(t *testing.T) {
	instances := fleetOf("a", "b")
	ranked := highestRanked(instances, 2)
	fake := &fakeStore{now: time.Minute, items: []store.Item{
		record(t, instances[0], 1), record(t, instances[1], 2), item("servers/one", "ready", 3), item("servers/two", "ready", 4),
	}}
	reader, other := newCatalog(fake, ranked[0]), newCatalog(fake, ranked[1])
	refreshOnce(t, reader, fake)
	refreshOnce(t, other, fake)

	fake.changes = []store.Item{item("servers/two", "ready", 20)}
	refreshOnce(t, reader, fake)
	fake.peerChanges, _ = reader.Changes(ChangesRequest{After: other.revision})
	refreshOnce(t, other, fake)

	reader.config.Range = func(context.Context, string, string) (store.Page, error) {
		return store.Page{Items: fake.items, Revision: 30}, nil
	}
	reader.revision = 0 // as Serve does after store.ErrCompacted
	fake.items = []store.Item{record(t, instances[0], 1), record(t, instances[1], 2), item("servers/two", "ready", 25)}
	refreshOnce(t, reader, fake)
	fake.peerChanges, _ = reader.Changes(ChangesRequest{After: other.revision})
	refreshOnce(t, other, fake)
	for _, c := range []*Catalog{reader, other} {
		if got, want := servers(c), []string{"two"}; !slices.Equal(got, want) {
			t.Errorf("%s: got %v, want %v", c.config.Self.Name, got, want)
		}
	}
}
