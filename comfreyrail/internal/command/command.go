package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/process"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
)

// Exit codes of comfreyrail.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the process failed to start or failed while running.
	ExitFailure = 1
	// ExitSettings means that the settings or arguments are invalid.
	ExitSettings = 2
	// ExitRequestsAborted means that command run aborted requests in progress when it stopped.
	ExitRequestsAborted = 3
)

// Execute runs the command with the arguments and returns the exit code.
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
			return run(loaded, stderr)
		},
	}, gatewayCommand(path, &code, stdout, stderr))
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintf(stderr, "comfreyrail: %v\n", err)
		var aborted *process.AbortedRequestsError
		if errors.As(err, &aborted) {
			return ExitRequestsAborted
		}
		return code
	}
	return ExitOK
}

// run runs a process until a signal stops it or it fails.
func run(loaded settings.Settings, stderr io.Writer) error {
	running, err := process.Build(loaded)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGUSR1)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go handleSignals(ctx, running, signals, stderr)
	return running.Serve(ctx)
}

// signalBuffer is the number of signals that can be pending.
const signalBuffer = 8

// handleSignals handles signals until the context is done: SIGTERM and SIGINT stop the process gracefully, a second one
// aborts the requests in progress, and SIGUSR1 writes a dump of the state.
func handleSignals(ctx context.Context, running *process.Process, signals <-chan os.Signal, stderr io.Writer) {
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGUSR1 {
				running.Stop()
			} else if err := running.WriteDump(stderr); err != nil {
				_, _ = fmt.Fprintf(stderr, "comfreyrail: %v\n", err)
			}
		case <-ctx.Done():
			return
		}
	}
}
