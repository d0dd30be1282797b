package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	// ExitOK means that the command succeeded; an edit was accepted, or a dry run found it valid.
	ExitOK = 0
	// ExitFailure means that the command failed for a reason that no other code covers.
	ExitFailure = 1
	// ExitUsage means that the arguments or a file are invalid, or that output could not be written. An edit can have been
	// accepted only in the latter case.
	ExitUsage = 2
	// ExitConflict means that the same rows were changed by another edit; this edit was not accepted.
	ExitConflict = 3
	// ExitRefused means that the edit would make the tables invalid; it was not accepted.
	ExitRefused = 4
	// ExitNotAccepted means that the edit was not accepted and never will be.
	ExitNotAccepted = 5
	// ExitUnknown means that the edit may have been accepted or may still be accepted.
	ExitUnknown = 6
	// ExitLagging means that an accepted edit is not in force at every instance within the time limit.
	ExitLagging = 7
	// ExitUnreachable means that no connection to the instance could be made; nothing was sent.
	ExitUnreachable = 8
	// ExitAbsent means that the row or edit was not found.
	ExitAbsent = 9
	// ExitDenied means that the token is missing or does not permit the request.
	ExitDenied = 10
)

// exitError is an error with the exit code that the program returns for it.
type exitError struct {
	code    int
	message string
}

// Error returns the message, which states the error and what to do next.
func (e *exitError) Error() string { return e.message }

// exitErrorf returns an exitError with a formatted message.
func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, message: fmt.Sprintf(format, args...)}
}

// outputFormat is a value of the flag --output.
type outputFormat string

const (
	formatText outputFormat = "text"
	formatJSON outputFormat = "json"
)

// session holds the client, the output and the common flags of one run of the program.
type session struct {
	client    client
	stdout    io.Writer
	output    string
	author    string
	wait      bool
	timeout   time.Duration
	tokenFile string
}

// defaultTimeout is the default of --timeout, the time that --wait gives the instances. Without faults, every instance has put
// an accepted edit in force by then.
const defaultTimeout = 12 * time.Second

// Execute runs the program with the arguments and returns its exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	s := &session{stdout: stdout}
	root := s.rootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(stderr, "comfreyctl: %v\n", err)
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	// The errors of cobra about the arguments, of explain about log files and of failed writes have no code of their own.
	return ExitUsage
}

// rootCommand returns the root command with its subcommands and common flags.
func (s *session) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "comfreyctl", Short: "Edit routes and pools and show the state of comfreyrail", Long: help,
		SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return s.prepare() },
	}
	flags := root.PersistentFlags()
	flags.StringVar(&s.client.address, "address", "127.0.0.1:8090", "address of the admin interface of an instance")
	flags.StringVar(&s.tokenFile, "token-file", "", "file with the bearer token (default: the variable COMFREYCTL_TOKEN)")
	flags.StringVarP(&s.output, "output", "o", string(formatText), "text or json")
	flags.StringVar(&s.author, "author", os.Getenv("USER"), "name of the operator for the history")
	flags.BoolVar(&s.wait, "wait", false, "wait until an accepted edit is in force at every instance")
	flags.DurationVar(&s.timeout, "timeout", defaultTimeout, "maximum time to wait for the instances")
	root.AddCommand(s.routeCommand(), s.poolCommand(), s.applyCommand(), s.diffCommand(), s.exportCommand(), s.drainCommand())
	root.AddCommand(s.editCommand(), s.historyCommand(), s.statusCommand(), s.dumpCommand(), explainCommand())
	return root
}

const help = `Edit routes and pools and show the state of comfreyrail.

Exit codes:
  0  done; an edit was accepted
  1  failed for another reason
  2  the arguments or a file are invalid and no edit was made, or the output could not be written
  3  conflict: another edit changed the same rows; the edit was not accepted
  4  refused: the tables would be invalid; the edit was not accepted
  5  not accepted, and never will be
  6  unknown: the edit may have been accepted or may still be
  7  accepted, but not in force at every instance in time
  8  unreachable: no connection to the instance could be made
  9  absent: no such row or edit
 10  denied: the token is missing or does not permit the request`

// prepare checks the common flags and reads the token; the file takes precedence over the environment variable.
func (s *session) prepare() error {
	if s.output != string(formatText) && s.output != string(formatJSON) {
		return exitErrorf(ExitUsage, "output %q is unknown; use %s or %s", s.output, formatText, formatJSON)
	}
	s.client.token = os.Getenv("COMFREYCTL_TOKEN")
	if s.tokenFile == "" {
		return nil
	}
	content, err := os.ReadFile(s.tokenFile)
	if err != nil {
		return exitErrorf(ExitUsage, "token cannot be read: %v", err)
	}
	s.client.setToken(content)
	return nil
}
