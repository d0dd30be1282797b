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

	gatewayprocess "github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/process"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
)

// Parameters of the garbage collector, which determine the memory and the processor time that the process uses.
const (
	// memoryFraction is the fraction of Memory.LimitMB that is set as the soft memory limit of the Go runtime, near which the
	// garbage collector runs more often.
	memoryFraction = 0.7
	// megabyte is the number of bytes in a megabyte of the settings.
	megabyte = 1 << 20
	// gcPercent is how much the heap may grow between collections, in percent.
	gcPercent = 200
)

// gatewayCommand returns the gateway command, which runs a process that routes with a configuration watched in a store.
// The command sets exitCode to ExitFailure once the settings are valid.
func gatewayCommand(path *string, exitCode *int, stdout, stderr io.Writer) *cobra.Command {
	gateway := &cobra.Command{
		Use:   "gateway",
		Short: "Route by host and path with a configuration that is watched in a store",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			loaded, err := settings.LoadGateway(*path)
			if err != nil {
				return err
			}
			*exitCode = ExitFailure
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

// runGateway runs a gateway until a signal stops it or it fails.
func runGateway(loaded settings.Gateway, path string, stderr io.Writer) error {
	debug.SetGCPercent(gcPercent)
	if loaded.Memory.LimitMB > 0 {
		debug.SetMemoryLimit(int64(float64(loaded.Memory.LimitMB) * megabyte * memoryFraction))
	}
	running, err := gatewayprocess.Build(loaded)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go handleGatewaySignals(ctx, running, path, signals, stderr)
	return running.Serve(ctx)
}

// handleGatewaySignals handles signals until the context is done: SIGTERM and SIGINT stop the process gracefully, a second
// one aborts the requests in progress, SIGHUP reloads the settings and SIGUSR1 writes a dump of the state.
func handleGatewaySignals(ctx context.Context, running *gatewayprocess.Gateway, path string, signals <-chan os.Signal, stderr io.Writer) {
	for {
		select {
		case received := <-signals:
			switch received {
			case syscall.SIGHUP:
				running.Reload(settings.LoadGateway(path))
			case syscall.SIGUSR1:
				if err := gatewayprocess.WriteState(stderr, running.Catalog); err != nil {
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
