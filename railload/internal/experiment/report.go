package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// Report is the result of one experiment.
type Report struct {
	// Name is the name of the experiment.
	Name string `json:"name"`
	// Seed is the first of the seeds.
	Seed int64 `json:"seed"`
	// Runs is the number of seeds.
	Runs int `json:"runs"`
	// Rows holds a row for each case.
	Rows []Row `json:"rows"`
}

// Row is one case of an experiment.
type Row struct {
	// Case names what was tried and under which conditions.
	Case string `json:"case"`
	// Figures are the results.
	Figures []Figure `json:"figures"`
}

// Figure is one result with its spread over the seeds.
type Figure struct {
	// Name names the figure and its unit.
	Name string `json:"name"`
	// Mean is the mean over the seeds.
	Mean float64 `json:"mean"`
	// Min is the least value.
	Min float64 `json:"least"`
	// Max is the greatest value.
	Max float64 `json:"most"`
}

// sample is one result of one seed.
type sample struct {
	name  string
	value float64
}

// summarize returns the row of a case from the samples of each seed.
func summarize(name string, runs [][]sample) Row {
	row := Row{Case: name}
	for i, first := range runs[0] {
		figure := Figure{Name: first.name, Min: math.Inf(1), Max: math.Inf(-1)}
		for _, run := range runs {
			figure.Mean += run[i].value / float64(len(runs))
			figure.Min = min(figure.Min, run[i].value)
			figure.Max = max(figure.Max, run[i].value)
		}
		row.Figures = append(row.Figures, figure)
	}
	return row
}

// WriteTable writes the report as text, each figure with its mean, least and greatest value.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var last string
	for _, row := range r.Rows {
		head, cells := []string{r.Name}, []string{row.Case}
		for _, f := range row.Figures {
			head = append(head, f.Name)
			cells = append(cells, fmt.Sprintf("%.4g (%.4g..%.4g)", f.Mean, f.Min, f.Max))
		}
		if line := strings.Join(head, "\t"); line != last {
			_, _ = fmt.Fprintln(table, line)
			last = line
		}
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	return table.Flush()
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// quantile returns the value below which the share of the values lies.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
