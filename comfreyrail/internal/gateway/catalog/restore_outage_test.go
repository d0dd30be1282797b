package catalog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// serveFrom makes the fake peer of an instance respond as another catalog does.
func serveFrom(c *Catalog, from *Catalog) {
	c.config.FetchChanges = func(_ context.Context, _ string, request ChangesRequest) (Changes, error) {
		changes, ok := from.Changes(request)
		if !ok {
			return changes, errDown
		}
		return changes, nil
	}
}

// Guards against an instance that starts after a restoration, before the operator has written again, keeping the older configuration
// of the copy although the instance from which it has its changes knows the one in force.
func TestStarterGetsConfigInForceFromReader(t *testing.T) {
	instances := fleetOf("a", "b")
	reader := highestRanked(instances, 1)[0]
	starter := instances[0]
	if starter == reader {
		starter = instances[1]
	}
	fake := &fakeStore{now: time.Minute, era: 1, items: []store.Item{record(t, instances[0], 1), record(t, instances[1], 2), item("config", "5", 9)}}
	c := newCatalog(fake, reader)
	refreshOnce(t, c, fake)
	restoreOnce(t, c, fake, 5, record(t, instances[0], 1), record(t, instances[1], 2), item("config", "4", 3))
	started := newCatalog(fake, starter)
	serveFrom(started, c)
	for range 4 {
		refreshOnce(t, started, fake)
		fake.now += 500 * time.Millisecond
		refreshOnce(t, c, fake)
	}
	if got := c.Snapshot().Index.Config.Version; got != 5 {
		t.Fatalf("got version %d at the reader, want 5", got)
	}
	age, _ := started.Age()
	if got := started.Snapshot().Index.Config.Version; got != 5 {
		t.Errorf("got version %d in force with an age of %v at the instance that started, want 5", got, age)
	}
}

// Guards against a large configuration in force not reaching other instances because it is left out of the changes and then read
// from the store, whose copy is older.
func TestLargeConfigInForceReachesOthers(t *testing.T) {
	large := func(version string, revision uint64) store.Item {
		return item("config", version+string(make([]byte, maxFetchedValue)), revision)
	}
	fake := &fakeStore{now: time.Minute, era: 1, items: []store.Item{large("5", 9)}}
	reader := newCatalog(fake, Instance{Name: "reader"})
	refreshOnce(t, reader, fake)
	behind := newCatalog(fake, Instance{Name: "behind"})
	fake.items = []store.Item{large("4", 3)}
	refreshOnce(t, behind, fake) // it has not heard of version 5
	restoreOnce(t, reader, fake, 5, large("4", 3))
	behind.config.Get = func(context.Context, string) (store.Item, uint64, error) { return fake.items[0], fake.era, nil }
	serveFrom(behind, reader)
	if _, err := behind.fetchFrom(context.Background(), reader.config.Self); err != nil {
		t.Fatal(err)
	}
	if got := behind.Snapshot().Index.Config.Version; got != 5 {
		t.Errorf("got version %d, want 5", got)
	}
}

// Guards against records of other instances, which divide the retry budgets, being removed during an outage in which none of these
// instances can write its record again.
func TestMissingRecordsAreKeptDuringOutage(t *testing.T) {
	c, fake, _ := newCatalogMissingRecords(t)
	fake.err, fake.peerErr = errDown, errDown
	wait(t, c, fake, rewriteTimeout+time.Second)
	if got := len(c.Snapshot().Instances); got != 3 {
		t.Errorf("got %d instances while the store is away again, want 3", got)
	}
}

// Guards against records of other instances being removed soon after a second restoration because of the first one.
func TestMissingRecordsAreKeptAfterSecondRestoration(t *testing.T) {
	c, fake, kept := newCatalogMissingRecords(t)
	fake.now += rewriteTimeout - 500*time.Millisecond
	restoreOnce(t, c, fake, 3, kept)
	wait(t, c, fake, time.Second)
	if got := len(c.Snapshot().Instances); got != 3 {
		t.Errorf("got %d instances a second after the second restoration, want 3", got)
	}
}

// Guards against a server that had left getting requests again during an outage in which its removal cannot be seen.
func TestHoldDoesNotEndDuringOutage(t *testing.T) {
	c, fake := newHoldingCatalog(t)
	fake.err, fake.peerErr = errDown, errDown
	wait(t, c, fake, rewriteTimeout+time.Second)
	if got := c.Snapshot().Servers["app"]; len(got) != 1 || !got[0].Draining {
		t.Errorf("got %+v while the store is away again, want the server held back", got)
	}
}

// Guards against a hold that never ends, or a server that had left being kept for draining for good, after a second restoration
// during the hold.
func TestHoldEndsAfterSecondRestoration(t *testing.T) {
	c, fake := newHoldingCatalog(t)
	fake.now += time.Second
	restoreOnce(t, c, fake, 7, item("servers/left", "ready", 4))
	if got := c.Snapshot().Servers["app"]; len(got) != 1 || !got[0].Draining {
		t.Fatalf("got %+v, want the server held back", got)
	}
	wait(t, c, fake, rewriteTimeout+time.Second)
	if got := c.Snapshot().Servers["app"]; len(got) != 1 || got[0].Draining {
		t.Errorf("got %+v after the hold, want the server in use as after one restoration", got)
	}
}

// Guards against an instance that noticed a restoration but cannot read the store confirming content of the earlier era from a peer.
func TestOldEraIsNotTakenUpAgain(t *testing.T) {
	instances := fleetOf("a", "b")
	fake := &fakeStore{now: time.Minute, era: 1, items: []store.Item{record(t, instances[0], 1), record(t, instances[1], 2), item("config", "5", 3)}}
	c := newCatalog(fake, instances[0])
	refreshOnce(t, c, fake)
	peer := newCatalog(fake, instances[1])
	refreshOnce(t, peer, fake)
	fake.era, fake.changes = 2, nil
	if err := c.readStore(context.Background()); !mustReadAll(err) {
		t.Fatalf("got %v, want the restoration noticed", err)
	}
	c.revision = 0 // as Serve does
	fake.err = errDown
	serveFrom(c, peer)
	if _, err := c.refresh(context.Background()); err == nil {
		t.Errorf("got content of era %d at revision %d confirmed, want none of before the restoration", c.era, c.revision)
	}
}

// Guards against reads of the store without a pause, by every instance, while responses to reads state no era but those to watches do.
func TestReadsArePacedWhileEraIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, 1, 2*time.Second)
		f.era = 1
		f.putConfig(1, 100)
		for _, c := range f.catalogs {
			reads, readPage := 0, c.config.Range
			c.config.Range = func(ctx context.Context, prefix, after string) (store.Page, error) {
				reads++
				page, err := readPage(ctx, prefix, after)
				page.Era = 0
				return page, err
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			_ = c.Serve(ctx)
			cancel()
			if reads > 40 {
				t.Errorf("got %d reads of everything in 10 s, want 4 a second at most", reads)
			}
			if _, ok := c.Age(); !ok {
				t.Error("got content that was never confirmed")
			}
		}
	})
}

// Guards against reads of the store without a pause while only some pages of a read state the era.
func TestReadsArePacedWhileEraIsMissingInSomePages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, 1, 2*time.Second)
		f.era = 1
		f.putConfig(1, 100)
		for _, c := range f.catalogs {
			reads, readPage := 0, c.config.Range
			c.config.Range = func(ctx context.Context, prefix, after string) (store.Page, error) {
				reads++
				page, err := readPage(ctx, prefix, "")
				if after == "" {
					page.Era, page.More = 0, true
					page.Items = []store.Item{f.items["config"]}
				}
				return page, err
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			_ = c.Serve(ctx)
			cancel()
			if reads > 80 {
				t.Errorf("got %d reads of pages in 10 s, want 8 a second at most", reads)
			}
		}
	})
}

// Guards against crashes being forgotten, before they stop counting, whose reporter has ended and cannot report them again.
func TestCrashesOfEndedInstanceOutliveRestoration(t *testing.T) {
	instances := fleetOf("a", "b")
	encode := func(engines ...string) string {
		var report poison.Evidence
		for _, engine := range engines {
			report.Crashes = append(report.Crashes, poison.Crash{Engine: engine, Parts: []string{"p"}})
		}
		text, err := report.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	for _, copied := range [][]store.Item{nil, {item(CrashReportPrefix+"b", encode("one"), 3)}} {
		fake := &fakeStore{now: time.Minute, era: 1, items: []store.Item{
			record(t, instances[0], 1), item(CrashReportPrefix+"b", encode("one", "two", "three"), 9),
		}}
		c := newCatalog(fake, instances[0])
		refreshOnce(t, c, fake)
		restoreOnce(t, c, fake, 5, append([]store.Item{record(t, instances[0], 1)}, copied...)...)
		wait(t, c, fake, rewriteTimeout+time.Second)
		if got := len(c.Snapshot().CrashReports["b"].Crashes); got != 3 {
			t.Errorf("got %d crashes with %d reports in the copy, want the 3 known ones", got, len(copied))
		}
	}
}
