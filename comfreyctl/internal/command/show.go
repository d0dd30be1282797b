package command

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/comfreyrail/comfreyrail/rail/table"
)

// printValue calls printText for text output, and writes the value as indented JSON otherwise.
func (s *session) printValue(value any, printText func()) error {
	if s.output == string(formatText) {
		printText()
		return nil
	}
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (s *session) printf(format string, args ...any) { _, _ = fmt.Fprintf(s.stdout, format, args...) }

// columnWidth is the minimum width of a table column in characters.
const columnWidth = 14

// printRow writes one row of a text table.
func (s *session) printRow(cells ...string) {
	for i, cell := range cells {
		cells[i] = fmt.Sprintf("%-*s", columnWidth, cell)
	}
	s.printf("%s\n", strings.TrimRight(strings.Join(cells, " "), " "))
}

// printOperations writes one line for each operation, with the content of a Put.
func (s *session) printOperations(operations []table.Operation) {
	for _, operation := range operations {
		rowVersion := "new"
		if operation.Version > 0 {
			rowVersion = fmt.Sprintf("version %d", operation.Version)
		}
		s.printf("%s (%s)", operation, rowVersion)
		if operation.Action == table.Put {
			s.printf(" %s", formatContent(operation.Content))
		}
		s.printf("\n")
	}
}

func (s *session) historyCommand() *cobra.Command {
	var limit int
	command := &cobra.Command{
		Use: "history", Short: "Show the newest edits: generation, time, operator, rows", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var entries []table.HistoryEntry
			if err := s.client.get("/history", url.Values{"limit": {strconv.Itoa(limit)}}, &entries); err != nil {
				return err
			}
			return s.printValue(entries, func() {
				for _, entry := range entries {
					s.printHistoryEntry(entry)
				}
			})
		},
	}
	command.Flags().IntVar(&limit, "limit", 20, "number of edits")
	return command
}

func (s *session) printHistoryEntry(entry table.HistoryEntry) {
	generation := strconv.FormatUint(entry.Generation, 10)
	// A generation of zero marks the withdrawal of an edit.
	if entry.Generation == 0 {
		generation = "withdrawn"
	}
	recordedAt := time.UnixMilli(entry.RecordedAt).UTC().Format(time.RFC3339)
	s.printf("%-9s  %s  %-12s  %s  %s\n", generation, recordedAt, entry.Author, entry.ID, entry.Summary)
}

func (s *session) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show which generation is in force at each instance", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var status statusResponse
			if err := s.client.get("/status", nil, &status); err != nil {
				return err
			}
			return s.printValue(status, func() {
				s.printf("generation %d is in force at the instance that responded\n", status.Generation)
				if status.ConfigUnreadyReason != "" {
					s.printf("it is not ready: %s\n", status.ConfigUnreadyReason)
				}
				s.printRow("INSTANCE", "ZONE", "GENERATION", "STATE")
				for _, instance := range status.Members {
					state := "in force"
					if instance.Generation == 0 {
						state = "no answer"
					} else if instance.Generation < status.Generation {
						state = "lagging"
					}
					s.printRow(instance.Name, instance.Zone, strconv.FormatUint(instance.Generation, 10), state)
				}
			})
		},
	}
}

func (s *session) dumpCommand() *cobra.Command {
	return &cobra.Command{
		Use: "dump", Short: "Show the whole state of the instance, without secrets", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var state json.RawMessage
			if err := s.client.get("/dump", nil, &state); err != nil {
				return err
			}
			_, err := fmt.Fprintf(s.stdout, "%s\n", state)
			return err
		},
	}
}
