package command

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// maxLine is the greatest length of a log line in bytes.
const maxLine = 1 << 20

// logLine is a line of an instance's log with the fields that an explanation needs.
type logLine struct {
	Time     string `json:"time"`
	Instance string `json:"instance"`
	Message  string `json:"msg"`
	Error    string `json:"error"`
	Request  string `json:"request"`
	Server   string `json:"server"`
	Fault    string `json:"fault"`
	Silent   string `json:"silent"`
	Code     string `json:"code"`
	Path     string `json:"path"`
	Status   int    `json:"status"`
	Sent     int    `json:"sent"`
	Ran      bool   `json:"ran"`
	Age      int64  `json:"config_age_ms"`
	First    int64  `json:"first_ms"`
	Gap      int64  `json:"gap_ms"`
	After    int64  `json:"after_ms"`
	Events   int    `json:"events"`

	raw string
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
			lines, err := readLines(command.InOrStdin(), args[1:], args[0])
			if err != nil {
				return err
			}
			return explain(command.OutOrStdout(), lines)
		},
	}
}

// readLines returns the lines of a request from the files, or from the input without any.
func readLines(input io.Reader, files []string, id string) (lines []logLine, err error) {
	if len(files) == 0 {
		return scanLines(input, id)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		found, err := scanLines(file, id)
		_ = file.Close()
		if err != nil {
			return nil, errors.Annotatef(err, "read %s", name)
		}
		lines = append(lines, found...)
	}
	return lines, nil
}

// scanLines returns the lines of a request; whatever stands before the JSON of a line is passed over.
func scanLines(input io.Reader, id string) (lines []logLine, err error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		line := logLine{raw: text[start:]}
		if err := json.Unmarshal([]byte(line.raw), &line); err != nil || line.Request != id {
			continue
		}
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// explain prints the lines in order of time, and the likeliest cause.
func explain(out io.Writer, lines []logLine) error {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line.story()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(out, "likeliest cause: "+cause(lines))
	return err
}

// story returns the line for a reader.
func (l logLine) story() string {
	text := []string{l.Time, l.Instance, l.Message}
	fields := []struct {
		name, value string
	}{
		{"server", l.Server}, {"fault", l.Fault}, {"silent", l.Silent}, {"error", l.Error}, {"path", l.Path},
	}
	for _, field := range fields {
		if field.value != "" {
			text = append(text, field.name+"="+field.value)
		}
	}
	if l.Events > 0 {
		text = append(text, fmt.Sprintf("first event after %d ms, longest pause %d ms, %d events", l.First, l.Gap, l.Events))
	}
	if l.After > 0 {
		text = append(text, fmt.Sprintf("after %d ms", l.After))
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
func cause(lines []logLine) string {
	if len(lines) == 0 {
		return "no line names the request: it reached no instance whose log was given, or its lines were left out under load"
	}
	last := lines[len(lines)-1]
	text := "the request is not finished in these logs"
	switch {
	case last.Message == "done":
		text = "none: the request was served"
	case last.Message == "the caller has left":
		text = "the caller left before the answer was whole"
	case last.Message == "broken off":
		text = "the answer broke off after its beginning had been sent: " + last.Error
	case last.Code != "":
		text = refusalCause(last)
	}
	for i := len(lines) - 1; i >= 0; i-- {
		if line := lines[i]; line.Message == "attempt failed" {
			return text + "; the last attempt failed at " + line.blamed() + ": " + line.Error
		}
	}
	return text
}

// blamed returns the server that an attempt failed at.
func (l logLine) blamed() string {
	if l.Fault != "" {
		return l.Fault
	}
	return l.Server
}

func refusalCause(line logLine) string {
	text := "refused with " + line.Code
	for _, known := range causes {
		if known.code == line.Code {
			text = known.text
		}
	}
	if line.Ran {
		return text + "; a backend server may have run it"
	}
	return text + "; no backend server ran it"
}
