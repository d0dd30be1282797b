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

	"github.com/comfreyrail/comfreyrail/railload/internal/experiment"
)

// Exit codes of the program.
const (
	// ExitOK means that the run completed and every check passed; with --strict also that no request was lost (see load.Report.Lost).
	ExitOK = 0
	// ExitCheckFailed means that the run completed and a check failed or, with --strict, a request was lost.
	ExitCheckFailed = 1
	// ExitError means that the arguments are invalid or that the run could not be completed.
	ExitError = 2
)

// errCheckFailed is the error that Execute maps to ExitCheckFailed.
const errCheckFailed = errors.ConstError("a check of the answers or of the run counts failed, or with --strict a request " +
	"could not connect, lost its connection, timed out or has no known outcome")

// Execute runs the command line with the arguments, without the program name, and returns the exit code.
// SIGINT and SIGTERM cancel the context of the command.
func Execute(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "railload",
		Short:         "Send requests to comfreyrail and report the results that the callers got",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(loadCommand(), experiment.Command())
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "railload: %v\n", err)
	}
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errCheckFailed):
		return ExitCheckFailed
	default:
		return ExitError
	}
}
