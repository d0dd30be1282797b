package catalog

import (
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

// world is a store whose answers a test sets, with a clock that only the test moves.
type world struct {
	now     time.Duration
	items   []store.Item
	changes []store.Item
	err     error
	peerErr error
	peer    Changes
	asked   []string
	reads   int
}

var errDown = errors.New("down")

func quiet() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// newCatalog returns a catalog whose entries of servers read "ready" or "draining" and whose configuration is its version.
func newCatalog(w *world, self Instance) *Catalog {
	return New(Config{
		Range: func(context.Context, string, string) (store.Page, error) {
			w.reads++
			return store.Page{Items: w.items, Revision: 10}, w.err
		},
		Watch: func(context.Context, string, uint64, time.Duration) (store.Changes, error) {
			w.reads++
			revision := uint64(0)
			for _, item := range w.changes {
				revision = max(revision, item.Revision)
			}
			return store.Changes{Items: w.changes, Revision: revision}, w.err
		},
		FetchChanges: func(_ context.Context, address string, _ uint64) (Changes, error) {
			w.asked = append(w.asked, address)
			return w.peer, w.peerErr
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
		WatchInterval: 500 * time.Millisecond, Elapsed: func() time.Duration { return w.now }, Log: quiet(),
	})
}

// turn lets the catalog read once, as Serve does.
func turn(t *testing.T, c *Catalog, w *world) {
	t.Helper()
	began := w.now
	age, err := c.step(context.Background())
	if err == nil {
		c.reached(began - age)
	} else if !errors.Is(err, store.ErrCompacted) && !errors.Is(err, errLater) {
		c.lost(context.Background(), err)
	}
	c.expire()
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

func TestConfigurationNeverGoesBack(t *testing.T) {
	w := &world{items: []store.Item{item("config", "5", 3)}}
	c := newCatalog(w, Instance{Name: "a"})
	turn(t, c, w)
	tests := []struct {
		name string
		item store.Item
		want uint64
	}{
		{"an older revision", item("config", "6", 2), 5},
		{"an older version", item("config", "4", 11), 5},
		{"one that cannot be read", item("config", "bad", 12), 5},
		{"a removal", removed("config", 13), 5},
		{"a newer version", item("config", "7", 14), 7},
	}
	for _, test := range tests {
		w.changes = []store.Item{test.item}
		turn(t, c, w)
		if got := c.Snapshot().Table.Config.Version; got != test.want {
			t.Errorf("%s: got version %d, want %d", test.name, got, test.want)
		}
	}
}

func TestEntriesThatNameNoServer(t *testing.T) {
	w := &world{items: []store.Item{item("servers/good", "ready", 1), item("servers/bad", "bad", 2)}}
	c := newCatalog(w, Instance{Name: "a"})
	turn(t, c, w)
	if got, want := servers(c), []string{"good"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// An entry that names no server is written again with each heartbeat, and logged once.
func TestMalformedEntriesAreLoggedOnce(t *testing.T) {
	w := &world{items: []store.Item{item("servers/bad", "bad", 1)}}
	c := newCatalog(w, Instance{Name: "a"})
	logger := logrus.New()
	var out strings.Builder
	logger.SetOutput(&out)
	c.config.Log = logrus.NewEntry(logger)
	turn(t, c, w)
	for revision := uint64(20); revision < 25; revision++ {
		w.changes = []store.Item{item("servers/bad", "bad", revision)}
		turn(t, c, w)
	}
	if got := strings.Count(out.String(), "entry names no server"); got != 1 {
		t.Errorf("got %d lines, want 1", got)
	}
}

// Entries lapse while the store is away; those that do not come back soon after its return are gone.
func TestEntriesThatLapseWithTheStore(t *testing.T) {
	w := &world{items: []store.Item{item("servers/one", "ready", 1), item("servers/two", "ready", 2)}}
	c := newCatalog(w, Instance{Name: "a"})
	turn(t, c, w)
	w.err = errDown
	w.now = 3 * time.Second
	turn(t, c, w)
	w.err, w.now = nil, 6*time.Second
	w.changes = []store.Item{removed("servers/one", 20), removed("servers/two", 21)}
	turn(t, c, w)
	if got, want := servers(c), []string{"one", "two"}; !slices.Equal(got, want) {
		t.Errorf("at the return: got %v, want %v", got, want)
	}
	w.now = 7 * time.Second
	w.changes = []store.Item{item("servers/one", "ready", 22)}
	turn(t, c, w)
	w.changes, w.now = nil, 9*time.Second
	turn(t, c, w)
	if got, want := servers(c), []string{"one"}; !slices.Equal(got, want) {
		t.Errorf("after the time to come back: got %v, want %v", got, want)
	}
}

func TestServersThatLeaveAreGoneAtOnce(t *testing.T) {
	w := &world{items: []store.Item{item("servers/one", "ready", 1)}}
	c := newCatalog(w, Instance{Name: "a"})
	turn(t, c, w)
	w.changes = []store.Item{removed("servers/one", 20)}
	turn(t, c, w)
	if got := servers(c); len(got) != 0 {
		t.Errorf("got %v, want none while the store never was away", got)
	}
}

func TestHistoryGone(t *testing.T) {
	w := &world{items: []store.Item{item("servers/one", "ready", 1)}}
	c := newCatalog(w, Instance{Name: "a"})
	turn(t, c, w)
	w.err = store.ErrCompacted
	_, err := c.step(context.Background())
	if !errors.Is(err, store.ErrCompacted) {
		t.Fatalf("got %v, want the history to be gone", err)
	}
	w.err, c.revision = nil, 0
	w.items = []store.Item{item("servers/two", "ready", 30)}
	turn(t, c, w)
	if got, want := servers(c), []string{"two"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// fleetOf returns records of instances in one zone, the reader first.
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

// One instance of a zone reads the store; the others ask it, and count its age from their own question.
func TestOthersAskTheReader(t *testing.T) {
	instances := fleetOf("a", "b", "c")
	reader := highest(instances, 1)[0]
	var self Instance
	for _, instance := range instances {
		if instance.Name != reader.Name {
			self = instance
		}
	}
	w := &world{now: 100 * time.Second}
	for i, instance := range instances {
		w.items = append(w.items, record(t, instance, uint64(i+1)))
	}
	c := newCatalog(w, self)
	turn(t, c, w)
	w.now += time.Second
	w.peer = Changes{Revision: 50, Age: 400 * time.Millisecond, Items: []store.Item{item("config", "3", 40)}}
	reads := w.reads
	turn(t, c, w)
	if got := w.reads - reads; got != 0 || !slices.Equal(w.asked, []string{reader.PeerAddress}) {
		t.Errorf("got %d reads and questions to %v, want a question to %s alone", got, w.asked, reader.PeerAddress)
	}
	if got, _ := c.Age(); got != 400*time.Millisecond {
		t.Errorf("got age %v, want that of the answer", got)
	}
	if got := c.Snapshot().Table; got == nil || got.Config.Version != 3 {
		t.Errorf("got table %v, want version 3", got)
	}
	w.now += time.Second
	w.peer.Age = 3 * time.Second
	turn(t, c, w)
	if got := w.reads - reads; got == 0 && len(w.asked) < 3 {
		t.Errorf("got %d reads and questions to %v, want another source after an old answer", got, w.asked)
	}
	if got, _ := c.Age(); got > 1400*time.Millisecond {
		t.Errorf("got age %v, want none that the old answer made greater", got)
	}
}

// An instance that the store turns away goes on with what another one knows.
func TestTurnedAwayByTheStore(t *testing.T) {
	w := &world{now: time.Minute, items: []store.Item{
		record(t, Instance{Name: "a", Zone: "x", PeerAddress: "a:1"}, 1), record(t, Instance{Name: "b", Zone: "y", PeerAddress: "b:1"}, 2),
	}}
	c := newCatalog(w, Instance{Name: "a", Zone: "x", PeerAddress: "a:1"})
	turn(t, c, w)
	w.err = store.ErrThrottled
	w.peer = Changes{Revision: 60, Age: 200 * time.Millisecond}
	w.now += 2 * time.Second
	turn(t, c, w)
	if got, _ := c.Age(); got != 200*time.Millisecond {
		t.Errorf("got age %v, want that of the other instance's answer", got)
	}
	w.peer.Age = 10 * time.Second
	w.now += 5 * time.Second
	turn(t, c, w)
	if got, _ := c.Age(); got < 5*time.Second {
		t.Errorf("got age %v, want no old answer to count as the store's word", got)
	}
}

func TestChangesForAnotherInstance(t *testing.T) {
	w := &world{items: []store.Item{item("servers/one", "ready", 1), item("servers/two", "ready", 2)}}
	c := newCatalog(w, Instance{Name: "a"})
	if _, ok := c.Changes(0); ok {
		t.Error("got changes before the store answered, want none")
	}
	turn(t, c, w)
	w.changes = []store.Item{item("servers/one", "ready", 20), item("servers/two", "draining", 21), removed("servers/three", 22)}
	turn(t, c, w)
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
		changes, ok := c.Changes(test.after)
		var got []string
		for _, item := range changes.Items {
			got = append(got, item.Key)
		}
		slices.Sort(got)
		if !ok || changes.All != test.all || !slices.Equal(got, test.want) {
			t.Errorf("after %d: got %v, all %v, want %v, %v: heartbeats are no news", test.after, got, changes.All, test.want, test.all)
		}
	}
}

// While the store is down the instances that do not read it for others ask it now and then only.
func TestTheStoreIsLeftAloneWhileItIsDown(t *testing.T) {
	instances := fleetOf("a", "b", "c", "d")
	reader := highest(instances, 1)[0]
	for _, self := range instances {
		w := &world{now: time.Minute}
		for i, instance := range instances {
			w.items = append(w.items, record(t, instance, uint64(i+1)))
		}
		c := newCatalog(w, self)
		turn(t, c, w)
		w.err, w.peerErr = errDown, errDown
		reads := w.reads
		const turns = 20
		for range turns {
			w.now += 250 * time.Millisecond
			turn(t, c, w)
		}
		got := w.reads - reads
		if self.Name == reader.Name && got != turns {
			t.Errorf("the reader asked %d times, want every time: %d", got, turns)
		}
		if self.Name != reader.Name && got > turns/4 {
			t.Errorf("%s asked %d times in 5 s, want %d at most", self.Name, got, turns/4)
		}
	}
}

// largeFleet returns sixty instances of one zone with their records.
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

// A large fleet calls a store that is down no more often than a rate that does not grow with the fleet.
func TestALargeFleetLeavesTheStoreAloneWhileItIsDown(t *testing.T) {
	instances, records := largeFleet(t)
	const seconds = 10
	reads := 0
	for _, self := range instances {
		w := &world{now: time.Minute, items: records}
		c := newCatalog(w, self)
		turn(t, c, w)
		if _, other := readerOf(instances, self); !other {
			continue
		}
		w.err, w.peerErr = errDown, errDown
		before := w.reads
		for range seconds * 4 {
			w.now += 250 * time.Millisecond
			turn(t, c, w)
		}
		reads += w.reads - before
	}
	first := len(instances)
	if got, want := float64(reads-first)/seconds, 1/directShare.Seconds(); got > want {
		t.Errorf("got %.1f calls a second after the first of each, want %.1f at most", got, want)
	}
}

// The store's history goes: those that read it for others hear nothing for a while, and then everything must be read again. A few
// instances of a large fleet do so, the others ask these.
func TestAFewReadEverythingAgainWhenTheHistoryGoes(t *testing.T) {
	instances, records := largeFleet(t)
	random := rand.New(rand.NewPCG(1, 2))
	reads, fresh := 0, 0
	for _, self := range instances {
		w := &world{now: time.Minute, items: records}
		c := newCatalog(w, self)
		c.config.Random = random.Float64
		turn(t, c, w)
		if _, other := readerOf(instances, self); !other {
			continue
		}
		before := w.reads
		w.peer = Changes{Revision: 50, Age: 5 * time.Second}
		w.err = store.ErrCompacted
		w.now += time.Second
		turn(t, c, w)
		// By the next step a few have read everything.
		w.err, w.peer = nil, Changes{Revision: 60, Age: 100 * time.Millisecond}
		w.now += retryPause
		turn(t, c, w)
		reads += w.reads - before
		if age, ok := c.Age(); ok && age <= c.freshEnough() {
			fresh++
		}
	}
	if want := 3 * int(direct); reads > want {
		t.Errorf("got %d calls to the store, want %d at most", reads, want)
	}
	if want := len(instances) - 3; fresh < want {
		t.Errorf("got %d instances with news a step later, want %d", fresh, want)
	}
}

// Help comes mostly from the own zone, but from every zone now and then, and from another one where there is nobody else.
func TestHelpComesMostlyFromTheOwnZone(t *testing.T) {
	var instances []Instance
	for i := range 30 {
		instances = append(instances, Instance{Name: fmt.Sprint(i), Zone: string(rune('a' + i%3))})
	}
	self, near := instances[0], 0
	const asked = 1000
	for range asked {
		helper, ok := helperOf(instances, self)
		if !ok || helper == self {
			t.Fatalf("got %+v, %v, want another instance", helper, ok)
		}
		if helper.Zone == self.Zone {
			near++
		}
	}
	if least, most := asked*7/10, asked*95/100; near < least || near > most {
		t.Errorf("got %d of %d from the own zone, want %d to %d", near, asked, least, most)
	}
	if helper, ok := helperOf(instances[:2], self); !ok || helper != instances[1] {
		t.Errorf("got %+v, %v, want the only other instance", helper, ok)
	}
	if _, ok := helperOf(instances[:1], self); ok {
		t.Error("got help for a lone instance, want none")
	}
}
