package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/comfreyrail/comfreyrail/soak/internal/soak"
)

func main() {
	var config soak.Config
	root := &cobra.Command{
		Use:           "soak",
		Short:         "Run instances as processes, inject faults from outside, and check what callers and backend servers receive",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			report, err := soak.Run(command.Context(), config)
			if _, writeErr := fmt.Fprintln(command.OutOrStdout(), report); writeErr != nil {
				return writeErr
			}
			return err
		},
	}
	flags := root.Flags()
	flags.StringVar(&config.Program, "program", "build/comfreyrail", "path of the program of an instance")
	flags.StringVar(&config.LogDir, "logs", "", "directory for the logs of the processes; empty discards them")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of the random faults")
	flags.DurationVar(&config.Duration, "length", 10*time.Second, "time during which faults are injected")
	flags.IntVar(&config.Instances, "instances", 3, "number of instances")
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}
