package experiment

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// experiment is a named experiment; run simulates it with as many consecutive seeds as runs says, beginning with seed.
type experiment struct {
	name string
	run  func(seed int64, runs int) *Report
}

// experiments lists the experiments that the command can run.
var experiments = []experiment{
	{name: "chain", run: chainExperiment},
	{name: "admission", run: admissionExperiment},
	{name: "retry", run: retryExperiment},
	{name: "affinity", run: affinityExperiment},
}

// defaultRuns is the default number of seeds.
const defaultRuns = 5

// Command returns the command that runs an experiment and writes its report to the standard output.
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
		Short: "Compare a decision under load with its baselines in virtual time: " + strings.Join(names, ", "),
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
	command.Flags().StringVar(&output, "output", "table", "format of the report, table or json")
	return command
}
