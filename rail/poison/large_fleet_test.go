package poison

import (
	"fmt"
	"testing"
	"time"
)

// Sizes of the evidence of a large fleet.
const (
	largeFleetInstances = 195
	largeFleetCrashes   = 8 // each instance saw them all
	largeFleetOwnParts  = 2 // parts of a crash that only one instance saw
	largeFleetPopular   = 5 // parts that all instances saw, one in each crash
)

// popularPart returns a part that all instances of a large fleet saw.
func popularPart(crash int) string { return fmt.Sprint("popular", crash%largeFleetPopular) }

// largeReport returns what one instance of a large fleet saw.
func largeReport(instance int) (report Report) {
	for i := range largeFleetCrashes {
		crash := Crash{Engine: fmt.Sprint("engine", i), Parts: []string{popularPart(i)}}
		for j := range largeFleetOwnParts {
			crash.Parts = append(crash.Parts, fmt.Sprint("part", instance, "-", i, "-", j))
		}
		report.Crashes = append(report.Crashes, crash)
	}
	return report
}

// newLargeFleet returns a detector that knows the reports of a large fleet, and the reports.
func newLargeFleet(name string) (d *Detector, reports map[string]Report) {
	reports = make(map[string]Report)
	for i := range largeFleetInstances {
		reports[fmt.Sprint(i)] = largeReport(i)
	}
	d = newDetector(name)
	d.SetReports(start, reports)
	return d, reports
}

// Guards against an event that costs as much as all that all instances ever reported, so that processes of a large fleet stand still
// while engines crash: the memory that is allocated tells the work.
func TestEventCostsLittleInLargeFleet(t *testing.T) {
	const maxAllocations = 300
	d, reports := newLargeFleet("self")
	now, answers := start, 0
	tests := []struct {
		name  string
		event func()
	}{
		{"an answer clears a part", func() {
			d.Survived(now, []string{fmt.Sprint("part", answers, "-0-0")})
			answers++
		}},
		{"an engine crashes", func() { d.Crashed(now, fmt.Sprint("own", now.UnixNano()), []string{fmt.Sprint("own", now.UnixNano())}) }},
		{"another instance reports", func() {
			changed := make(map[string]Report, len(reports))
			for name, report := range reports {
				changed[name] = report
			}
			changed["0"] = largeReport(0)
			d.SetReports(now, changed)
		}},
		{"the own report is asked for", func() { d.Report(now, largeFleetInstances) }},
		{"a request is checked", func() { d.Blocked(now, []string{popularPart(1)}) }},
	}
	for _, test := range tests {
		got := testing.AllocsPerRun(20, func() {
			now = now.Add(time.Millisecond)
			test.event()
		})
		if got > maxAllocations {
			t.Errorf("%s: got %.0f allocations, want %d at most", test.name, got, maxAllocations)
		}
	}
}

// Measures an event in a large fleet.
func BenchmarkLargeFleet(b *testing.B) {
	d, _ := newLargeFleet("self")
	b.Run("survived", func(b *testing.B) {
		for i := range b.N {
			d.Survived(start.Add(time.Duration(i)), []string{fmt.Sprint("part", i%largeFleetInstances, "-", i/largeFleetInstances%largeFleetCrashes, "-0")})
		}
	})
	b.Run("report", func(b *testing.B) {
		for i := range b.N {
			d.Report(start.Add(time.Duration(i)), largeFleetInstances)
		}
	})
}
