package catalog

import (
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Changes is what one instance tells another of the store.
type Changes struct {
	// Items lists the items that changed, with marks for those that were removed.
	Items []store.Item
	// Revision is the revision up to which the answer tells everything.
	Revision uint64
	// Age is the time since the store confirmed it.
	Age time.Duration
	// All tells that the items are all that there are.
	All bool
}

// maxRemoved is the number of removed items that are remembered.
const maxRemoved = 1024

// logged is an item with the revision at which it last said something new.
type logged struct {
	item store.Item
	news uint64
}

// changeLog keeps the last state of each item, so that another instance can be told what changed after a revision.
//
// Entries that are only written again, as heartbeats are, are no news.
type changeLog struct {
	mu       sync.Mutex
	items    map[string]logged
	removed  map[string]logged
	horizon  uint64 // removals up to this revision may be forgotten
	revision uint64
}

func newChangeLog() changeLog {
	return changeLog{items: make(map[string]logged), removed: make(map[string]logged)}
}

// revisionOf returns the last revision of an item that is known, zero for none.
func (l *changeLog) revisionOf(key string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.items[key].item.Revision, l.removed[key].item.Revision)
}

// keys returns the keys of the items that exist.
func (l *changeLog) keys() (keys []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.items {
		keys = append(keys, key)
	}
	return keys
}

// add takes an item, and whether it says anything new.
func (l *changeLog) add(item store.Item, news bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if item.Deleted {
		delete(l.items, item.Key)
		l.removed[item.Key] = logged{item: store.Item{Key: item.Key, Revision: item.Revision, Deleted: true}, news: item.Revision}
		l.forget()
		return
	}
	delete(l.removed, item.Key)
	held := l.items[item.Key]
	held.item = item
	if news || held.news == 0 {
		held.news = item.Revision
	}
	l.items[item.Key] = held
}

// forget drops the oldest removals beyond the limit.
func (l *changeLog) forget() {
	for len(l.removed) > maxRemoved {
		oldest := ""
		for key, held := range l.removed {
			if oldest == "" || held.news < l.removed[oldest].news {
				oldest = key
			}
		}
		l.horizon = max(l.horizon, l.removed[oldest].news)
		delete(l.removed, oldest)
	}
}

// advance notes the revision up to which everything is known.
func (l *changeLog) advance(revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = max(l.revision, revision)
}

// since returns what changed after a revision, or everything if that is no longer known.
func (l *changeLog) since(after uint64) (changes Changes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes.Revision = l.revision
	changes.All = after == 0 || after < l.horizon
	for _, held := range l.items {
		if changes.All || held.news > after {
			changes.Items = append(changes.Items, held.item)
		}
	}
	if changes.All {
		return changes
	}
	for _, held := range l.removed {
		if held.news > after {
			changes.Items = append(changes.Items, held.item)
		}
	}
	return changes
}
