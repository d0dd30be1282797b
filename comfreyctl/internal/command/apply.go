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
	var dryRun bool
	command := &cobra.Command{
		Use:   "apply FILE",
		Short: "Change the rows that differ from those in a TOML file, all at once",
		Long: "Change the rows that differ from those in a TOML file, all at once.\n\n" +
			"Rows that the file lacks are deleted. A file written by comfreyctl export contains the versions of its\n" +
			"rows; a row that another edit changed or deleted since then is a conflict and is not overwritten.",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			operations, fileTables, err := s.diffFile(files[0])
			if err != nil {
				return err
			}
			if err = checkExportConflicts(operations, fileTables); err != nil {
				return err
			}
			if len(operations) == 0 {
				return s.printValue(operations, func() { s.printf("nothing differs; nothing was changed\n") })
			}
			if s.output == string(formatText) {
				s.printOperations(operations)
			}
			return s.submit(operations, dryRun)
		},
	}
	command.Flags().BoolVar(&dryRun, "dry-run", false, "show and check the edit without making it")
	return command
}

func (s *session) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show how the tables in force differ from those in a TOML file",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			operations, _, err := s.diffFile(files[0])
			if err != nil {
				return err
			}
			return s.printValue(operations, func() {
				if len(operations) == 0 {
					s.printf("nothing differs\n")
				}
				s.printOperations(operations)
			})
		},
	}
}

// diffFile returns the operations that turn the tables in force into those of the file, and the tables of the file.
func (s *session) diffFile(path string) (operations []table.Operation, fileTables *table.Tables, err error) {
	fileTables, err = readTables(path)
	if err != nil {
		return nil, nil, err
	}
	resp, err := s.client.do(http.MethodPost, "/diff", nil, fileTables)
	if err != nil {
		return nil, nil, readOnlyError(err)
	}
	if resp.status != http.StatusOK {
		return nil, nil, s.client.statusError(resp)
	}
	var result struct {
		Operations []table.Operation `json:"operations"`
	}
	return result.Operations, fileTables, resp.decode(&result)
}

// checkExportConflicts returns an ExitConflict error if rows of the edit changed after the file was exported.
//
// A file without a generation and versions was not exported, and is applied without this check.
func checkExportConflicts(operations []table.Operation, fileTables *table.Tables) error {
	sorted := fileTables.Sorted()
	conflicts := ""
	for _, operation := range operations {
		switch exportedVersion := sorted.Find(operation.Row).Version(); {
		case sorted.Generation > 0 && operation.Version > sorted.Generation:
			conflicts += fmt.Sprintf("  %s: changed at generation %d, after the export of your file (action: %s)\n", operation.Row, operation.Version, operation.Action)
		case exportedVersion > 0 && operation.Version == 0:
			conflicts += fmt.Sprintf("  %s: deleted since the export, but your file still contains it\n", operation.Row)
		}
	}
	if conflicts == "" {
		return nil
	}
	return exitErrorf(ExitConflict, "conflict, nothing was changed: your file was made from generation %d\n%snext: export the tables again and repeat your edit", sorted.Generation, conflicts)
}

func (s *session) exportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "export",
		Short: "Write both tables in force as TOML, to be edited and applied",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			tables, err := s.fetchTables()
			if err != nil {
				return err
			}
			return toml.NewEncoder(s.stdout).Encode(tables)
		},
	}
}

// readOnlyError turns the ExitUnknown error of a request that changes nothing into an ExitFailure error.
func readOnlyError(err error) error {
	var exitErr *exitError
	if errors.As(err, &exitErr) && exitErr.code == ExitUnknown {
		return exitErrorf(ExitFailure, "%s; nothing was changed, try again", exitErr.message)
	}
	return err
}

// readTables reads and validates the tables in a TOML file; unknown keys are an error.
func readTables(path string) (*table.Tables, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, exitErrorf(ExitUsage, "%v", err)
	}
	tables := new(table.Tables)
	if err = toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields().Decode(tables); err != nil {
		return nil, exitErrorf(ExitUsage, "%s: %s", path, formatTOMLError(err))
	}
	if problems := tables.Validate(); len(problems) > 0 {
		lines := make([]string, 0, len(problems))
		for _, problem := range problems {
			lines = append(lines, "  "+problem.String())
		}
		return nil, exitErrorf(ExitRefused, "%s is refused, nothing was sent:\n%s", path, strings.Join(lines, "\n"))
	}
	return tables, nil
}

// formatTOMLError returns the text of a TOML error with the line of a syntax error or the unknown keys.
func formatTOMLError(err error) string {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		return unknownKeys.String()
	}
	var syntaxErr *toml.DecodeError
	if errors.As(err, &syntaxErr) {
		return syntaxErr.String()
	}
	return err.Error()
}

func (s *session) drainCommand() *cobra.Command {
	var undo bool
	command := &cobra.Command{
		Use:   "drain POOL SERVER",
		Short: "Stop sending new work to a backend server",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, names []string) error {
			row := table.RowKey{Type: table.ServerRow, Pool: names[0], Name: names[1]}
			content, version, err := s.findRow(row)
			if err != nil {
				return err
			}
			if version == 0 {
				return exitErrorf(ExitAbsent, "%s does not exist; comfreyctl pool get lists the backend servers", row)
			}
			// The action Leave marks the backend server as leaving, which is what draining means here.
			operation := table.Operation{Action: table.Leave, Row: row, Version: version}
			if undo {
				server := *content.Server
				server.Leaving = false
				operation = table.PutServer(row.Pool, server, version)
			}
			return s.submit([]table.Operation{operation}, false)
		},
	}
	command.Flags().BoolVar(&undo, "undo", false, "send new work to the backend server again")
	return command
}
