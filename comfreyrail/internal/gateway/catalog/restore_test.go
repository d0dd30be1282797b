package catalog

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// storeCopy is a copy of the content of a simulated store.
type storeCopy struct {
	revision uint64
	items    map[string]store.Item
	history  []store.Item
}

func (f *simFleet) copyStore() storeCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return storeCopy{revision: f.revision, items: maps.Clone(f.items), history: slices.Clone(f.history)}
}

// restore replaces the content of the store with a copy and cuts the watches.
func (f *simFleet) restore(from storeCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.revision, f.items, f.history = from.revision, maps.Clone(from.items), slices.Clone(from.history)
	close(f.changed)
	f.changed = make(chan struct{})
}

// setRefused sets whether the store turns all instances away.
func (f *simFleet) setRefused(refused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address := range f.catalogs {
		f.refused[address] = refused
	}
}

// Guards against instances that do not follow a store any more that was restored from a copy: revisions of before are compared with
// those of the copy, which are smaller, or a watch goes on after a revision that the store has given out again.
func TestConfigInForceAfterRestoration(t *testing.T) {
	tests := []struct {
		name            string
		size            int // of the fleet
		lost, rewritten int // writes that the copy lacks, and writes after the restoration before the store is reached again
		bytes           int // size of the configuration
		outage          time.Duration
	}{
		{"the copy is behind the watches", 9, 40, 2, 2 << 10, 2 * time.Second},
		{"as many writes again", 9, 10, 10, 2 << 10, 2 * time.Second},
		{"more writes than were lost", 9, 5, 60, 2 << 10, 2 * time.Second},
		{"without an outage", 9, 10, 30, 2 << 10, 0},
		{"large configuration", 24, 10, 20, 100 << 10, 2 * time.Second},
		{"nothing lost", 9, 0, 0, 2 << 10, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRestoration(t, test.size, test.lost, test.rewritten, test.bytes, test.outage) })
		})
	}
}

func testRestoration(t *testing.T, size, lost, rewritten, bytes int, outage time.Duration) {
	const applyDelay = 2 * time.Second
	f := newSimFleet(t, size, applyDelay)
	f.era = 1
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, c := range f.catalogs {
		running.Go(func() { _ = c.Serve(ctx) })
	}
	defer running.Wait()
	defer cancel()
	f.putConfig(1, bytes)
	time.Sleep(5 * time.Second)
	copied := f.copyStore()
	f.putConfig(2, bytes)
	write := func(count int) {
		for i := range count {
			f.put(fmt.Sprintf("servers/s%d", i), []byte("ready"))
		}
	}
	write(lost)
	time.Sleep(5 * time.Second)
	f.checkVersion(t, "before the restoration", 2)
	if outage > 0 {
		f.setRefused(true)
		time.Sleep(outage)
	}
	f.restore(copied)
	write(rewritten)
	f.putConfig(2, bytes)
	f.setRefused(false)
	for version := uint64(3); version <= 5; version++ {
		time.Sleep(300 * time.Millisecond)
		f.putConfig(version, bytes)
		time.Sleep(applyDelay)
		f.checkVersion(t, "after the restoration", version)
	}
	for address, c := range f.catalogs {
		if got, want := len(c.Snapshot().Servers["app"]), rewritten; got < want {
			t.Errorf("%s: got %d servers, want %d", address, got, want)
		}
	}
}

func (f *simFleet) checkVersion(t *testing.T, when string, want uint64) {
	t.Helper()
	for address, c := range f.catalogs {
		if got := c.Snapshot().Index.Config.Version; got != want {
			t.Errorf("%s: %s: got version %d in force, want %d", when, address, got, want)
		}
	}
}

// restoreOnce makes the fake store one that was restored with the items at a revision, and the catalog notice.
func restoreOnce(t *testing.T, c *Catalog, fake *fakeStore, revision uint64, items ...store.Item) {
	t.Helper()
	fake.era++
	fake.items, fake.revision, fake.changes = items, revision, nil
	if _, err := c.refresh(context.Background()); !errors.Is(err, store.ErrRestored) {
		t.Fatalf("got %v, want %v", err, store.ErrRestored)
	}
	c.revision = 0 // as Serve does
	refreshOnce(t, c, fake)
}

// newHoldingCatalog returns a catalog that holds a server back which had left, as the restored store still has its entry.
func newHoldingCatalog(t *testing.T) (c *Catalog, fake *fakeStore) {
	t.Helper()
	fake = &fakeStore{now: time.Minute, era: 1, items: []store.Item{item("servers/left", "ready", 4)}}
	c = newCatalog(fake, Instance{Name: "a"})
	refreshOnce(t, c, fake)
	fake.changes = []store.Item{removed("servers/left", 21)}
	refreshOnce(t, c, fake)
	restoreOnce(t, c, fake, 7, item("servers/left", "ready", 4))
	return c, fake
}

// newCatalogMissingRecords returns a catalog whose store was restored without the records of two of three instances, and the record
// that the store has.
func newCatalogMissingRecords(t *testing.T) (c *Catalog, fake *fakeStore, kept store.Item) {
	t.Helper()
	instances := fleetOf("a", "b", "c")
	kept = record(t, instances[0], 1)
	fake = &fakeStore{now: time.Minute, era: 1, items: []store.Item{kept, record(t, instances[1], 2), record(t, instances[2], 3)}}
	c = newCatalog(fake, highestRanked(instances, 1)[0])
	refreshOnce(t, c, fake)
	restoreOnce(t, c, fake, 3, kept)
	return c, fake, kept
}

// wait lets time pass and runs the parts of Serve that depend on it.
func wait(t *testing.T, c *Catalog, fake *fakeStore, d time.Duration) {
	t.Helper()
	fake.now += d
	fake.changes = nil
	refreshOnce(t, c, fake)
	c.expireRestored()
}

// Guards against requests to servers that had left or were leaving, which the copy lists as ready, and against losing servers whose
// entries are younger than the copy before they are written again.
func TestServersAfterRestoration(t *testing.T) {
	fake := &fakeStore{now: time.Minute, era: 1, items: []store.Item{
		item("servers/leaving", "ready", 3), item("servers/left", "ready", 4), item("servers/stays", "ready", 5), item("servers/late", "ready", 6),
	}}
	c := newCatalog(fake, Instance{Name: "a"})
	refreshOnce(t, c, fake)
	fake.changes = []store.Item{item("servers/leaving", "draining", 20), removed("servers/left", 21)}
	refreshOnce(t, c, fake)
	restoreOnce(t, c, fake, 7, item("servers/leaving", "ready", 3), item("servers/left", "ready", 4), item("servers/stays", "ready", 5))
	check := func(when string, want ...string) {
		t.Helper()
		var got []string
		for _, server := range c.Snapshot().Servers["app"] {
			if !server.Draining {
				got = append(got, server.ID)
			}
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Errorf("%s: got servers %v for requests, want %v", when, got, want)
		}
	}
	check("after the restoration", "late", "stays")
	wait(t, c, fake, reappearTimeout-time.Second)
	fake.changes = []store.Item{item("servers/stays", "ready", 8)}
	refreshOnce(t, c, fake)
	check("before the entry of late is written again", "late", "stays")
	wait(t, c, fake, 2*time.Second)
	check("without the entry of late", "stays")
	wait(t, c, fake, rewriteTimeout)
	check("while the entry of left is still there", "left", "stays")
	fake.changes = []store.Item{removed("servers/left", 9)}
	refreshOnce(t, c, fake)
	check("after left has left again", "stays")
}

// Guards against a server being held back although it wrote its entry again after the restoration, or started anew.
func TestServerThatWritesAgainAfterRestoration(t *testing.T) {
	c, fake := newHoldingCatalog(t)
	if got := c.Snapshot().Servers["app"]; len(got) != 1 || !got[0].Draining {
		t.Fatalf("got %+v, want the server held back", got)
	}
	fake.changes = []store.Item{item("servers/left", "ready", 8)}
	refreshOnce(t, c, fake)
	if got := c.Snapshot().Servers["app"]; len(got) != 1 || got[0].Draining {
		t.Errorf("got %+v after the entry was written again, want the server in use", got)
	}
}

// Guards against the records of other instances being missed while they write them again, since the number of instances divides
// the retry budgets, and against records and crash reports that stay for ever.
func TestInstanceRecordsAfterRestoration(t *testing.T) {
	report, err := poison.Evidence{Report: poison.Report{Crashes: []poison.Crash{{Engine: "one", Parts: []string{"a"}}}}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	instances := fleetOf("a", "b", "c")
	fake := &fakeStore{now: time.Minute, era: 1, items: []store.Item{
		record(t, instances[0], 1), record(t, instances[1], 2), record(t, instances[2], 3), item(CrashReportPrefix+"b", string(report), 4),
	}}
	c := newCatalog(fake, highestRanked(instances, 1)[0])
	refreshOnce(t, c, fake)
	restoreOnce(t, c, fake, 3, record(t, instances[0], 1))
	count := func() (int, int) { return len(c.Snapshot().Instances), len(c.Snapshot().CrashReports) }
	if got, reports := count(); got != 3 || reports != 1 {
		t.Errorf("got %d instances and %d reports after the restoration, want 3 and 1", got, reports)
	}
	fake.changes = []store.Item{record(t, instances[1], 4)}
	refreshOnce(t, c, fake)
	wait(t, c, fake, rewriteTimeout+time.Second)
	if got, reports := count(); got != 2 || reports != 1 {
		t.Errorf("got %d instances and %d reports, want the 2 that wrote their records and the report while its crash counts", got, reports)
	}
	wait(t, c, fake, poison.ReportTTL)
	if got, reports := count(); got != 2 || reports != 0 {
		t.Errorf("got %d instances and %d reports in the end, want 2 and none", got, reports)
	}
}

// Guards against an instance that starts after the restoration getting the older configuration of the copy from the others.
func TestOthersGetConfigInForceAfterRestoration(t *testing.T) {
	fake := &fakeStore{now: time.Minute, era: 1, items: []store.Item{item("config", "5", 3)}}
	c := newCatalog(fake, Instance{Name: "a"})
	refreshOnce(t, c, fake)
	for _, items := range [][]store.Item{{item("config", "4", 2)}, nil} {
		restoreOnce(t, c, fake, 2, items...)
		for _, request := range []ChangesRequest{{}, {Era: fake.era, After: 2, Version: 4}} {
			changes, ok := c.Changes(request)
			if !ok || string(changes.Kept.Value) != "5" || changes.Era != fake.era {
				t.Errorf("got %+v, %v, want version 5 in era %d", changes, ok, fake.era)
			}
		}
		if changes, _ := c.Changes(ChangesRequest{Era: fake.era, After: 2, Version: 5}); changes.Kept.Key != "" {
			t.Errorf("got version 5 for an instance that has it")
		}
	}
	fake.changes = []store.Item{item("config", "6", 4)}
	refreshOnce(t, c, fake)
	if got, want := c.Snapshot().Index.Config.Version, uint64(6); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
	if changes, _ := c.Changes(ChangesRequest{}); changes.Kept.Key != "" {
		t.Errorf("got %+v kept although the store has a newer version", changes.Kept)
	}
}

// Guards against changes of an instance that knows only the store of before the restoration, and against a difference that belongs
// to another era.
func TestChangesOfOtherEra(t *testing.T) {
	fake := &fakeStore{now: time.Minute, era: 2, items: []store.Item{item("config", "5", 3)}}
	c := newCatalog(fake, Instance{Name: "a"})
	refreshOnce(t, c, fake)
	tests := []struct {
		name    string
		changes Changes
		behind  bool
	}{
		{"earlier era, later revision", Changes{Era: 1, Revision: 99, All: true}, true},
		{"unknown era", Changes{Revision: 99, All: true}, true},
		{"same era, earlier revision", Changes{Era: 2, Revision: 9}, true},
		{"same era", Changes{Era: 2, Revision: 10}, false},
		{"later era, difference", Changes{Era: 3, Revision: 99}, true},
		{"later era, everything", Changes{Era: 3, Revision: 1, All: true}, false},
	}
	for _, test := range tests {
		if got := c.isBehind(test.changes); got != test.behind {
			t.Errorf("%s: got behind %v, want %v", test.name, got, test.behind)
		}
	}
	for _, request := range []ChangesRequest{{Era: 1, After: 10}, {After: 10}} {
		if changes, _ := c.Changes(request); !changes.All {
			t.Errorf("%+v: got a difference, want everything", request)
		}
	}
	if changes, _ := c.Changes(ChangesRequest{Era: 2, After: 10}); changes.All {
		t.Error("got everything for the same era, want a difference")
	}
}

// Guards against a server of another incarnation being taken for the one that had left or was leaving.
func TestCorrectRestored(t *testing.T) {
	c := newCatalog(&fakeStore{now: time.Minute}, Instance{Name: "a"})
	c.restored.applying = true
	c.restored.left["s"] = departure{born: 5}
	tests := []struct {
		name             string
		server, previous backend.Server
		known, draining  bool
	}{
		{"was draining", backend.Server{ID: "s", Born: 5}, backend.Server{ID: "s", Born: 5, Draining: true}, true, true},
		{"was draining before it started anew", backend.Server{ID: "s", Born: 6}, backend.Server{ID: "s", Born: 5, Draining: true}, true, false},
		{"was ready", backend.Server{ID: "s", Born: 5}, backend.Server{ID: "s", Born: 5}, true, false},
		{"had left", backend.Server{ID: "s", Born: 5}, backend.Server{}, false, true},
		{"started anew", backend.Server{ID: "s", Born: 6}, backend.Server{}, false, false},
		{"unknown", backend.Server{ID: "t", Born: 5}, backend.Server{}, false, false},
	}
	for _, test := range tests {
		if got := c.correctRestored(test.server, test.previous, test.known).Draining; got != test.draining {
			t.Errorf("%s: got draining %v, want %v", test.name, got, test.draining)
		}
	}
}
