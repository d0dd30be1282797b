package command

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/comfreyrail/comfreyrail/rail/edit"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// pollInterval is the time between two requests for the status of the instances.
const pollInterval = 500 * time.Millisecond

// submit sends an edit with the operations and reports its result; with dryRun the instance only checks the edit.
func (s *session) submit(operations []table.Operation, dryRun bool) error {
	newEdit := table.Edit{ID: rand.Text(), Author: s.author, Operations: operations}
	query := url.Values{}
	if dryRun {
		query.Set("dry", "true")
	}
	resp, err := s.client.do(http.MethodPost, "/edits", query, newEdit)
	if err != nil {
		var exitErr *exitError
		if errors.As(err, &exitErr) && exitErr.code == ExitUnknown && !dryRun {
			return exitErrorf(ExitUnknown, "%s; the edit may have been accepted: check with comfreyctl edit %s", exitErr.message, newEdit.ID)
		}
		return err
	}
	return s.reportResult(resp, operations)
}

// reportResult prints the result of an edit and returns the error for a result that is not a success. With --wait it first
// waits until an accepted edit is in force at every instance.
func (s *session) reportResult(resp response, operations []table.Operation) error {
	var result edit.Result
	if json.Unmarshal(resp.body, &result) != nil || result.State == "" {
		return s.client.statusError(resp)
	}
	if result.State == edit.Accepted && s.wait {
		lagging, err := s.waitUntilInForce(result.Generation)
		if err != nil {
			return err
		}
		if err = s.printValue(waitResult{Result: result, Lagging: lagging}, func() { s.printSuccess(result) }); err != nil {
			return err
		}
		if len(lagging) > 0 {
			return exitErrorf(ExitLagging, "generation %d was accepted, but is not in force after %s at: %s; see comfreyctl status",
				result.Generation, s.timeout, strings.Join(lagging, ", "))
		}
		return nil
	}
	if err := s.printValue(result, func() { s.printSuccess(result) }); err != nil {
		return err
	}
	return resultError(result, operations)
}

// waitResult is the result of an accepted edit with the instances that lag after --wait.
type waitResult struct {
	edit.Result
	// Lagging names the instances that do not have the generation in force.
	Lagging []string `json:"lagging"`
}

// printSuccess prints the result of an edit that is accepted or valid, and nothing for any other result; resultError returns
// the error for those.
func (s *session) printSuccess(result edit.Result) {
	switch result.State {
	case edit.Accepted:
		s.printf("edit %s is accepted at generation %d\n", result.ID, result.Generation)
	case edit.Valid:
		s.printf("the edit is valid; nothing was changed\n")
	default:
	}
}

// resultError returns the error for the result of an edit, nil if the edit is accepted or valid.
func resultError(result edit.Result, operations []table.Operation) error {
	switch result.State {
	case edit.Accepted, edit.Valid:
		return nil
	case edit.Conflict:
		return exitErrorf(ExitConflict, "conflict, nothing was changed:\n%snext: read the rows again, then repeat your edit", formatConflicts(result.Rows))
	case edit.Refused:
		lines := ""
		for _, problem := range result.Problems {
			lines += "  " + problem.String() + "\n"
		}
		return exitErrorf(ExitRefused, "refused, nothing was changed:\n%snext: correct these and repeat the edit", lines)
	case edit.NotAccepted:
		return exitErrorf(ExitNotAccepted, "edit %s is not accepted and never will be: %s", result.ID, result.Message)
	case edit.Absent:
		return exitErrorf(ExitAbsent, "edit %s is not among the newest accepted edits; a write may still be under way.\nnext: comfreyctl edit %s --withdraw makes sure that it never takes effect", result.ID, result.ID)
	default:
	}
	return exitErrorf(ExitUnknown, "edit %s with %d operations may have been accepted: %s\nnext: comfreyctl edit %s", result.ID, len(operations), result.Message, result.ID)
}

// formatConflicts returns, for each row, its content in force and its content in the edit.
func formatConflicts(rows []table.RowConflict) string {
	var text strings.Builder
	for _, conflict := range rows {
		_, _ = fmt.Fprintf(&text, "  %s: you read version %d, the row now has version %d\n    theirs: %s\n    yours:  %s\n",
			conflict.Row, conflict.Expected, conflict.Found, formatContent(conflict.Theirs), formatContent(conflict.Yours))
	}
	return text.String()
}

// formatContent returns the content of a row as JSON on one line.
func formatContent(content table.Content) string {
	var value any
	switch {
	case content.Route != nil:
		value = content.Route
	case content.Pool != nil:
		value = content.Pool
	case content.Server != nil:
		value = content.Server
	default:
		return "(no such row)"
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(encoded)
}

// statusResponse is the response of GET /status: the status of the instance that responds and the list of all instances.
type statusResponse struct {
	Instance   string `json:"instance"`
	Generation uint64 `json:"generation"`
	// ConfigUnreadyReason is the reason why the configuration keeps the instance from being ready, or empty if it does not.
	// It may also be empty while the instance is not ready because it is stopping, superseded or has not yet probed its servers.
	ConfigUnreadyReason string          `json:"obstacle,omitempty"`
	Members             []member.Member `json:"members"`
}

// lagging returns the names of the instances that do not have the generation in force.
func (s statusResponse) lagging(generation uint64) []string {
	names := make([]string, 0)
	if len(s.Members) == 0 && s.Generation < generation {
		names = append(names, "the instance asked")
	}
	for _, instance := range s.Members {
		switch {
		case instance.Generation == 0:
			names = append(names, instance.Name+" (no answer)")
		case instance.Generation < generation:
			names = append(names, fmt.Sprintf("%s (generation %d)", instance.Name, instance.Generation))
		}
	}
	return names
}

// waitUntilInForce polls the status until all instances have the generation in force or the timeout expires, and returns the
// names of those that lag.
func (s *session) waitUntilInForce(generation uint64) (lagging []string, err error) {
	deadline := time.Now().Add(s.timeout)
	for {
		var status statusResponse
		if err = s.client.get("/status", nil, &status); err != nil {
			return nil, exitErrorf(ExitLagging, "generation %d was accepted, but the status of the instances cannot be read: %v", generation, err)
		}
		lagging = status.lagging(generation)
		if len(lagging) == 0 || time.Now().After(deadline) {
			return lagging, nil
		}
		time.Sleep(pollInterval)
	}
}

// editCommand returns the command that shows the state of an edit or withdraws it.
func (s *session) editCommand() *cobra.Command {
	var withdraw bool
	command := &cobra.Command{
		Use:   "edit ID",
		Short: "Show the state of an edit, or make sure that it is never accepted",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, ids []string) error {
			method, path, query := http.MethodGet, "/edits/"+ids[0], url.Values{}
			if withdraw {
				method, path = http.MethodPost, path+"/withdraw"
				query.Set("author", s.author)
			}
			resp, err := s.client.do(method, path, query, nil)
			if err != nil {
				return err
			}
			return s.reportResult(resp, nil)
		},
	}
	command.Flags().BoolVar(&withdraw, "withdraw", false, "make sure that the edit is never accepted, unless it already was")
	return command
}
