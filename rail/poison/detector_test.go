package poison

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// start is the time at which the tests start.
var start = time.Unix(1_800_000_000, 0)

func newDetector(name string) *Detector { return New(Config{Name: name, MinCrashes: MinCrashes}) }

// crash records the crash of an engine under a request with the parts.
func crash(d *Detector, at time.Duration, engine int, parts ...string) {
	d.Crashed(start.Add(at), fmt.Sprintf("engine%d", engine), parts)
}

// Guards against a poisoned part that is not found, and against sound requests that are blocked because they share a part with
// requests under which engines crashed.
func TestBlocked(t *testing.T) {
	tests := []struct {
		name    string
		observe func(d *Detector)
		blocked [][]string
		free    [][]string
	}{
		{"one crash", func(d *Detector) { crash(d, 0, 1, "shared", "poisoned") }, nil, [][]string{{"shared", "poisoned"}}},
		{"two crashes", func(d *Detector) {
			crash(d, 0, 1, "shared", "poisoned")
			crash(d, 0, 2, "shared", "poisoned")
		}, [][]string{{"shared", "poisoned"}}, [][]string{{"shared"}, {"poisoned"}}},
		{"two crashes long ago", func(d *Detector) {
			crash(d, -2*suspicionTTL, 1, "shared", "poisoned")
			crash(d, -2*suspicionTTL, 2, "shared", "poisoned")
		}, nil, [][]string{{"shared", "poisoned"}}},
		{"three crashes long ago", func(d *Detector) {
			for i := range 3 {
				crash(d, -2*suspicionTTL, i, "poisoned")
			}
		}, [][]string{{"poisoned"}}, nil},
		{"three crashes of one engine seen by three requests", func(d *Detector) {
			for range 3 {
				crash(d, 0, 1, "shared", "poisoned")
			}
		}, nil, [][]string{{"shared", "poisoned"}}},
		{"both parts in every crash", func(d *Detector) {
			for i := range 3 {
				crash(d, 0, i, "shared", "poisoned")
			}
		}, [][]string{{"shared", "poisoned"}}, [][]string{{"shared"}, {"poisoned"}, {"other", "poisoned"}, nil}},
		{"the other part in some crashes", func(d *Detector) {
			for i := range 4 {
				crash(d, 0, i, "poisoned", fmt.Sprintf("shared%d", i/3))
			}
		}, [][]string{{"poisoned"}, {"new", "poisoned"}, {"shared0", "poisoned"}}, [][]string{{"shared0"}, {"shared1"}}},
		{"an answer began shortly before", func(d *Detector) {
			d.Survived(start, []string{"shared"})
			for i := range 3 {
				crash(d, clearMargin/2, i, "shared", "poisoned")
			}
		}, [][]string{{"poisoned"}, {"shared", "poisoned"}}, [][]string{{"shared"}}},
		{"an answer began long before", func(d *Detector) {
			d.Survived(start, []string{"poisoned"})
			for i := range 3 {
				crash(d, 2*clearMargin, i, "poisoned")
			}
		}, [][]string{{"poisoned"}}, nil},
		{"an answer begins later", func(d *Detector) {
			for i := range 3 {
				crash(d, 0, i, "shared")
			}
			d.Survived(start.Add(time.Second), []string{"shared"})
		}, nil, [][]string{{"shared"}}},
		{"engines that die together under many requests", func(d *Detector) {
			for i := range 13 {
				crash(d, 0, i, fmt.Sprintf("shared%d", i), "new")
				d.Survived(start.Add(time.Second), []string{"new"})
			}
		}, nil, [][]string{{"shared1", "new"}, {"new"}}},
	}
	for _, test := range tests {
		d := newDetector("a")
		test.observe(d)
		for _, parts := range test.blocked {
			if _, ok := d.Blocked(start, parts); !ok {
				t.Errorf("%s: got a request with %v sent, want it blocked", test.name, parts)
			}
		}
		for _, parts := range test.free {
			if part, ok := d.Blocked(start, parts); ok {
				t.Errorf("%s: got a request with %v blocked because of %s, want it sent", test.name, parts, part)
			}
		}
	}
}

// Guards against crashes that count no longer once the instance that saw them has started again, and against answers that clear a
// part at the instance that sent them only.
func TestReportsAreShared(t *testing.T) {
	a, b := newDetector("a"), newDetector("b")
	for i := range 3 {
		crash(a, 0, i, "shared", "poisoned")
	}
	reports := map[string]Report{"a": a.Report(start, 1)}
	b.Survived(start, []string{"shared"})
	b.SetReports(start, reports)
	if _, ok := b.Blocked(start, []string{"poisoned"}); !ok {
		t.Error("got a request with the poisoned part sent at another instance, want it blocked")
	}
	reports["b"] = b.Report(start, 1)
	restarted := newDetector("a")
	restarted.SetReports(start, reports)
	if _, ok := restarted.Blocked(start, []string{"poisoned"}); !ok {
		t.Error("got a request with the poisoned part sent after a restart, want it blocked")
	}
	if _, ok := restarted.Blocked(start, []string{"shared"}); ok {
		t.Error("got a request with the shared part blocked, want it sent: an answer began elsewhere")
	}
	if got, want := restarted.Report(start, 1), reports["a"]; !reflect.DeepEqual(got, want) {
		t.Errorf("got report %+v after a restart, want what it told before: %+v", got, want)
	}
	if got := a.Report(start.Add(ReportTTL+time.Second), 1); len(got.Crashes) != 0 {
		t.Errorf("got %d crashes after ReportTTL, want none", len(got.Crashes))
	}
}

// Guards against a poisoned part that finds no room in a crash because many sound requests were waiting at the engine.
func TestPoisonedPartAmongManyWaiting(t *testing.T) {
	d := newDetector("a")
	for i := range 3 {
		for j := range 3 * maxParts {
			part := fmt.Sprintf("shared%d", j)
			d.Survived(start, []string{part})
			crash(d, time.Second, i, part)
		}
		crash(d, time.Second, i, "poisoned")
	}
	if _, ok := d.Blocked(start, []string{"poisoned"}); !ok {
		t.Error("got the part sent, want it blocked")
	}
}

// Guards against memory that grows with the number of parts and of crashes.
func TestDetectorIsBounded(t *testing.T) {
	d := newDetector("a")
	for i := range 3 * maxSurvived {
		d.Survived(start.Add(time.Duration(i)*time.Microsecond), []string{fmt.Sprint(i)})
	}
	if got := len(d.survived); got > maxSurvived {
		t.Errorf("got %d parts kept, want %d at most", got, maxSurvived)
	}
	for i := range maxCrashes + 4 {
		for j := range maxParts + 4 {
			crash(d, 0, i, fmt.Sprintf("%d-%d", i, j))
		}
	}
	report := d.Report(start, 1)
	value, err := Evidence{Report: report}.Encode()
	if len(report.Crashes) != maxCrashes || len(report.Crashes[0].Parts) != maxParts || err != nil {
		t.Errorf("got %d crashes with %d parts, %v, want %d with %d", len(report.Crashes), len(report.Crashes[0].Parts), err, maxCrashes, maxParts)
	}
	decoded, err := DecodeEvidence(value)
	if err != nil || !reflect.DeepEqual(decoded.Report, report) {
		t.Errorf("got %d crashes decoded, %v, want the same report", len(decoded.Crashes), err)
	}
}

// The load of a busy fleet: most requests are sound and share sixty first parts, five in 100 of one kind have a poisoned part as
// well, all with one of those first parts. Reports reach the others within a second. Guards against more than five crashes and
// the few of the requests on their way, and against sound requests that are refused.
func TestPoisonedPartInBusyFleet(t *testing.T) {
	const (
		instances   = 9
		delay       = 600 * time.Millisecond // until the others know a report
		prefill     = 150 * time.Millisecond // until an answer begins or an engine crashes
		arrival     = 12 * time.Millisecond
		length      = 20 * time.Second
		poisonedAt  = 4 * time.Second
		maxCrashes  = 8
		firstParts  = 60
		poisonShare = 0.025
	)
	type end struct {
		at       time.Time
		instance int
		parts    []string
		poisoned bool
	}
	random := rand.New(rand.NewPCG(1, 2))
	detectors, published := make([]*Detector, instances), make(map[time.Time]map[string]Report)
	for i := range detectors {
		detectors[i] = newDetector(fmt.Sprint(i))
	}
	var running []end
	crashes, refused := 0, 0
	for now := start; now.Before(start.Add(length)); now = now.Add(arrival) {
		reports := make(map[string]Report)
		for i, d := range detectors {
			if visible := published[now.Add(-delay)]; visible != nil {
				d.SetReports(now, visible)
			}
			reports[fmt.Sprint(i)] = d.Report(now, instances)
		}
		published[now] = reports
		for len(running) > 0 && !running[0].at.After(now) {
			done := running[0]
			running = running[1:]
			if done.poisoned {
				crashes++
				detectors[done.instance].Crashed(now, fmt.Sprintf("engine%d", crashes), done.parts)
			} else {
				detectors[done.instance].Survived(now, done.parts)
			}
		}
		request := end{at: now.Add(prefill), instance: random.IntN(instances), parts: []string{fmt.Sprintf("first%d", random.IntN(firstParts))}}
		if now.Sub(start) > poisonedAt && random.Float64() < poisonShare {
			request.poisoned, request.parts = true, []string{"first0", "poisoned"}
		}
		if _, blocked := detectors[request.instance].Blocked(now, request.parts); !blocked {
			running = append(running, request)
		} else if !request.poisoned {
			refused++
		}
	}
	if crashes > maxCrashes || crashes < MinCrashes {
		t.Errorf("got %d engines crashed, want %d to %d", crashes, MinCrashes, maxCrashes)
	}
	if refused > 0 {
		t.Errorf("got %d sound requests refused, want none", refused)
	}
}

// Guards against a report of another writer whose parts take minutes to compare, while every request waits.
func TestDecodeEvidenceBounds(t *testing.T) {
	tests := []struct {
		name           string
		crashes, parts int
		ok             bool
	}{
		{"the largest", maxCrashes, maxParts, true}, {"too many crashes", maxCrashes + 1, 1, false}, {"too many parts", 2, maxParts + 1, false},
		{"huge", 2, 50000, false},
	}
	for _, test := range tests {
		var report Report
		for i := range test.crashes {
			crash := Crash{Engine: fmt.Sprint("engine", i)}
			for j := range test.parts {
				crash.Parts = append(crash.Parts, fmt.Sprint("part", j))
			}
			report.Crashes = append(report.Crashes, crash)
		}
		for _, evidence := range []Evidence{{Report: report}, {Answers: report}} {
			value, err := evidence.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if _, err = DecodeEvidence(value); (err == nil) != test.ok {
				t.Errorf("%s: got %v, want the report accepted: %v", test.name, err, test.ok)
			}
		}
	}
}

// Guards against an instance that clears a part of one crash after the other for all others, although what clears it of the last one
// clears it of those before.
func TestClearCoversEarlierCrashes(t *testing.T) {
	const crashes = 6
	a, b := newDetector("a"), newDetector("b")
	reports := make(map[string]Report)
	for i := range crashes {
		at := time.Duration(i) * clearMargin
		crash(a, at, i, "sound")
		reports = map[string]Report{"a": a.Report(start.Add(at), 1)}
		b.SetReports(start.Add(at), reports)
	}
	end := start.Add(crashes * clearMargin)
	b.Survived(end, []string{"sound"})
	told := b.Report(end, 1)
	if len(told.Cleared) != 1 || told.Cleared[0].Engine != fmt.Sprint("engine", crashes-1) {
		t.Errorf("got %+v cleared, want the last crash", told.Cleared)
	}
	a.SetReports(end, map[string]Report{"a": reports["a"], "b": told})
	if _, ok := a.Blocked(end, []string{"sound"}); ok {
		t.Error("got the part blocked, want it sent: it is cleared of the last crash")
	}
	for i := range MinCrashes {
		crash(a, (crashes+1)*clearMargin, crashes+i, "sound")
	}
	if _, ok := a.Blocked(end.Add(clearMargin), []string{"sound"}); !ok {
		t.Error("got the part sent, want it blocked: it is not cleared of later crashes")
	}
}

// Guards against a part of a crash being reported that another instance has just cleared of another crash, so that it needs clearing
// again.
func TestVouchedPartIsNotReported(t *testing.T) {
	for _, test := range []struct {
		name  string
		later time.Duration
		want  int
	}{{"just before", clearMargin / 2, 0}, {"long before", 2 * clearMargin, 1}} {
		d := newDetector("a")
		d.SetReports(start, map[string]Report{
			"b": {Crashes: []Crash{{Engine: "old", Parts: []string{"sound"}}}},
			"c": {Cleared: []Crash{{Engine: "old", Parts: []string{"sound"}}}},
		})
		crash(d, test.later, 1, "sound")
		if got := len(d.Report(start.Add(test.later), 1).Crashes); got != test.want {
			t.Errorf("%s: got %d crashes reported, want %d", test.name, got, test.want)
		}
	}
}
