package forward

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// sharedStore is a store that several gateways may read and write. Its changes are known to those that watch at once.
type sharedStore struct {
	mu       sync.Mutex
	items    map[string]store.Item // deleted ones too
	revision uint64
	changed  chan struct{} // closed at the next change
}

// newSharedStore returns a store with a configuration and the entries of the servers.
func newSharedStore(servers []*server) *sharedStore {
	s := &sharedStore{items: make(map[string]store.Item), changed: make(chan struct{})}
	s.put(store.Item{Key: "config"})
	for _, listed := range servers {
		s.list(listed.entry())
	}
	return s
}

// list adds the entry of a server.
func (s *sharedStore) list(entry backend.Server) {
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.put(store.Item{Key: "servers/" + entry.ID, Value: value})
}

// unlist removes the entry of a server.
func (s *sharedStore) unlist(id string) { s.put(store.Item{Key: "servers/" + id, Deleted: true}) }

func (s *sharedStore) put(item store.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision = s.revision
	s.items[item.Key] = item
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns all items.
func (s *sharedStore) read(context.Context, string, string) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return store.Page{Items: s.after(0), Revision: s.revision}, nil
}

// after returns the items that changed after the revision. The caller must hold the mutex.
func (s *sharedStore) after(revision uint64) (items []store.Item) {
	for _, item := range s.items {
		if item.Revision > revision {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b store.Item) int { return int(a.Revision) - int(b.Revision) })
	return items
}

// watch waits for changes after the revision and returns them.
func (s *sharedStore) watch(ctx context.Context, revision uint64) (store.Changes, error) {
	for {
		s.mu.Lock()
		items, current, changed := s.after(revision), s.revision, s.changed
		s.mu.Unlock()
		if len(items) > 0 {
			return store.Changes{Items: items, Revision: current}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return store.Changes{}, ctx.Err()
		}
	}
}

func (s *sharedStore) grant(context.Context, time.Duration) (store.Lease, error) {
	return store.Lease{ID: 1}, nil
}

func (s *sharedStore) commit(_ context.Context, transaction store.Transaction) (era uint64, err error) {
	for _, write := range transaction.Writes {
		s.put(store.Item{Key: write.Key, Value: write.Value, Lease: write.Lease})
	}
	return 0, nil
}
