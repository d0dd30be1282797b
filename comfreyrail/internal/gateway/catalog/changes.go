package catalog

import (
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/store"
)

// ChangesRequest asks an instance for changes of the store.
type ChangesRequest struct {
	// Era is the era of the store that After belongs to, zero if unknown.
	Era uint64
	// After is the revision after which changes are asked for; zero asks for the whole content.
	After uint64
	// Version is the version of the configuration in force, zero if there is none.
	Version uint64
	// MaxValueBytes is the maximum size in bytes of a value that is sent; zero means no limit.
	MaxValueBytes int
}

// Changes holds changes of the store that one instance sends to another.
type Changes struct {
	// Items lists the changed items; removed ones have Deleted set.
	Items []store.Item
	// Omitted lists the keys of the changed items whose values exceed the limit of the request; Items does not list these.
	Omitted []string
	// Era is the era of the store, zero if unknown.
	Era uint64
	// Kept is the configuration in force if the store was restored from a copy with an older one and the request states an older
	// version; its key is empty otherwise.
	Kept store.Item
	// Revision is the revision of the store up to which the changes are complete.
	Revision uint64
	// Age is the time since the store confirmed them to the sender.
	Age time.Duration
	// All reports whether Items is the whole content of the store rather than a difference.
	All bool
}

// maxRemovals is the maximum number of removed items that a changeLog keeps.
const maxRemovals = 1024

// loggedItem is an item with the revision at which its content last changed.
type loggedItem struct {
	item      store.Item
	changedAt uint64
}

// changeLog keeps the last state of each item and the revision of its last change, to serve other instances the changes
// after a revision.
//
// A server's entry that is written again with the same content, as by a heartbeat, does not count as changed.
type changeLog struct {
	mu              sync.Mutex
	items           map[string]loggedItem
	removed         map[string]loggedItem
	era             uint64
	compactRevision uint64     // removals up to this revision may be missing
	revision        uint64     // zero while the log is not complete
	kept            store.Item // Changes.Kept for requests that state an older version than keptVersion
	keptVersion     uint64     // zero if there is none
}

func newChangeLog() changeLog {
	return changeLog{items: make(map[string]loggedItem), removed: make(map[string]loggedItem)}
}

// reset empties the log and begins an era, in which the log is not complete before the next call of advance.
func (l *changeLog) reset(era uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items, l.removed = make(map[string]loggedItem), make(map[string]loggedItem)
	l.era, l.revision, l.compactRevision = era, 0, 0
}

// revisionOf returns the latest known revision of an item, zero if there is none.
func (l *changeLog) revisionOf(key string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.items[key].item.Revision, l.removed[key].item.Revision)
}

// keep sets the configuration that is in force, with its version, although the restored store has an older one. An item without a
// key means that there is none.
func (l *changeLog) keep(config store.Item, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept, l.keptVersion = config, version
}

// item returns the last state of an item, and false if it is unknown or was removed.
func (l *changeLog) item(key string) (item store.Item, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.items[key]
	return entry.item, ok
}

// lastRevision returns the revision up to which the log is complete.
func (l *changeLog) lastRevision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// keys returns the keys of the items that have not been removed.
func (l *changeLog) keys() (keys []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.items {
		keys = append(keys, key)
	}
	return keys
}

// add records the newest state of an item; changed reports whether the item may have changed the catalog's state.
func (l *changeLog) add(item store.Item, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if item.Deleted {
		delete(l.items, item.Key)
		l.removed[item.Key] = loggedItem{item: store.Item{Key: item.Key, Revision: item.Revision, Deleted: true}, changedAt: item.Revision}
		l.compact()
		return
	}
	delete(l.removed, item.Key)
	entry := l.items[item.Key]
	entry.item = item
	if changed || entry.changedAt == 0 {
		entry.changedAt = item.Revision
	}
	l.items[item.Key] = entry
}

// compact discards the oldest removals while there are more than maxRemovals.
func (l *changeLog) compact() {
	for len(l.removed) > maxRemovals {
		oldest := ""
		for key, entry := range l.removed {
			if oldest == "" || entry.changedAt < l.removed[oldest].changedAt {
				oldest = key
			}
		}
		l.compactRevision = max(l.compactRevision, l.removed[oldest].changedAt)
		delete(l.removed, oldest)
	}
}

// advance records the revision up to which the log is complete.
func (l *changeLog) advance(revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = max(l.revision, revision)
}

// since returns the changes that a request asks for. It returns all items if the request does, if its revision is of another era or
// if removals since then may have been discarded.
func (l *changeLog) since(request ChangesRequest) (changes Changes) {
	after := request.After
	l.mu.Lock()
	defer l.mu.Unlock()
	changes.Era, changes.Revision = l.era, l.revision
	if request.Version < l.keptVersion {
		changes.Kept = l.kept
	}
	changes.All = after == 0 || after < l.compactRevision || request.Era != l.era
	for _, entry := range l.items {
		if !changes.All && entry.changedAt <= after {
			continue
		}
		if request.MaxValueBytes > 0 && len(entry.item.Value) > request.MaxValueBytes {
			changes.Omitted = append(changes.Omitted, entry.item.Key)
			continue
		}
		changes.Items = append(changes.Items, entry.item)
	}
	if changes.All {
		return changes
	}
	for _, entry := range l.removed {
		if entry.changedAt > after {
			changes.Items = append(changes.Items, entry.item)
		}
	}
	return changes
}
