package poison

import (
	"fmt"
	"testing"
	"time"
)

// heardOf returns the crash of an engine of which another instance tells.
func heardOf(engine int, parts ...string) []Crash {
	return []Crash{{Engine: fmt.Sprintf("engine%d", engine), Parts: parts}}
}

// Guards against crashes that count only once the store has passed on their reports, by when further engines have crashed, and
// against crashes of which an instance only heard being reported as its own or counting twice.
func TestHeardCrashesCount(t *testing.T) {
	tests := []struct {
		name    string
		observe func(d *Detector)
		want    bool
	}{
		{"one heard, one seen", func(d *Detector) {
			d.Heard(start, "b", heardOf(1, "poisoned"))
			crash(d, 0, 2, "poisoned")
		}, true},
		{"both heard", func(d *Detector) {
			d.Heard(start, "b", heardOf(1, "poisoned"))
			d.Heard(start, "c", heardOf(2, "poisoned"))
		}, true},
		{"one heard of two instances, and reported", func(d *Detector) {
			d.Heard(start, "b", heardOf(1, "poisoned"))
			d.Heard(start, "c", heardOf(1, "poisoned"))
			d.SetReports(start, map[string]Report{"b": {Crashes: heardOf(1, "poisoned")}})
		}, false},
		{"an answer began shortly before", func(d *Detector) {
			d.Survived(start.Add(-time.Second), []string{"poisoned"})
			d.Heard(start, "b", heardOf(1, "poisoned"))
			d.Heard(start, "b", heardOf(2, "poisoned"))
		}, false},
		{"an answer begins later", func(d *Detector) {
			d.Heard(start, "b", heardOf(1, "poisoned"))
			d.Heard(start, "b", heardOf(2, "poisoned"))
			d.Survived(start.Add(time.Second), []string{"poisoned"})
		}, false},
		{"from itself", func(d *Detector) {
			d.Heard(start, "a", heardOf(1, "poisoned"))
			d.Heard(start, "a", heardOf(2, "poisoned"))
		}, false},
		{"too long ago", func(d *Detector) {
			d.Heard(start.Add(-2*ReportTTL), "b", heardOf(1, "poisoned"))
			d.Heard(start, "b", heardOf(2, "poisoned"))
		}, false},
	}
	for _, test := range tests {
		d := newDetector("a")
		test.observe(d)
		if _, got := d.Blocked(start.Add(time.Second), []string{"poisoned"}); got != test.want {
			t.Errorf("%s: got blocked %v, want %v", test.name, got, test.want)
		}
	}
	d := newDetector("a")
	d.Heard(start, "b", heardOf(1, "poisoned"))
	if got := d.Report(start, 1); len(got.Crashes) != 0 {
		t.Errorf("got report %v, want none of what was only heard", got)
	}
}

// Guards against memory that grows with each crash that other instances tell of.
func TestHeardCrashesAreBounded(t *testing.T) {
	d := newDetector("a")
	for i := range 2 * maxHeard {
		d.Heard(start, "b", heardOf(i, "part"))
	}
	if got := len(d.heard); got != maxHeard {
		t.Errorf("got %d crashes kept, want %d", got, maxHeard)
	}
}

// Guards against a sound part being blocked in a large fleet because instances announce the streams that a crash cut before the one that
// saw its cause is heard.
func TestStreamsCutByCrashesAreNotAnnounced(t *testing.T) {
	const instances = 195
	listener, cause := NewFinder("listener"), NewFinder("cause")
	for i := range 3 {
		engine, name := fmt.Sprint("engine", i), fmt.Sprint("other", i)
		other, now := NewFinder(name), start.Add(time.Duration(i)*100*time.Millisecond)
		cause.Crashed(now, engine, Request{Parts: []string{"poisoned"}}, false)
		other.Crashed(now, engine, Request{Parts: []string{"sound"}}, true)
		if got := other.Evidence(now, instances); !got.IsEmpty() {
			t.Errorf("got report %v, want none before the cause is known", got)
		}
		for _, told := range other.CrashOf(engine) {
			listener.Heard(now, name, told)
		}
	}
	if _, ok := listener.Blocked(start.Add(time.Second), Request{Parts: []string{"sound"}}); ok {
		t.Error("got the sound part blocked, want it free")
	}
	if got := cause.CrashOf("engine0"); len(got) != 1 || len(got[0].Crashes) != 1 {
		t.Errorf("got %v, want the crash announced with the part whose answer had not begun", got)
	}
}
