package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms of latency in microseconds.
const (
	minMicros = 1
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
)

// Latency summarises a histogram, in milliseconds.
type Latency struct {
	// Count is the number of values.
	Count int64 `json:"count"`
	// P50 is the median.
	P50 float64 `json:"p50"`
	// P95 is the 95th percentile.
	P95 float64 `json:"p95"`
	// P99 is the 99th percentile.
	P99 float64 `json:"p99"`
	// P999 is the 99.9th percentile.
	P999 float64 `json:"p999"`
	// Max is the greatest value.
	Max float64 `json:"max"`
}

// Group is what the callers of one kind of request, or of one workspace, saw.
type Group struct {
	// Name names the kind or the workspace.
	Name string `json:"name"`
	// Sent is the number of requests.
	Sent int `json:"sent"`
	// Verdicts counts the requests by verdict.
	Verdicts map[Verdict]int `json:"verdicts"`
	// FailedChecks is the number of answers that failed a check.
	FailedChecks int `json:"wrong"`
	// FirstToken is the latency to the first token.
	FirstToken Latency `json:"first"`
	// InterToken is the latency between tokens.
	InterToken Latency `json:"between"`
	// EndToEnd is the latency of done requests to the end of the answer.
	EndToEnd Latency `json:"whole"`

	first, between, whole *hdrhistogram.Histogram
}

// Reason counts requests that failed alike.
type Reason struct {
	// Verdict is what the callers saw.
	Verdict Verdict `json:"verdict"`
	// Code is the code of the failure.
	Code string `json:"code,omitempty"`
	// Count is the number of requests.
	Count int `json:"count"`
	// Example is the message of one of them.
	Example string `json:"example"`
}

// Second counts the requests that arrived within one second.
type Second struct {
	// Done is the number of requests with whole answers.
	Done int `json:"done"`
	// Failed is the number of all others.
	Failed int `json:"failed"`
	// Slowest is the greatest latency to the end of a done answer, in milliseconds.
	Slowest float64 `json:"slowest"`
}

// Report is what all callers of one run saw.
type Report struct {
	// Kinds holds a group for each kind of request.
	Kinds []*Group `json:"kinds"`
	// Workspaces holds a group for each workspace, in the order of their sizes.
	Workspaces []*Group `json:"workspaces"`
	// Reasons lists why requests failed, the most frequent first.
	Reasons []*Reason `json:"reasons"`
	// Seconds lists the seconds of the run by the arrival of the requests.
	Seconds []Second `json:"seconds"`
	// Problems lists some of the checks that failed.
	Problems []string `json:"problems"`
	// Tokens is the number of tokens received.
	Tokens int `json:"tokens"`
	// CheckedRuns is the number of plain calls whose runs were counted at the services.
	CheckedRuns int `json:"runs"`
	// RunMismatches is the number of plain calls whose count of runs contradicts what the caller was told.
	RunMismatches int `json:"misruns"`
}

// maxProblems is the number of failed checks that the report quotes.
const maxProblems = 10

func newGroup(name string) *Group {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, digits) }
	return &Group{Name: name, Verdicts: make(map[Verdict]int), first: histogram(), between: histogram(), whole: histogram()}
}

// newReport returns a Report of no requests.
func newReport(config Config) *Report {
	report := &Report{Kinds: []*Group{newGroup(string(Stream)), newGroup(string(Plain))}}
	for n := range config.Workspaces {
		report.Workspaces = append(report.Workspaces, newGroup(fmt.Sprintf("workspace%d", n+1)))
	}
	report.Seconds = make([]Second, int((config.Duration+time.Second-1)/time.Second))
	return report
}

// FailedChecks returns the number of failed checks.
func (r *Report) FailedChecks() int {
	wrong := r.RunMismatches
	for _, group := range r.Kinds {
		wrong += group.FailedChecks
	}
	return wrong
}

// Lost returns the number of requests that were cut, refused a connection or left unknown.
func (r *Report) Lost() int {
	lost := 0
	for _, group := range r.Kinds {
		lost += group.Verdicts[Cut] + group.Verdicts[Refused] + group.Verdicts[Unknown]
	}
	return lost
}

// add adds one request.
func (r *Report) add(arrival Arrival, seen result) {
	for _, groups := range [][]*Group{r.Kinds, r.Workspaces} {
		for _, group := range groups {
			if group.Name == string(arrival.Kind) || group.Name == arrival.Workspace {
				group.add(seen)
			}
		}
	}
	if seen.first > 0 {
		r.Tokens += 1 + len(seen.gaps)
	}
	if seen.wrong != "" {
		r.problem(fmt.Sprintf("request %d (%s): %s", arrival.Index, arrival.Kind, seen.wrong))
	}
	second := &r.Seconds[int(arrival.Offset/time.Second)]
	if seen.verdict == Done {
		second.Done++
		second.Slowest = max(second.Slowest, float64(seen.whole)/float64(time.Millisecond))
		return
	}
	second.Failed++
	r.fail(seen)
}

func (r *Report) problem(text string) {
	if len(r.Problems) < maxProblems {
		r.Problems = append(r.Problems, text)
	}
}

func (r *Report) fail(seen result) {
	for _, reason := range r.Reasons {
		if reason.Verdict == seen.verdict && reason.Code == seen.code && (seen.code != "" || reason.Example == seen.detail) {
			reason.Count++
			return
		}
	}
	r.Reasons = append(r.Reasons, &Reason{Verdict: seen.verdict, Code: seen.code, Count: 1, Example: seen.detail})
}

func (g *Group) add(seen result) {
	g.Sent++
	g.Verdicts[seen.verdict]++
	if seen.wrong != "" {
		g.FailedChecks++
	}
	if seen.first > 0 {
		_ = g.first.RecordValue(micros(seen.first))
	}
	for _, gap := range seen.gaps {
		_ = g.between.RecordValue(micros(gap))
	}
	if seen.verdict == Done {
		_ = g.whole.RecordValue(micros(seen.whole))
	}
}

// micros returns d in microseconds within the range of the histograms.
func micros(d time.Duration) int64 {
	return min(max(d.Microseconds(), minMicros), maxMicros)
}

// summarise fills in what is computed from all requests.
func (r *Report) summarise() {
	for _, groups := range [][]*Group{r.Kinds, r.Workspaces} {
		for _, group := range groups {
			group.FirstToken, group.InterToken, group.EndToEnd = summary(group.first), summary(group.between), summary(group.whole)
		}
	}
	sort.SliceStable(r.Reasons, func(i, j int) bool { return r.Reasons[i].Count > r.Reasons[j].Count })
}

func summary(histogram *hdrhistogram.Histogram) Latency {
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / 1000 }
	return Latency{
		Count: histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99), P999: at(99.9),
		Max: float64(histogram.Max()) / 1000,
	}
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as tables for people.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format, args...) }
	printf("requests\tsent\tdone\tnot run\tunknown\tcut\trefused\twrong\n")
	for _, group := range append(r.Kinds, r.Workspaces...) {
		printf("%s\t%d", group.Name, group.Sent)
		for _, verdict := range verdicts() {
			printf("\t%d", group.Verdicts[verdict])
		}
		printf("\t%d\n", group.FailedChecks)
	}
	printf("\nlatency in ms\tcount\tp50\tp95\tp99\tp99.9\tmax\n")
	for _, group := range r.Kinds {
		rows := []struct {
			name    string
			latency Latency
		}{{"first token", group.FirstToken}, {"between tokens", group.InterToken}, {"whole answer", group.EndToEnd}}
		for _, row := range rows {
			if l := row.latency; l.Count > 0 {
				printf("%s: %s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", group.Name, row.name, l.Count, l.P50, l.P95, l.P99, l.P999, l.Max)
			}
		}
	}
	printf("\n%d tokens; the runs of %d plain calls were counted, %d contradict what the caller was told\n", r.Tokens, r.CheckedRuns, r.RunMismatches)
	for _, reason := range r.Reasons {
		printf("%d %s %s: %s\n", reason.Count, reason.Verdict, reason.Code, reason.Example)
	}
	for _, problem := range r.Problems {
		printf("WRONG %s\n", problem)
	}
	return table.Flush()
}
