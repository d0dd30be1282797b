package event

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Line is a parsed line of an instance's log; fields that the line does not have are zero.
type Line struct {
	// Time is the time at which the line was written.
	Time time.Time `json:"time"`
	// Instance is the name of the instance that wrote the line.
	Instance string `json:"instance"`
	// Message is one of the messages of this package or another text.
	Message string `json:"msg"`
	// Error is the text of the error that the line reports.
	Error string `json:"error"`
	// Request is the ID of a request.
	Request string `json:"request"`
	// Server is the ID of a backend server, Address its host and port.
	Server  string `json:"server"`
	Address string `json:"address"`
	// FaultyAddress is the address of the engine to which a failure is attributed.
	FaultyAddress string `json:"fault"`
	// SilentEngine is the ID of the engine that stopped responding and that a stream continues without.
	SilentEngine string `json:"silent"`
	// Slowness is the ratio of the time that an engine's work takes to the usual time.
	Slowness float64 `json:"slowness"`
	// Status is an HTTP status code and Code the reason that was sent to a caller.
	Status int    `json:"status"`
	Code   string `json:"code"`
	// Chain lists engines with their layers as in RequestEnd.
	Chain string `json:"path"`
	// Attempts is the number of times that a request was sent to a backend server.
	Attempts int `json:"sent"`
	// MayHaveRun reports whether a backend server may have run the request.
	MayHaveRun bool `json:"ran"`
	// ConfigAge is the age of the configuration in milliseconds.
	ConfigAge int64 `json:"config_age_ms"`
	// FirstEvent, MaxGap, Elapsed and Waited are times in milliseconds.
	FirstEvent int64 `json:"first_ms"`
	MaxGap     int64 `json:"gap_ms"`
	Elapsed    int64 `json:"after_ms"`
	Waited     int64 `json:"waited_ms"`
	// Events is the number of events of a streamed response that were sent to the caller.
	Events int `json:"events"`
}

// ErrNotLogLine is the error that ParseLine returns for a text that is not a line of an instance's log.
const ErrNotLogLine = errors.ConstError("not a log line")

// ParseLine parses a log line and ignores any text before its JSON object.
//
// It returns ErrNotLogLine, or an error of that type, if the text holds no JSON object that fits Line.
func ParseLine(text string) (line Line, err error) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return line, ErrNotLogLine
	}
	if err = json.Unmarshal([]byte(text[start:]), &line); err != nil {
		return Line{}, errors.WithType(err, ErrNotLogLine)
	}
	return line, nil
}

// Engines returns the IDs of the engines in Chain, in order.
func (l Line) Engines() (servers []string) {
	for _, stage := range strings.Fields(l.Chain) {
		server, _, _ := strings.Cut(stage, "=")
		servers = append(servers, server)
	}
	return servers
}
