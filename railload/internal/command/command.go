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
	// ExitOK means that the run ended and every check passed.
	ExitOK = 0
	// ExitCheckFailed means that a check of the answers failed.
	ExitCheckFailed = 1
	// ExitError means that the arguments are invalid or that the run could not be made.
	ExitError = 2
)

// errWrong means that a check of the answers failed.
const errWrong = errors.ConstError("a check of the answers failed")

// Execute runs the command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "railload",
		Short:         "Send requests to comfreyrail and report what the callers saw",
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
	case errors.Is(err, errWrong):
		return ExitCheckFailed
	default:
		return ExitError
	}
}
