package command

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/comfreyrail/comfreyrail/rail/event"
)

// maxLineBytes is the maximum length of a log line; reading fails at a longer one.
const maxLineBytes = 1 << 20

// requestLog holds the log lines that concern a request.
type requestLog struct {
	lines       []event.Line // lines with the id of the request
	engineLines []event.Line // lines about any engine that was slow, did not respond or was removed
}

// explainCommand returns the command that explains the outcome of a request from logs.
func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Show the events of a request and the likeliest cause of its outcome from the logs of the instances",
		Long:  "Reads logs from the files, or from standard input if there are none, and prints the lines of the request in order of time.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) (err error) {
			defer errors.DeferredAnnotatef(&err, "explain %q", args[0])
			log, err := readLogs(command.InOrStdin(), args[1:], args[0])
			if err != nil {
				return err
			}
			return log.explain(command.OutOrStdout())
		},
	}
}

// readLogs reads the lines that concern the request with the id from the files, or from input if there are no files.
func readLogs(input io.Reader, files []string, id string) (log *requestLog, err error) {
	log = &requestLog{}
	if len(files) == 0 {
		return log, log.scan(input, id)
	}
	for _, name := range files {
		if err = log.scanFile(name, id); err != nil {
			return nil, err
		}
	}
	return log, nil
}

// scanFile calls scan with the content of the file.
func (l *requestLog) scanFile(name, id string) (err error) {
	defer errors.DeferredAnnotatef(&err, "read %s", name)
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return l.scan(file, id)
}

// scan adds the lines of the request and those about engine problems, and ignores any other text.
func (l *requestLog) scan(input io.Reader, id string) (err error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, err := event.ParseLine(scanner.Text())
		switch {
		case err != nil:
			continue
		case line.Request == id:
			l.lines = append(l.lines, line)
		case line.Message == event.EngineSlowness && line.Slowness >= minSlowness, line.Message == event.EngineNoResponse, line.Message == event.ServerRemoved:
			l.engineLines = append(l.engineLines, line)
		}
	}
	return scanner.Err()
}

// Limits for reporting problems of engines.
const (
	// minSlowness is the slowness from which an engine is reported, as a multiple of the usual time.
	minSlowness = 1.5
	// engineWindow is how long before the first or after the last line of a request a problem of an engine is still reported.
	engineWindow = 2 * time.Second
)

// explain writes the lines in order of time, then the problems of the engines in them, and then the likeliest cause.
func (l *requestLog) explain(out io.Writer) (err error) {
	sort.SliceStable(l.lines, func(i, j int) bool { return l.lines[i].Time.Before(l.lines[j].Time) })
	for _, line := range l.lines {
		if _, err = fmt.Fprintln(out, formatLine(line)); err != nil {
			return err
		}
	}
	for _, problem := range l.engineProblems() {
		if _, err = fmt.Fprintln(out, problem); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(out, "likeliest cause: "+likeliestCause(l.lines))
	return err
}

// engineProblems describes the problems, within engineWindow of the request, of the engines that its lines name.
func (l *requestLog) engineProblems() (texts []string) {
	if len(l.lines) == 0 {
		return nil
	}
	involved := make(map[string]bool)
	for _, line := range l.lines {
		for _, server := range append(line.Engines(), line.Server, line.SilentEngine) {
			involved[server] = true
		}
	}
	from, to := l.lines[0].Time.Add(-engineWindow), l.lines[len(l.lines)-1].Time.Add(engineWindow)
	seen := make(map[string]bool)
	for _, line := range l.engineLines {
		if !involved[line.Server] || line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		text := "engine " + line.Server + ": " + formatProblem(line)
		if !seen[text] {
			seen[text] = true
			texts = append(texts, text)
		}
	}
	return texts
}

// formatProblem describes the problem in a line about an engine.
func formatProblem(line event.Line) string {
	switch line.Message {
	case event.EngineSlowness:
		return fmt.Sprintf("reported that its work took %.1f times the usual time: slow, not dead", line.Slowness)
	case event.ServerRemoved:
		return "was removed from the list of backend servers"
	default:
		return "did not respond"
	}
}

// formatLine returns the line as text, without empty fields.
func formatLine(l event.Line) string {
	text := []string{l.Time.Format(time.RFC3339Nano), l.Instance, l.Message}
	fields := []struct {
		name, value string
	}{
		{"server", l.Server}, {"fault", l.FaultyAddress}, {"silent", l.SilentEngine}, {"error", l.Error}, {"path", l.Chain},
	}
	for _, field := range fields {
		if field.value != "" {
			text = append(text, field.name+"="+field.value)
		}
	}
	if l.Events > 0 {
		text = append(text, fmt.Sprintf("first event after %d ms, longest gap %d ms, %d events", l.FirstEvent, l.MaxGap, l.Events))
	}
	if l.Elapsed > 0 {
		text = append(text, fmt.Sprintf("%d ms after the arrival of the request", l.Elapsed))
	}
	if l.Waited > 0 {
		text = append(text, fmt.Sprintf("%d ms after the last event", l.Waited))
	}
	return strings.Join(text, "  ")
}

// causesByCode describes the codes of error responses.
var causesByCode = []struct{ code, text string }{
	{"no-configuration", "the instance had not read any configuration yet"},
	{"configuration-unconfirmed", "the store had not confirmed the configuration for too long to serve requests with keys"},
	{"no-route", "no route of the configuration in force matches the host and the path"},
	{"unknown-key", "the key is in no workspace of the configuration in force: it was never issued, or it was revoked"},
	{"no-room", "no chain of engines that covers every layer had enough capacity for the request"},
	{"servers-waiting", "every backend server that could run it had answered 503 with a Retry-After, for a time that was not over; wait_ms is what was left of it"},
	{"quarantined", "engines have crashed under a part of the prompt, which the field part of the line names"},
	{"no-server", "no backend server sent a complete response, or none was left to try"},
	{"stream-failed", "every chain of engines that the route allows failed"},
	{"timeout", "the timeout of the route or of the caller expired"},
	{"stopping", "the instance was stopping and could not have finished the request"},
	{"body-too-large", "the body is larger than the configuration allows"},
}

// likeliestCause returns the likeliest cause of the outcome of a request from its lines in order of time.
func likeliestCause(lines []event.Line) string {
	if len(lines) == 0 {
		return "no line names the request: it reached no instance whose log was given, or its lines were dropped under load"
	}
	last := lines[len(lines)-1]
	text := "the request is not finished in these logs"
	switch {
	case last.Message == event.RequestDone:
		text = "none: the request was served"
	case last.Message == event.CallerDisconnected:
		text = "the caller disconnected before the answer was complete"
	case last.Message == event.ResponseAborted:
		text = "the answer was aborted after part of it had been sent: " + last.Error
	case last.Code != "":
		text = describeErrorCode(last)
	}
	for i := len(lines) - 1; i >= 0; i-- {
		if line := lines[i]; line.Message == event.AttemptFailed {
			return text + "; the last attempt failed at " + failedServer(line) + ": " + line.Error
		}
	}
	return text
}

// failedServer returns the address of the engine to which a failed attempt is attributed, or the id of its backend server.
func failedServer(l event.Line) string {
	if l.FaultyAddress != "" {
		return l.FaultyAddress
	}
	return l.Server
}

// describeErrorCode describes the code of an error response and whether a backend server may have run the request.
func describeErrorCode(line event.Line) string {
	text := "refused with " + line.Code
	for _, cause := range causesByCode {
		if cause.code == line.Code {
			text = cause.text
		}
	}
	if line.MayHaveRun {
		return text + "; a backend server may have run it"
	}
	return text + "; no backend server ran it"
}
