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

// Range of the latency histograms in microseconds, and their precision in significant decimal digits.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Latency summarizes a histogram of latencies, in milliseconds.
type Latency struct {
	// Count is the number of recorded values.
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

// Group summarizes the results of the requests of one kind or of one workspace.
type Group struct {
	// Name is the name of the kind or the workspace.
	Name string `json:"name"`
	// Sent is the number of requests that were sent.
	Sent int `json:"sent"`
	// Verdicts is the number of requests by verdict.
	Verdicts map[Verdict]int `json:"verdicts"`
	// FailedChecks is the number of answers that failed a check.
	FailedChecks int `json:"wrong"`
	// FirstToken is the latency from the intended arrival to the first token.
	FirstToken Latency `json:"first"`
	// InterToken is the time between consecutive tokens.
	InterToken Latency `json:"between"`
	// EndToEnd is the latency of done requests from the intended arrival to the end of the answer.
	EndToEnd Latency `json:"whole"`

	firstTokenHistogram, interTokenHistogram, endToEndHistogram *hdrhistogram.Histogram
}

// Reason counts the requests that failed with the same verdict and the same code, or the same message if there is no code.
type Reason struct {
	// Verdict is the verdict of the requests.
	Verdict Verdict `json:"verdict"`
	// Code is the code of the error in the answers; empty if there was none.
	Code string `json:"code,omitempty"`
	// Count is the number of requests with this reason.
	Count int `json:"count"`
	// Example is the message of the first of them.
	Example string `json:"example"`
}

// Second summarizes the requests whose intended arrival falls in one particular second of the run.
type Second struct {
	// Done is the number of requests whose verdict is Done.
	Done int `json:"done"`
	// Failed is the number of requests with any other verdict.
	Failed int `json:"failed"`
	// Slowest is the maximum end-to-end latency of the done requests, in milliseconds.
	Slowest float64 `json:"slowest"`
}

// Report summarizes the results of all requests of one run.
type Report struct {
	// Kinds holds a group for each kind of request.
	Kinds []*Group `json:"kinds"`
	// Workspaces holds a group for each workspace, in descending order of their shares.
	Workspaces []*Group `json:"workspaces"`
	// Reasons lists the reasons of failed requests, the most frequent first.
	Reasons []*Reason `json:"reasons"`
	// Seconds holds an entry for each second of the run.
	Seconds []Second `json:"seconds"`
	// Problems describes the first failed checks, at most maxProblems.
	Problems []string `json:"problems"`
	// Tokens is the number of tokens received.
	Tokens int `json:"tokens"`
	// CheckedCalls is the number of plain calls whose verdict was compared with the run counts of the services.
	CheckedCalls int `json:"runs"`
	// RunMismatches is the number of plain calls whose run count contradicts the verdict.
	RunMismatches int `json:"misruns"`
}

// maxProblems is the maximum number of failed checks that a report describes.
const maxProblems = 10

func newGroup(name string) *Group {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, significantDigits) }
	return &Group{Name: name, Verdicts: make(map[Verdict]int), firstTokenHistogram: histogram(), interTokenHistogram: histogram(), endToEndHistogram: histogram()}
}

// newReport returns an empty Report with a group for each kind and workspace.
func newReport(config Config) *Report {
	report := &Report{Kinds: []*Group{newGroup(string(Stream)), newGroup(string(Plain))}}
	for n := range config.Workspaces {
		report.Workspaces = append(report.Workspaces, newGroup(fmt.Sprintf("workspace%d", n+1)))
	}
	report.Seconds = make([]Second, int((config.Duration+time.Second-1)/time.Second))
	return report
}

// FailedChecks returns the number of answers that failed a check and of plain calls whose run count is wrong.
func (r *Report) FailedChecks() int {
	count := r.RunMismatches
	for _, group := range r.Kinds {
		count += group.FailedChecks
	}
	return count
}

// Lost returns the number of requests whose verdict is Broken, Unreachable or Unknown.
func (r *Report) Lost() int {
	lost := 0
	for _, group := range r.Kinds {
		lost += group.Verdicts[Broken] + group.Verdicts[Unreachable] + group.Verdicts[Unknown]
	}
	return lost
}

// add records the result of one request.
func (r *Report) add(arrival Arrival, res result) {
	for _, groups := range [][]*Group{r.Kinds, r.Workspaces} {
		for _, group := range groups {
			if group.Name == string(arrival.Kind) || group.Name == arrival.Workspace {
				group.add(res)
			}
		}
	}
	if res.firstToken > 0 {
		r.Tokens += 1 + len(res.tokenGaps)
	}
	if res.failedCheck != "" {
		r.addProblem(fmt.Sprintf("request %d (%s): %s", arrival.Index, arrival.Kind, res.failedCheck))
	}
	second := &r.Seconds[int(arrival.Offset/time.Second)]
	if res.verdict == Done {
		second.Done++
		second.Slowest = max(second.Slowest, float64(res.endToEnd)/float64(time.Millisecond))
		return
	}
	second.Failed++
	r.addReason(res)
}

func (r *Report) addProblem(text string) {
	if len(r.Problems) < maxProblems {
		r.Problems = append(r.Problems, text)
	}
}

func (r *Report) addReason(res result) {
	for _, reason := range r.Reasons {
		if reason.Verdict == res.verdict && reason.Code == res.code && (res.code != "" || reason.Example == res.detail) {
			reason.Count++
			return
		}
	}
	r.Reasons = append(r.Reasons, &Reason{Verdict: res.verdict, Code: res.code, Count: 1, Example: res.detail})
}

func (g *Group) add(res result) {
	g.Sent++
	g.Verdicts[res.verdict]++
	if res.failedCheck != "" {
		g.FailedChecks++
	}
	if res.firstToken > 0 {
		_ = g.firstTokenHistogram.RecordValue(micros(res.firstToken))
	}
	for _, gap := range res.tokenGaps {
		_ = g.interTokenHistogram.RecordValue(micros(gap))
	}
	if res.verdict == Done {
		_ = g.endToEndHistogram.RecordValue(micros(res.endToEnd))
	}
}

// micros returns d in microseconds, limited to the range of the histograms.
func micros(d time.Duration) int64 {
	return min(max(d.Microseconds(), minMicros), maxMicros)
}

// summarize sets the latencies and sorts the reasons; it is called once, after the last request.
func (r *Report) summarize() {
	for _, groups := range [][]*Group{r.Kinds, r.Workspaces} {
		for _, group := range groups {
			group.FirstToken, group.InterToken, group.EndToEnd = newLatency(group.firstTokenHistogram), newLatency(group.interTokenHistogram), newLatency(group.endToEndHistogram)
		}
	}
	sort.SliceStable(r.Reasons, func(i, j int) bool { return r.Reasons[i].Count > r.Reasons[j].Count })
}

func newLatency(histogram *hdrhistogram.Histogram) Latency {
	at := func(percentile float64) float64 { return float64(histogram.ValueAtQuantile(percentile)) / 1000 }
	return Latency{
		Count: histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99), P999: at(99.9),
		Max: float64(histogram.Max()) / 1000,
	}
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as text tables.
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
			if latency := row.latency; latency.Count > 0 {
				printf("%s: %s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", group.Name, row.name, latency.Count, latency.P50, latency.P95, latency.P99, latency.P999, latency.Max)
			}
		}
	}
	printf("\n%d tokens; the run counts of %d plain calls were checked, %d contradict the verdict\n", r.Tokens, r.CheckedCalls, r.RunMismatches)
	for _, reason := range r.Reasons {
		printf("%d %s %s: %s\n", reason.Count, reason.Verdict, reason.Code, reason.Example)
	}
	for _, problem := range r.Problems {
		printf("WRONG %s\n", problem)
	}
	return table.Flush()
}
