package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/process"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
)

// Exit codes of the program.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailure means that the process failed while running.
	ExitFailure = 1
	// ExitSettings means that the settings or arguments are invalid.
	ExitSettings = 2
)

// Execute runs the command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	code := ExitSettings
	root := &cobra.Command{
		Use:           "comfreyrail",
		Short:         "Route requests to chains of model engines and to plain services",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	path := root.PersistentFlags().StringP("settings", "s", "comfreyrail.toml", "file with the settings")
	root.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check the settings and stop",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if _, err := settings.Load(*path); err != nil {
				return err
			}
			_, err := fmt.Fprintf(command.OutOrStdout(), "%s: settings are valid\n", *path)
			return err
		},
	}, &cobra.Command{
		Use:   "run",
		Short: "Run the router until a signal stops it",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			loaded, err := settings.Load(*path)
			if err != nil {
				return err
			}
			code = ExitFailure
			return run(loaded)
		},
	})
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintf(stderr, "comfreyrail: %v\n", err)
		return code
	}
	return ExitOK
}

// run serves until a signal asks the process to stop.
func run(loaded settings.Settings) error {
	running, err := process.Build(loaded)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return running.Serve(ctx)
}
