package catalog

import (
	"context"
	"reflect"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Guards against crash reports that are lost, kept after their end, or read from a malformed item.
func TestCrashReports(t *testing.T) {
	value, err := poison.Evidence{Report: poison.Report{Crashes: []poison.Crash{{Engine: "one", Parts: []string{"a"}}}}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	fake := &fakeStore{now: time.Minute, items: []store.Item{item(CrashReportPrefix+"x", string(value), 3), item(CrashReportPrefix+"y", "no report", 4)}}
	c := newCatalog(fake, Instance{Name: "a"})
	refreshOnce(t, c, fake)
	got := c.Snapshot().CrashReports
	if len(got) != 1 || len(got["x"].Crashes) != 1 || got["x"].Crashes[0].Engine != "one" {
		t.Errorf("got %+v, want the valid report", got)
	}
	fake.changes = []store.Item{removed(CrashReportPrefix+"x", 20)}
	refreshOnce(t, c, fake)
	if now := c.Snapshot().CrashReports; len(now) != 0 || len(got) != 1 {
		t.Errorf("got %+v after the removal and %+v before, want none and a map that does not change", now, got)
	}
}

// Guards against crash reports that fill the links between instances without any figure that shows it.
func TestFetchedBytesAreCounted(t *testing.T) {
	fake := &fakeStore{now: time.Minute}
	c := newCatalog(fake, Instance{Name: "a"})
	refreshOnce(t, c, fake)
	fake.peerChanges = Changes{Revision: 20, Items: []store.Item{item(CrashReportPrefix+"x", `{"crashes":[]}`, 18), item("other", "four", 19)}}
	if _, err := c.fetchFrom(context.Background(), Instance{Name: "b"}); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]int64{fetchedBytes: 18, fetchedReportBytes: 14} {
		if got := metrics.GetOrRegisterCounter(name, c.config.Metrics).Count(); got != want {
			t.Errorf("%s: got %d bytes, want %d", name, got, want)
		}
	}
}

// Guards against a copy of all crash reports for each one that has changed, which costs an instance of a large fleet much of its
// processor time while engines crash, and against a snapshot whose reports change.
func TestCrashReportsAreCopiedOnce(t *testing.T) {
	c := newCatalog(&fakeStore{now: time.Minute}, Instance{Name: "a"})
	var maps []uintptr
	for i, key := range []string{"x", "y", "x"} {
		c.apply(item(CrashReportPrefix+key, `{"crashes":[]}`, uint64(i+1)))
		maps = append(maps, reflect.ValueOf(c.crashReports).Pointer())
	}
	if maps[1] != maps[0] || maps[2] != maps[0] {
		t.Errorf("got maps %v for three changes, want one", maps)
	}
	c.publish()
	before := c.Snapshot().CrashReports
	c.apply(item(CrashReportPrefix+"z", `{"crashes":[]}`, 4))
	if len(before) != 2 || len(c.crashReports) != 3 {
		t.Errorf("got %d reports in the snapshot and %d now, want 2 and 3", len(before), len(c.crashReports))
	}
}
