package drain

import (
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/kv"
)

// TestLeaving guards against evidence that ends a report although it is older than the report or from another source, and
// against ended marks that become active again.
func TestLeaving(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	leaving := []kv.ListEntry{{Name: "a", Leaving: true}}
	live := []kv.ListEntry{{Name: "a"}}
	foreign := Mark{Server: "a", Source: SourceList, Observer: "peer", Sequence: 7}
	foreignEnded := foreign
	foreignEnded.Ended = true
	tests := []struct {
		name  string
		apply func(tracker *Tracker)
		want  bool
	}{
		{"no report", func(*Tracker) {}, false},
		{"probe sent before the refusal", func(tracker *Tracker) {
			tracker.ApplyResponse("a", true, at(1), at(2))
			tracker.ApplyResponse("a", false, at(1), at(3))
		}, true},
		{"response to an earlier probe after a peer ended the mark", func(tracker *Tracker) {
			tracker.ApplyResponse("a", true, at(1), at(2))
			tracker.Merge([]Mark{{Server: "a", Source: SourceResponse, Observer: "self", Sequence: 1, Ended: true}}, at(3))
			tracker.ApplyResponse("a", false, at(1), at(4))
		}, true},
		{"probe sent after the refusal", func(tracker *Tracker) {
			tracker.ApplyResponse("a", true, at(1), at(2))
			tracker.ApplyResponse("a", false, at(3), at(4))
		}, false},
		{"list read within the lag", func(tracker *Tracker) {
			tracker.ApplyList(leaving, at(1), at(1))
			tracker.ApplyList(live, at(6), at(6))
		}, true},
		{"list read after the lag", func(tracker *Tracker) {
			tracker.ApplyList(leaving, at(1), at(1))
			tracker.ApplyList(live, at(12), at(12))
		}, false},
		{"missing from the list", func(tracker *Tracker) {
			tracker.ApplyList(leaving, at(1), at(1))
			tracker.ApplyList(nil, at(30), at(30))
		}, true},
		{"response does not end a mark from the list", func(tracker *Tracker) {
			tracker.ApplyList(leaving, at(1), at(1))
			tracker.ApplyResponse("a", false, at(5), at(6))
		}, true},
		{"peer ends its mark after a recent own report", func(tracker *Tracker) {
			tracker.Merge([]Mark{foreign}, at(1))
			tracker.ApplyList(leaving, at(2), at(2))
			tracker.Merge([]Mark{foreignEnded}, at(3))
		}, true},
		{"peer ends its mark long after the own report", func(tracker *Tracker) {
			tracker.Merge([]Mark{foreign}, at(1))
			tracker.ApplyList(leaving, at(2), at(2))
			tracker.Merge([]Mark{foreignEnded}, at(20))
		}, true},
		{"peer ends both marks", func(tracker *Tracker) {
			tracker.Merge([]Mark{foreign}, at(1))
			tracker.ApplyList(leaving, at(2), at(2))
			tracker.Merge([]Mark{foreignEnded, {Server: "a", Source: SourceList, Observer: "self", Sequence: 1, Ended: true}}, at(20))
		}, false},
		{"ended mark arrives again", func(tracker *Tracker) {
			tracker.Merge([]Mark{foreign, foreignEnded}, at(1))
			tracker.Merge([]Mark{foreign}, at(20))
		}, false},
		{"no longer leaving in the tables", func(tracker *Tracker) {
			tracker.ApplyTables(map[string]bool{"a": true}, at(1))
			tracker.ApplyTables(map[string]bool{"a": false}, at(2))
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := New(Config{Observer: "self", ListLag: 10 * time.Second})
			test.apply(tracker)
			if _, got := tracker.Leaving("a"); got != test.want {
				t.Errorf("leaving = %t, want %t; marks %+v", got, test.want, tracker.Marks(at(30)))
			}
		})
	}
}

// TestOwnReportMakesOwnMark guards against an instance that receives a report and relies on a peer's mark. The peer may end that
// mark by evidence older than the report, and the leaving server would get new work. In TestProveLeaving with seed 238, it got
// new work 3.15 s after the first report.
func TestOwnReportMakesOwnMark(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	tracker := New(Config{Observer: "self", ListLag: 6 * time.Second})
	tracker.Merge([]Mark{{Server: "a", Source: SourceList, Observer: "peer", Sequence: 7}}, at(25350))
	tracker.ApplyList([]kv.ListEntry{{Name: "a", Leaving: true}}, at(25600), at(25650))
	found := false
	for _, mark := range tracker.Marks(at(25700)) {
		found = found || mark.Observer == "self" && !mark.Ended
	}
	if !found {
		t.Errorf("got marks %+v, want one of this instance", tracker.Marks(at(25700)))
	}
}
