package catalog

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/route"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// fakeStore provides responses of the store and of other instances, and a clock, that a test sets.
type fakeStore struct {
	now         time.Duration
	heldUp      time.Duration // for which a watch lasts because this instance is held up
	items       []store.Item
	changes     []store.Item
	era         uint64
	revision    uint64 // of a read of everything, 10 if zero
	err         error
	peerErr     error
	peerChanges Changes
	fetchedFrom []string
	reads       int
}

var errDown = errors.New("down")

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// newCatalog returns a catalog that reads the fake store. A server's entry is "ready", "draining" or "bad" (malformed); the
// configuration is its version as one digit, or "bad".
func newCatalog(fake *fakeStore, self Instance) *Catalog {
	return New(Config{
		Range: func(context.Context, string, string) (store.Page, error) {
			fake.reads++
			return store.Page{Items: fake.items, Revision: cmp.Or(fake.revision, 10), Era: fake.era}, fake.err
		},
		Watch: func(context.Context, string, uint64, time.Duration) (store.Changes, error) {
			fake.reads++
			fake.now += fake.heldUp
			revision := uint64(0)
			for _, item := range fake.changes {
				revision = max(revision, item.Revision)
			}
			return store.Changes{Items: fake.changes, Revision: revision, Era: fake.era}, fake.err
		},
		FetchChanges: func(_ context.Context, address string, _ ChangesRequest) (Changes, error) {
			fake.fetchedFrom = append(fake.fetchedFrom, address)
			return fake.peerChanges, fake.peerErr
		},
		Self: self, ConfigKey: "config",
		DecodeConfig: func(value []byte) (config route.Config, err error) {
			if string(value) == "bad" {
				return config, errDown
			}
			return route.Config{Version: uint64(value[0] - '0')}, nil
		},
		ServerID: func(key string) (string, bool) { return strings.CutPrefix(key, "servers/") },
		DecodeServer: func(id string, value []byte) (backend.Server, error) {
			if string(value) == "bad" {
				return backend.Server{}, errDown
			}
			return backend.Server{ID: id, Service: "app", Draining: string(value) == "draining"}, nil
		},
		WatchInterval: 500 * time.Millisecond, Elapsed: func() time.Duration { return fake.now }, Log: discardLog(),
	})
}

// refreshOnce runs one iteration of the loop in Serve, without the pause and without the reset of the revision after
// store.ErrCompacted.
func refreshOnce(t *testing.T, c *Catalog, fake *fakeStore) {
	t.Helper()
	start := fake.now
	age, err := c.refresh(context.Background())
	if err == nil {
		c.recordConfirmed(start - age)
	} else if !errors.Is(err, store.ErrCompacted) && !errors.Is(err, errStoreSkipped) {
		c.recordFailure(context.Background(), err)
	}
	c.expireServers()
}

func item(key, value string, revision uint64) store.Item {
	return store.Item{Key: key, Value: []byte(value), Revision: revision}
}

func removed(key string, revision uint64) store.Item {
	return store.Item{Key: key, Revision: revision, Deleted: true}
}

func servers(c *Catalog) (ids []string) {
	for _, server := range c.Snapshot().Servers["app"] {
		ids = append(ids, server.ID)
	}
	slices.Sort(ids)
	return ids
}

func TestConfigNeverRollsBack(t *testing.T) {
	fake := &fakeStore{items: []store.Item{item("config", "5", 3)}}
	c := newCatalog(fake, Instance{Name: "a"})
	refreshOnce(t, c, fake)
	tests := []struct {
		name string
		item store.Item
		want uint64
	}{
		{"an older revision", item("config", "6", 2), 5},
		{"an older version", item("config", "4", 11), 5},
		{"a malformed one", item("config", "bad", 12), 5},
		{"a removal", removed("config", 13), 5},
		{"a newer version", item("config", "7", 14), 7},
	}
	for _, test := range tests {
		fake.changes = []store.Item{test.item}
		refreshOnce(t, c, fake)
		if got := c.Snapshot().Index.Config.Version; got != test.want {
			t.Errorf("%s: got version %d, want %d", test.name, got, test.want)
		}
	}
}

func TestMalformedEntryIgnored(t *testing.T) {
	fake := &fakeStore{items: []store.Item{item("servers/good", "ready", 1), item("servers/bad", "bad", 2)}}
	c := newCatalog(fake, Instance{Name: "a"})
	refreshOnce(t, c, fake)
	if got, want := servers(c), []string{"good"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A malformed entry is written again with each heartbeat, but must be logged only once.
func TestMalformedEntryLoggedOnce(t *testing.T) {
	fake := &fakeStore{items: []store.Item{item("servers/bad", "bad", 1)}}
	c := newCatalog(fake, Instance{Name: "a"})
	logger := logrus.New()
	var out strings.Builder
	logger.SetOutput(&out)
	c.config.Log = logrus.NewEntry(logger)
	refreshOnce(t, c, fake)
	for revision := uint64(20); revision < 25; revision++ {
		fake.changes = []store.Item{item("servers/bad", "bad", revision)}
		refreshOnce(t, c, fake)
	}
	if got := strings.Count(out.String(), "malformed server entry"); got != 1 {
		t.Errorf("got %d lines, want 1", got)
	}
}

// Guards against a server that was removed in the compacted part of the history staying in the catalog.
func TestEverythingReadAgainAfterCompaction(t *testing.T) {
	fake := &fakeStore{items: []store.Item{item("servers/one", "ready", 1)}}
	c := newCatalog(fake, Instance{Name: "a"})
	refreshOnce(t, c, fake)
	fake.err = store.ErrCompacted
	_, err := c.refresh(context.Background())
	if !errors.Is(err, store.ErrCompacted) {
		t.Fatalf("got %v, want store.ErrCompacted", err)
	}
	fake.err, c.revision = nil, 0
	fake.items = []store.Item{item("servers/two", "ready", 30)}
	refreshOnce(t, c, fake)
	if got, want := servers(c), []string{"two"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// fleetOf returns the records of instances with the given names in one zone.
func fleetOf(names ...string) (instances []Instance) {
	for _, name := range names {
		instances = append(instances, Instance{Name: name, Zone: "z", PeerAddress: name + ":1"})
	}
	return instances
}

func record(t *testing.T, instance Instance, revision uint64) store.Item {
	t.Helper()
	value, err := instance.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return item(InstancePrefix+instance.Name, string(value), revision)
}

// One instance of a zone reads the store; the others must fetch the changes from it, and must use another source if these
// are stale. The age of the changes counts from the start of the fetch.
func TestInstancesFetchFromReader(t *testing.T) {
	instances := fleetOf("a", "b", "c")
	reader := highestRanked(instances, 1)[0]
	var self Instance
	for _, instance := range instances {
		if instance.Name != reader.Name {
			self = instance
		}
	}
	fake := &fakeStore{now: 100 * time.Second}
	for i, instance := range instances {
		fake.items = append(fake.items, record(t, instance, uint64(i+1)))
	}
	c := newCatalog(fake, self)
	refreshOnce(t, c, fake)
	fake.now += time.Second
	fake.peerChanges = Changes{Revision: 50, Age: 400 * time.Millisecond, Items: []store.Item{item("config", "3", 40)}}
	reads := fake.reads
	refreshOnce(t, c, fake)
	if got := fake.reads - reads; got != 0 || !slices.Equal(fake.fetchedFrom, []string{reader.PeerAddress}) {
		t.Errorf("got %d reads of the store and fetches from %v, want one fetch from %s", got, fake.fetchedFrom, reader.PeerAddress)
	}
	if got, _ := c.Age(); got != 400*time.Millisecond {
		t.Errorf("got age %v, want that of the fetched changes", got)
	}
	if got := c.Snapshot().Index; got == nil || got.Config.Version != 3 {
		t.Errorf("got index %v, want version 3", got)
	}
	fake.now += time.Second
	fake.peerChanges.Age = 3 * time.Second
	refreshOnce(t, c, fake)
	if got := fake.reads - reads; got == 0 && len(fake.fetchedFrom) < 3 {
		t.Errorf("got %d reads of the store and fetches from %v, want another source after stale changes", got, fake.fetchedFrom)
	}
	if got, _ := c.Age(); got > 1400*time.Millisecond {
		t.Errorf("got age %v, want at most 1.4s: stale changes must not increase it", got)
	}
}

// An instance that the store throttles must fetch changes from another instance, and must not count them as confirmed by
// the store if they are stale.
func TestThrottledByStore(t *testing.T) {
	fake := &fakeStore{now: time.Minute, items: []store.Item{
		record(t, Instance{Name: "a", Zone: "x", PeerAddress: "a:1"}, 1), record(t, Instance{Name: "b", Zone: "y", PeerAddress: "b:1"}, 2),
	}}
	c := newCatalog(fake, Instance{Name: "a", Zone: "x", PeerAddress: "a:1"})
	refreshOnce(t, c, fake)
	fake.err = store.ErrThrottled
	fake.peerChanges = Changes{Revision: 60, Age: 200 * time.Millisecond}
	fake.now += 2 * time.Second
	refreshOnce(t, c, fake)
	if got, _ := c.Age(); got != 200*time.Millisecond {
		t.Errorf("got age %v, want that of the other instance's changes", got)
	}
	fake.peerChanges.Age = 10 * time.Second
	fake.now += 5 * time.Second
	refreshOnce(t, c, fake)
	if got, _ := c.Age(); got < 5*time.Second {
		t.Errorf("got age %v, want stale changes not to reduce it", got)
	}
}

// Guards against sending other instances the entries that a heartbeat has written again unchanged.
func TestChangesOmitHeartbeats(t *testing.T) {
	fake := &fakeStore{items: []store.Item{item("servers/one", "ready", 1), item("servers/two", "ready", 2)}}
	c := newCatalog(fake, Instance{Name: "a"})
	if _, ok := c.Changes(ChangesRequest{}); ok {
		t.Error("got changes before the first read of the store, want none")
	}
	refreshOnce(t, c, fake)
	fake.changes = []store.Item{item("servers/one", "ready", 20), item("servers/two", "draining", 21), removed("servers/three", 22)}
	refreshOnce(t, c, fake)
	tests := []struct {
		after uint64
		all   bool
		want  []string
	}{
		{0, true, []string{"servers/one", "servers/two"}},
		{10, false, []string{"servers/three", "servers/two"}},
		{22, false, nil},
	}
	for _, test := range tests {
		changes, ok := c.Changes(ChangesRequest{After: test.after})
		var got []string
		for _, item := range changes.Items {
			got = append(got, item.Key)
		}
		slices.Sort(got)
		if !ok || changes.All != test.all || !slices.Equal(got, test.want) {
			t.Errorf("after %d: got %v, all %v, want %v, %v: heartbeats are not changes", test.after, got, changes.All, test.want, test.all)
		}
	}
}

// While the store is down, the reader must call it at every step and the other instances only after a backoff.
func TestStoreBackoff(t *testing.T) {
	instances := fleetOf("a", "b", "c", "d")
	reader := highestRanked(instances, 1)[0]
	for _, self := range instances {
		fake := &fakeStore{now: time.Minute}
		for i, instance := range instances {
			fake.items = append(fake.items, record(t, instance, uint64(i+1)))
		}
		c := newCatalog(fake, self)
		refreshOnce(t, c, fake)
		fake.err, fake.peerErr = errDown, errDown
		reads := fake.reads
		const steps = 20
		for range steps {
			fake.now += 250 * time.Millisecond
			refreshOnce(t, c, fake)
		}
		got := fake.reads - reads
		if self.Name == reader.Name && got != steps {
			t.Errorf("the reader called the store %d times, want every time: %d", got, steps)
		}
		if self.Name != reader.Name && got > steps/4 {
			t.Errorf("%s called the store %d times in 5 s, want %d at most", self.Name, got, steps/4)
		}
	}
}

// largeFleet returns 60 instances of one zone and the items of their records.
func largeFleet(t *testing.T) (instances []Instance, records []store.Item) {
	t.Helper()
	var names []string
	for i := range 60 {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	instances = fleetOf(names...)
	for i, instance := range instances {
		records = append(records, record(t, instance, uint64(i+1)))
	}
	return instances, records
}

// The total rate of calls to a store that is down must stay bounded for any number of instances.
func TestStoreBackoffLargeFleet(t *testing.T) {
	instances, records := largeFleet(t)
	const seconds = 10
	reads := 0
	for _, self := range instances {
		fake := &fakeStore{now: time.Minute, items: records}
		c := newCatalog(fake, self)
		refreshOnce(t, c, fake)
		if _, hasReader := storeReader(instances, self); !hasReader {
			continue
		}
		fake.err, fake.peerErr = errDown, errDown
		before := fake.reads
		for range seconds * 4 {
			fake.now += 250 * time.Millisecond
			refreshOnce(t, c, fake)
		}
		reads += fake.reads - before
	}
	firstReads := len(instances)
	if got, want := float64(reads-firstReads)/seconds, 1/storeBackoffPerInstance.Seconds(); got > want {
		t.Errorf("got %.1f calls/s after the first call of each instance, want %.1f at most", got, want)
	}
}

// After the store has compacted its history the readers have no fresh changes, and everything must be read again. Only a few
// of many instances may do so; the others must fetch the changes from these.
func TestFewInstancesRereadAfterCompaction(t *testing.T) {
	instances, records := largeFleet(t)
	random := rand.New(rand.NewPCG(1, 2))
	reads, fresh := 0, 0
	for _, self := range instances {
		fake := &fakeStore{now: time.Minute, items: records}
		c := newCatalog(fake, self)
		c.config.Random = random.Float64
		refreshOnce(t, c, fake)
		if _, hasReader := storeReader(instances, self); !hasReader {
			continue
		}
		before := fake.reads
		fake.peerChanges = Changes{Revision: 50, Age: 5 * time.Second}
		fake.err = store.ErrCompacted
		fake.now += time.Second
		refreshOnce(t, c, fake)
		// By the next step a few instances have read everything.
		fake.err, fake.peerChanges = nil, Changes{Revision: 60, Age: 100 * time.Millisecond}
		fake.now += retryDelay
		refreshOnce(t, c, fake)
		reads += fake.reads - before
		if age, ok := c.Age(); ok && age <= c.maxPeerAge() {
			fresh++
		}
	}
	if want := 3 * int(meanFallbackReads); reads > want {
		t.Errorf("got %d calls to the store, want %d at most", reads, want)
	}
	if want := len(instances) - 3; fresh < want {
		t.Errorf("got %d instances with fresh changes a step later, want %d", fresh, want)
	}
}

// The fallback peer must usually be of this instance's zone, but sometimes of any zone, and of another zone if there is
// no other choice.
func TestFallbackPeerPrefersOwnZone(t *testing.T) {
	var instances []Instance
	for i := range 30 {
		instances = append(instances, Instance{Name: fmt.Sprint(i), Zone: string(rune('a' + i%3))})
	}
	self, sameZone := instances[0], 0
	const draws = 1000
	for range draws {
		peer, ok := fallbackPeer(instances, self)
		if !ok || peer == self {
			t.Fatalf("got %+v, %v, want another instance", peer, ok)
		}
		if peer.Zone == self.Zone {
			sameZone++
		}
	}
	if least, most := draws*7/10, draws*95/100; sameZone < least || sameZone > most {
		t.Errorf("got %d of %d from the same zone, want %d to %d", sameZone, draws, least, most)
	}
	if peer, ok := fallbackPeer(instances[:2], self); !ok || peer != instances[1] {
		t.Errorf("got %+v, %v, want the only other instance", peer, ok)
	}
	if _, ok := fallbackPeer(instances[:1], self); ok {
		t.Error("got a fallback peer for a single instance, want none")
	}
}
