package command

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"github.com/comfreyrail/comfreyrail/rail/table"
)

func (s *session) applyCommand() *cobra.Command {
	var dry bool
	command := &cobra.Command{
		Use:   "apply FILE",
		Short: "Change the rows that differ from those in a TOML file, all at once",
		Long: "Change the rows that differ from those in a TOML file, all at once.\n\n" +
			"Rows that the file lacks are deleted. A file written by comfreyctl export tells the versions of its\n" +
			"rows; a row that others changed or deleted since then is a conflict, not overwritten.",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			operations, wanted, err := s.difference(files[0])
			if err != nil {
				return err
			}
			if err = changedSince(operations, wanted); err != nil {
				return err
			}
			if len(operations) == 0 {
				return s.show(operations, func() { s.printf("nothing differs; nothing was changed\n") })
			}
			if s.output == string(formatText) {
				s.printOperations(operations)
			}
			return s.submit(operations, dry)
		},
	}
	command.Flags().BoolVar(&dry, "dry-run", false, "show and check the edit without making it")
	return command
}

func (s *session) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show how the tables in force differ from those in a TOML file",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			operations, _, err := s.difference(files[0])
			if err != nil {
				return err
			}
			return s.show(operations, func() {
				if len(operations) == 0 {
					s.printf("nothing differs\n")
				}
				s.printOperations(operations)
			})
		},
	}
}

// difference returns the operations that turn the tables in force into those of the file, and these.
func (s *session) difference(path string) (operations []table.Operation, wanted *table.Tables, err error) {
	wanted, err = readTables(path)
	if err != nil {
		return nil, nil, err
	}
	received, err := s.client.call(http.MethodPost, "/diff", nil, wanted)
	if err != nil {
		return nil, nil, unsent(err)
	}
	if received.status != http.StatusOK {
		return nil, nil, s.client.refused(received)
	}
	var difference struct {
		Operations []table.Operation `json:"operations"`
	}
	return difference.Operations, wanted, received.decode(&difference)
}

// changedSince returns a conflict if others changed rows of the edit after the file was exported.
//
// A file without generation and versions was not exported, and is applied as it is.
func changedSince(operations []table.Operation, wanted *table.Tables) error {
	file := wanted.Sorted()
	lines := ""
	for _, operation := range operations {
		switch exported := file.Find(operation.Row).Version(); {
		case file.Generation > 0 && operation.Version > file.Generation:
			lines += fmt.Sprintf("  %s: changed at generation %d, and your file wants to %s it\n", operation.Row, operation.Version, operation.Action)
		case exported > 0 && operation.Version == 0:
			lines += fmt.Sprintf("  %s: deleted since, and your file still has it\n", operation.Row)
		}
	}
	if lines == "" {
		return nil
	}
	return failf(ExitConflict, "conflict, nothing was changed: your file was made from generation %d\n%snext: export the tables again and repeat your edit", file.Generation, lines)
}

func (s *session) exportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "export",
		Short: "Write both tables in force as TOML, to be edited and applied",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			tables, err := s.tables()
			if err != nil {
				return err
			}
			return toml.NewEncoder(s.stdout).Encode(tables)
		},
	}
}

// unsent returns the error of a lost answer to a call that changes nothing.
func unsent(err error) error {
	var known *failure
	if errors.As(err, &known) && known.code == ExitUnknown {
		return failf(ExitFailure, "%s; nothing was changed, try again", known.message)
	}
	return err
}

// readTables reads and checks the tables in a TOML file.
func readTables(path string) (*table.Tables, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, failf(ExitUsage, "%v", err)
	}
	tables := new(table.Tables)
	if err = toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields().Decode(tables); err != nil {
		return nil, failf(ExitUsage, "%s: %s", path, explainTOML(err))
	}
	if problems := tables.Validate(); len(problems) > 0 {
		lines := make([]string, 0, len(problems))
		for _, problem := range problems {
			lines = append(lines, "  "+problem.String())
		}
		return nil, failf(ExitRefused, "%s is refused, nothing was sent:\n%s", path, strings.Join(lines, "\n"))
	}
	return tables, nil
}

// explainTOML names the line of a syntax error and the unknown keys.
func explainTOML(err error) string {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return unknown.String()
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		return syntax.String()
	}
	return err.Error()
}

func (s *session) drainCommand() *cobra.Command {
	var undo bool
	command := &cobra.Command{
		Use:   "drain POOL SERVER",
		Short: "Keep new work away from a backend server",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, names []string) error {
			row := table.Row{Type: table.ServerRow, Pool: names[0], Name: names[1]}
			content, version, err := s.find(row)
			if err != nil {
				return err
			}
			if version == 0 {
				return failf(ExitAbsent, "%s does not exist; comfreyctl pool get lists the backend servers", row)
			}
			operation := table.Operation{Action: table.Leave, Row: row, Version: version}
			if undo {
				server := *content.Server
				server.Leaving = false
				operation = table.PutServer(row.Pool, server, version)
			}
			return s.submit([]table.Operation{operation}, false)
		},
	}
	command.Flags().BoolVar(&undo, "undo", false, "let the backend server take new work again")
	return command
}
