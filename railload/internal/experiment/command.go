package experiment

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// experiment is one experiment by its name.
type experiment struct {
	name string
	run  func(seed int64, runs int) *Report
}

// experiments lists all experiments.
var experiments = []experiment{
	{name: "chain", run: chains},
	{name: "admission", run: admission},
	{name: "retry", run: retries},
	{name: "affinity", run: affinity},
}

// defaultRuns is the number of seeds.
const defaultRuns = 5

// Command returns the command that runs an experiment.
func Command() *cobra.Command {
	names := make([]string, 0, len(experiments))
	for _, e := range experiments {
		names = append(names, e.name)
	}
	var seed int64
	var runs int
	var output string
	command := &cobra.Command{
		Use:   "experiment NAME",
		Short: "Measure a decision under load in virtual time: " + strings.Join(names, ", "),
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			i := slices.Index(names, args[0])
			if i < 0 {
				return fmt.Errorf("experiment %q does not exist; use one of %s", args[0], strings.Join(names, ", "))
			}
			if runs < 1 {
				return fmt.Errorf("--runs = %d: use a positive number", runs)
			}
			report := experiments[i].run(seed, runs)
			switch output {
			case "table":
				return report.WriteTable(command.OutOrStdout())
			case "json":
				return report.WriteJSON(command.OutOrStdout())
			}
			return fmt.Errorf("--output = %q: use table or json", output)
		},
	}
	command.Flags().Int64Var(&seed, "seed", 1, "first seed")
	command.Flags().IntVar(&runs, "runs", defaultRuns, "number of seeds")
	command.Flags().StringVar(&output, "output", "table", "table or json")
	return command
}
