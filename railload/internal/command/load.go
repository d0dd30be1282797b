package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/comfreyrail/comfreyrail/railload/internal/load"
)

// Values of the flag --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// loadCommand returns the command that sends requests at a given rate.
func loadCommand() *cobra.Command {
	config := load.Defaults()
	var instances []string
	output := outputTable
	strict := false
	command := &cobra.Command{
		Use:   "load",
		Short: "Send requests at a given rate for a given time",
		Long: "Send requests at a given rate for a given time. Arrivals do not wait for answers, and latency is\n" +
			"measured from the intended arrival. The exit code is 1 if a check of the answers or of the run counts\n" +
			"failed, and with --strict also if a request could not connect, lost its connection, timed out\n" +
			"or has no known outcome.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) (err error) {
			if config.Instances, err = load.ParseInstances(instances); err != nil {
				return err
			}
			if output != outputTable && output != outputJSON {
				return fmt.Errorf("--output = %q: use %s or %s", output, outputTable, outputJSON)
			}
			report, err := load.Run(command.Context(), config)
			if err != nil {
				return err
			}
			write := report.WriteTable
			if output == outputJSON {
				write = report.WriteJSON
			}
			if err = write(command.OutOrStdout()); err != nil {
				return err
			}
			if report.FailedChecks() > 0 || strict && report.Lost() > 0 {
				return errCheckFailed
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringArrayVar(&instances, "instance", nil, "caller address and readiness address of one instance, as HOST:PORT/HOST:PORT; repeat for each")
	flags.StringVar(&output, "output", output, "format of the report, table or json")
	flags.BoolVar(&strict, "strict", strict,
		"fail also if a request could not connect, lost its connection, timed out or has no known outcome")
	flags.Float64Var(&config.Rate, "rate", config.Rate, "arrivals per second")
	flags.DurationVar(&config.Duration, "time", config.Duration, "time during which requests arrive")
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "seed of the arrivals")
	flags.IntVar(&config.Workspaces, "workspaces", config.Workspaces, "number of workspaces")
	flags.Float64Var(&config.Skew, "skew", config.Skew, "skew of the workspaces: the share of the n-th workspace is 1/n^skew of the share of the first")
	flags.Float64Var(&config.PlainShare, "plain", config.PlainShare, "share of plain calls, from 0 to 1")
	flags.Float64Var(&config.KeyedShare, "keyed", config.KeyedShare, "share of plain calls that carry an idempotency key, from 0 to 1")
	flags.StringVar(&config.Model, "model", config.Model, "model of the completions")
	flags.IntVar(&config.Layers, "layers", config.Layers, "number of layers of the model")
	flags.IntVar(&config.MeanTokens, "tokens", config.MeanTokens, "mean number of tokens of an answer")
	flags.IntVar(&config.Prefixes, "prefixes", config.Prefixes, "number of prompt prefixes that the prompts of one workspace share")
	flags.StringVar(&config.Path, "path", config.Path, "path of the plain calls")
	flags.StringArrayVar(&config.Services, "service", nil, "HOST:PORT of a stand-in plain service whose run counts are checked at the end; repeat for each")
	flags.DurationVar(&config.BalancerLag, "lag", config.BalancerLag, "time until the load balancer applies a change of readiness")
	flags.DurationVar(&config.Timeout, "timeout", config.Timeout, "timeout of a request")
	return command
}
