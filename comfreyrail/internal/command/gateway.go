package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/process"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
)

// Parts of the memory and processor time that the process allows itself.
const (
	// memoryPart is the part of the memory at which the collector works harder.
	memoryPart = 0.7
	// megabyte is a megabyte in bytes.
	megabyte = 1 << 20
	// collectorPercent is how much the heap may grow between collections, in percent.
	collectorPercent = 200
)

// gatewayCommand returns the command that routes with a configuration watched in a store.
func gatewayCommand(path *string, code *int, stdout, stderr io.Writer) *cobra.Command {
	gateway := &cobra.Command{
		Use:   "gateway",
		Short: "Route by host and path with a configuration that is watched in a store",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			loaded, err := settings.LoadGateway(*path)
			if err != nil {
				return err
			}
			*code = ExitFailure
			return runGateway(loaded, *path, stderr)
		},
	}
	gateway.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check the settings and stop",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if _, err := settings.LoadGateway(*path); err != nil {
				return err
			}
			_, err := fmt.Fprintf(stdout, "%s: settings are valid\n", *path)
			return err
		},
	})
	return gateway
}

// runGateway serves until signals have stopped the process.
func runGateway(loaded settings.Gateway, path string, stderr io.Writer) error {
	debug.SetGCPercent(collectorPercent)
	if loaded.Memory.LimitMB > 0 {
		debug.SetMemoryLimit(int64(float64(loaded.Memory.LimitMB) * megabyte * memoryPart))
	}
	running, err := process.Build(loaded)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go obeyGateway(ctx, running, path, signals, stderr)
	return running.Serve(ctx)
}

// obeyGateway carries out signals: SIGTERM and SIGINT stop the process, SIGHUP reloads the settings, SIGUSR1 dumps the state.
func obeyGateway(ctx context.Context, running *process.Gateway, path string, signals <-chan os.Signal, stderr io.Writer) {
	for {
		select {
		case received := <-signals:
			switch received {
			case syscall.SIGHUP:
				running.Reload(settings.LoadGateway(path))
			case syscall.SIGUSR1:
				if err := process.WriteState(stderr, running.Catalog); err != nil {
					_, _ = fmt.Fprintf(stderr, "comfreyrail: %v\n", err)
				}
			default:
				running.Stop()
			}
		case <-ctx.Done():
			return
		}
	}
}
