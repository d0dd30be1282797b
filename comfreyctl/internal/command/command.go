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
	// ExitOK means that the command did what was asked; an edit was accepted, or would be.
	ExitOK = 0
	// ExitFailure means that the command could not be carried out for a reason that no other code names.
	ExitFailure = 1
	// ExitUsage means that the arguments or a file are wrong; nothing was sent.
	ExitUsage = 2
	// ExitConflict means that others changed the same rows; the edit was not accepted.
	ExitConflict = 3
	// ExitRefused means that the edit would leave invalid tables; it was not accepted.
	ExitRefused = 4
	// ExitNotAccepted means that the edit was not accepted and never will be.
	ExitNotAccepted = 5
	// ExitUnknown means that the edit may have been accepted or may yet be.
	ExitUnknown = 6
	// ExitLagging means that an accepted edit is not in force at every instance within the time limit.
	ExitLagging = 7
	// ExitUnreachable means that the instance could not be connected to; nothing was sent.
	ExitUnreachable = 8
	// ExitAbsent means that the row or edit was not found.
	ExitAbsent = 9
	// ExitDenied means that the token does not admit to the request.
	ExitDenied = 10
)

// failure is an error with its exit code.
type failure struct {
	code    int
	message string
}

// Error returns what is wrong and what to do next.
func (f *failure) Error() string { return f.message }

func failf(code int, format string, args ...any) error {
	return &failure{code: code, message: fmt.Sprintf(format, args...)}
}

// format is a way to write results.
type format string

const (
	formatText format = "text"
	formatJSON format = "json"
)

// session is one run of the program.
type session struct {
	client  client
	stdout  io.Writer
	output  string
	author  string
	wait    bool
	timeout time.Duration
	token   string
}

// defaultTimeout is the time that --wait gives the instances: the bound for a change to be in force everywhere.
const defaultTimeout = 12 * time.Second

// Execute runs the command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	s := &session{stdout: stdout}
	root := s.root()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(stderr, "comfreyctl: %v\n", err)
	var known *failure
	if errors.As(err, &known) {
		return known.code
	}
	// What is left are the errors of cobra about the arguments.
	return ExitUsage
}

// root returns the command with its subcommands and common flags.
func (s *session) root() *cobra.Command {
	root := &cobra.Command{
		Use: "comfreyctl", Short: "Edit routes and pools and show the state of comfreyrail", Long: help,
		SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return s.prepare() },
	}
	flags := root.PersistentFlags()
	flags.StringVar(&s.client.address, "address", "127.0.0.1:8090", "administration address of an instance")
	flags.StringVar(&s.token, "token-file", "", "file with the bearer token (default: the variable COMFREYCTL_TOKEN)")
	flags.StringVarP(&s.output, "output", "o", string(formatText), "text or json")
	flags.StringVar(&s.author, "author", os.Getenv("USER"), "name of the operator for the history")
	flags.BoolVar(&s.wait, "wait", false, "wait until an accepted edit is in force at every instance")
	flags.DurationVar(&s.timeout, "timeout", defaultTimeout, "longest time to wait for the instances")
	root.AddCommand(s.routeCommand(), s.poolCommand(), s.applyCommand(), s.diffCommand(), s.exportCommand(), s.drainCommand())
	root.AddCommand(s.editCommand(), s.historyCommand(), s.statusCommand(), s.dumpCommand(), explainCommand())
	return root
}

const help = `Edit routes and pools and show the state of comfreyrail.

Exit codes:
  0  done; an edit was accepted
  1  failed for another reason
  2  the arguments or a file are wrong; nothing was sent
  3  conflict: others changed the same rows; the edit was not accepted
  4  refused: the tables would be invalid; the edit was not accepted
  5  not accepted, and never will be
  6  unknown: the edit may have been accepted or may yet be
  7  accepted, but not in force at every instance in time
  8  unreachable: the instance could not be connected to
  9  absent: no such row or edit
 10  denied: the token does not admit to the request`

// prepare checks the common flags.
func (s *session) prepare() error {
	if s.output != string(formatText) && s.output != string(formatJSON) {
		return failf(ExitUsage, "output %q is unknown; use %s or %s", s.output, formatText, formatJSON)
	}
	s.client.token = os.Getenv("COMFREYCTL_TOKEN")
	if s.token == "" {
		return nil
	}
	content, err := os.ReadFile(s.token)
	if err != nil {
		return failf(ExitUsage, "token cannot be read: %v", err)
	}
	s.client.setToken(content)
	return nil
}
