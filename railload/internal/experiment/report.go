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
	// Seed is the first seed; the others follow consecutively.
	Seed int64 `json:"seed"`
	// Runs is the number of seeds.
	Runs int `json:"runs"`
	// Rows holds the results of each case, in the order of simulation.
	Rows []Row `json:"rows"`
}

// Row is the result of one case of an experiment.
type Row struct {
	// Case names the policy and the conditions that were simulated.
	Case string `json:"case"`
	// Figures are the results of the case.
	Figures []Figure `json:"figures"`
}

// Figure is one measured quantity, with its mean and range over the seeds.
type Figure struct {
	// Name is the name of the figure, with its unit if it has one.
	Name string `json:"name"`
	// Mean is the mean over the seeds.
	Mean float64 `json:"mean"`
	// Min is the smallest value over the seeds.
	Min float64 `json:"least"`
	// Max is the largest value over the seeds.
	Max float64 `json:"most"`
}

// figureValue is the value of one figure with one seed.
type figureValue struct {
	name  string
	value float64
}

// summarize returns the row of a case from the values of its figures, one list for each seed. All lists must have the same
// figures in the same order.
func summarize(name string, valuesBySeed [][]figureValue) Row {
	row := Row{Case: name}
	for i, first := range valuesBySeed[0] {
		figure := Figure{Name: first.name, Min: math.Inf(1), Max: math.Inf(-1)}
		for _, values := range valuesBySeed {
			figure.Mean += values[i].value / float64(len(valuesBySeed))
			figure.Min = min(figure.Min, values[i].value)
			figure.Max = max(figure.Max, values[i].value)
		}
		row.Figures = append(row.Figures, figure)
	}
	return row
}

// WriteTable writes the report as a text table with the mean, smallest and largest value of each figure.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	var last string
	for _, row := range r.Rows {
		header, cells := []string{r.Name}, []string{row.Case}
		for _, f := range row.Figures {
			header = append(header, f.Name)
			cells = append(cells, fmt.Sprintf("%.4g (%.4g..%.4g)", f.Mean, f.Min, f.Max))
		}
		if line := strings.Join(header, "\t"); line != last {
			_, _ = fmt.Fprintln(table, line)
			last = line
		}
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	return table.Flush()
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// quantile returns the q-quantile of the values, for q from 0 to 1; it returns 0 if there are no values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
