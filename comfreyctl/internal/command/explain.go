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

// maxLine is the greatest length of a log line in bytes.
const maxLine = 1 << 20

// story is what the logs tell of a request.
type story struct {
	lines   []event.Line // of the request
	engines []event.Line // of engines that were slow, did not answer or went, whatever request they served
}

// explainCommand returns the command that tells a request's story from logs.
func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Tell the story and the likeliest cause of a request from the logs of the instances",
		Long:  "Reads logs from the files, or from standard input without any, and prints the lines of the request in order of time.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) (err error) {
			defer errors.DeferredAnnotatef(&err, "explain %q", args[0])
			told, err := readLogs(command.InOrStdin(), args[1:], args[0])
			if err != nil {
				return err
			}
			return told.explain(command.OutOrStdout())
		},
	}
}

// readLogs reads what the files tell of a request, or the input without any.
func readLogs(input io.Reader, files []string, id string) (told *story, err error) {
	told = &story{}
	if len(files) == 0 {
		return told, told.scan(input, id)
	}
	for _, name := range files {
		if err = told.scanFile(name, id); err != nil {
			return nil, err
		}
	}
	return told, nil
}

func (s *story) scanFile(name, id string) (err error) {
	defer errors.DeferredAnnotatef(&err, "read %s", name)
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return s.scan(file, id)
}

// scan takes the lines of a request and of engines in trouble; other texts are passed over.
func (s *story) scan(input io.Reader, id string) (err error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, err := event.ParseLine(scanner.Text())
		switch {
		case err != nil:
			continue
		case line.Request == id:
			s.lines = append(s.lines, line)
		case line.Message == event.EngineSlowness && line.Slowness >= slowFrom, line.Message == event.EngineNoAnswer, line.Message == event.ServerRemoved:
			s.engines = append(s.engines, line)
		}
	}
	return scanner.Err()
}

// Bounds of what is told of engines.
const (
	// slowFrom is the slowness from which an engine is worth telling of.
	slowFrom = 1.5
	// engineTime is how long before or after a request's lines an engine's trouble is told.
	engineTime = 2 * time.Second
)

// explain prints the lines in order of time, what was wrong with the engines that they name, and the likeliest cause.
func (s *story) explain(out io.Writer) (err error) {
	sort.SliceStable(s.lines, func(i, j int) bool { return s.lines[i].Time.Before(s.lines[j].Time) })
	for _, line := range s.lines {
		if _, err = fmt.Fprintln(out, describe(line)); err != nil {
			return err
		}
	}
	for _, trouble := range s.troubles() {
		if _, err = fmt.Fprintln(out, trouble); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(out, "likeliest cause: "+cause(s.lines))
	return err
}

// troubles tells what was wrong, while the request ran, with engines that its lines name.
func (s *story) troubles() (texts []string) {
	if len(s.lines) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, line := range s.lines {
		for _, server := range append(line.Engines(), line.Server, line.SilentEngine) {
			named[server] = true
		}
	}
	from, to := s.lines[0].Time.Add(-engineTime), s.lines[len(s.lines)-1].Time.Add(engineTime)
	told := make(map[string]bool)
	for _, line := range s.engines {
		if !named[line.Server] || line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		text := "engine " + line.Server + ": " + trouble(line)
		if !told[text] {
			told[text] = true
			texts = append(texts, text)
		}
	}
	return texts
}

func trouble(line event.Line) string {
	switch line.Message {
	case event.EngineSlowness:
		return fmt.Sprintf("said that its work took %.1f times the usual time: slow, not dead", line.Slowness)
	case event.ServerRemoved:
		return "went from the list of backend servers"
	default:
		return "did not answer"
	}
}

// describe returns a line for a reader.
func describe(l event.Line) string {
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
		text = append(text, fmt.Sprintf("first event after %d ms, longest pause %d ms, %d events", l.FirstEvent, l.MaxGap, l.Events))
	}
	if l.Elapsed > 0 {
		text = append(text, fmt.Sprintf("after %d ms", l.Elapsed))
	}
	if l.Waited > 0 {
		text = append(text, fmt.Sprintf("%d ms after the last event", l.Waited))
	}
	return strings.Join(text, "  ")
}

// causes says what a refusal's code means.
var causes = []struct{ code, text string }{
	{"no-configuration", "the instance had not read a configuration yet"},
	{"configuration-unconfirmed", "the instance had not heard from the store for too long to serve requests with keys"},
	{"no-route", "no route of the configuration in force matches the host and the path"},
	{"unknown-key", "the key is in no workspace of the configuration in force: never given out, or taken away"},
	{"no-room", "no path of engines had room for the request and covered every layer"},
	{"no-server", "no backend server gave a whole answer, or none was left to ask"},
	{"stream-failed", "every path that the route allows failed"},
	{"timeout", "the time of the route or of the caller was up"},
	{"stopping", "the instance was stopping and could not have finished the request"},
	{"body-too-large", "the body is larger than the configuration allows"},
}

// cause returns the likeliest cause of how a request ended.
func cause(lines []event.Line) string {
	if len(lines) == 0 {
		return "no line names the request: it reached no instance whose log was given, or its lines were left out under load"
	}
	last := lines[len(lines)-1]
	text := "the request is not finished in these logs"
	switch {
	case last.Message == event.RequestDone:
		text = "none: the request was served"
	case last.Message == event.CallerDisconnected:
		text = "the caller left before the answer was whole"
	case last.Message == event.ResponseAborted:
		text = "the answer broke off after its beginning had been sent: " + last.Error
	case last.Code != "":
		text = refusalCause(last)
	}
	for i := len(lines) - 1; i >= 0; i-- {
		if line := lines[i]; line.Message == event.AttemptFailed {
			return text + "; the last attempt failed at " + blamed(line) + ": " + line.Error
		}
	}
	return text
}

// blamed returns the server that an attempt failed at.
func blamed(l event.Line) string {
	if l.FaultyAddress != "" {
		return l.FaultyAddress
	}
	return l.Server
}

func refusalCause(line event.Line) string {
	text := "refused with " + line.Code
	for _, known := range causes {
		if known.code == line.Code {
			text = known.text
		}
	}
	if line.MayHaveRun {
		return text + "; a backend server may have run it"
	}
	return text + "; no backend server ran it"
}
