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

// statusInterval is the time between two looks at the instances.
const statusInterval = 500 * time.Millisecond

// submit sends an edit and tells what became of it; dry only has it checked.
func (s *session) submit(operations []table.Operation, dry bool) error {
	change := table.Edit{ID: rand.Text(), Author: s.author, Operations: operations}
	query := url.Values{}
	if dry {
		query.Set("dry", "true")
	}
	received, err := s.client.call(http.MethodPost, "/edits", query, change)
	if err != nil {
		var known *failure
		if errors.As(err, &known) && known.code == ExitUnknown && !dry {
			return failf(ExitUnknown, "%s; the edit may have been accepted: ask with comfreyctl edit %s", known.message, change.ID)
		}
		return err
	}
	return s.conclude(received, operations)
}

// conclude reads what became of an edit, shows it, and waits for the instances if asked to.
func (s *session) conclude(received answer, operations []table.Operation) error {
	var result edit.Result
	if json.Unmarshal(received.body, &result) != nil || result.State == "" {
		return s.client.refused(received)
	}
	if result.State == edit.Accepted && s.wait {
		lagging, err := s.await(result.Generation)
		if err != nil {
			return err
		}
		if err = s.show(waited{Result: result, Lagging: lagging}, func() { s.printAccepted(result) }); err != nil {
			return err
		}
		if len(lagging) > 0 {
			return failf(ExitLagging, "generation %d was accepted, but is not in force after %s at: %s; see comfreyctl status",
				result.Generation, s.timeout, strings.Join(lagging, ", "))
		}
		return nil
	}
	if err := s.show(result, func() { s.printAccepted(result) }); err != nil {
		return err
	}
	return outcome(result, operations)
}

// waited is the result of an edit with the instances that lag.
type waited struct {
	edit.Result
	// Lagging names the instances that do not have the generation in force.
	Lagging []string `json:"lagging"`
}

func (s *session) printAccepted(result edit.Result) {
	switch result.State {
	case edit.Accepted:
		s.printf("edit %s is accepted at generation %d\n", result.ID, result.Generation)
	case edit.Valid:
		s.printf("the edit is valid; nothing was changed\n")
	default:
	}
}

// outcome returns the error that tells about an edit which was not accepted.
func outcome(result edit.Result, operations []table.Operation) error {
	switch result.State {
	case edit.Accepted, edit.Valid:
		return nil
	case edit.Conflict:
		return failf(ExitConflict, "conflict, nothing was changed:\n%snext: read the rows again, then repeat your edit", conflictText(result.Rows))
	case edit.Refused:
		lines := ""
		for _, problem := range result.Problems {
			lines += "  " + problem.String() + "\n"
		}
		return failf(ExitRefused, "refused, nothing was changed:\n%snext: correct these and repeat the edit", lines)
	case edit.NotAccepted:
		return failf(ExitNotAccepted, "edit %s is not accepted and never will be: %s", result.ID, result.Message)
	case edit.Absent:
		return failf(ExitAbsent, "edit %s is not among the newest accepted edits; a write may still be under way.\nnext: comfreyctl edit %s --withdraw makes sure that it never takes effect", result.ID, result.ID)
	default:
	}
	return failf(ExitUnknown, "edit %s with %d operations may have been accepted: %s\nnext: comfreyctl edit %s", result.ID, len(operations), result.Message, result.ID)
}

// conflictText shows for each row what others wrote and what the operator wanted.
func conflictText(rows []table.RowConflict) string {
	var text strings.Builder
	for _, clash := range rows {
		_, _ = fmt.Fprintf(&text, "  %s: you read version %d, it is at %d now\n    theirs: %s\n    yours:  %s\n",
			clash.Row, clash.Expected, clash.Found, contentText(clash.Theirs), contentText(clash.Yours))
	}
	return text.String()
}

// contentText returns the content of a row on one line.
func contentText(content table.Content) string {
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

// status is the state of the fleet.
type status struct {
	Instance   string          `json:"instance"`
	Generation uint64          `json:"generation"`
	Obstacle   string          `json:"obstacle,omitempty"`
	Members    []member.Member `json:"members"`
}

// lagging returns the names of the instances that do not have the generation in force.
func (s status) lagging(generation uint64) []string {
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

// await looks at the instances until all have the generation in force or the time is over.
func (s *session) await(generation uint64) (lagging []string, err error) {
	deadline := time.Now().Add(s.timeout)
	for {
		var fleet status
		if err = s.client.get("/status", nil, &fleet); err != nil {
			return nil, failf(ExitLagging, "generation %d was accepted, but the instances cannot be asked: %v", generation, err)
		}
		lagging = fleet.lagging(generation)
		if len(lagging) == 0 || time.Now().After(deadline) {
			return lagging, nil
		}
		time.Sleep(statusInterval)
	}
}

// editCommand tells what became of an edit.
func (s *session) editCommand() *cobra.Command {
	var withdraw bool
	command := &cobra.Command{
		Use:   "edit ID",
		Short: "Tell what became of an edit, or make sure that it is never accepted",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, ids []string) error {
			method, path, query := http.MethodGet, "/edits/"+ids[0], url.Values{}
			if withdraw {
				method, path = http.MethodPost, path+"/withdraw"
				query.Set("author", s.author)
			}
			received, err := s.client.call(method, path, query, nil)
			if err != nil {
				return err
			}
			return s.conclude(received, nil)
		},
	}
	command.Flags().BoolVar(&withdraw, "withdraw", false, "make sure that the edit is never accepted, unless it already was")
	return command
}
