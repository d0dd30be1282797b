package event

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Line is a line of an instance's log as it is read; fields that it lacks are zero.
type Line struct {
	// Time is when it was written.
	Time time.Time `json:"time"`
	// Instance wrote it.
	Instance string `json:"instance"`
	// Message says what happened.
	Message string `json:"msg"`
	// Error is what failed.
	Error string `json:"error"`
	// Request is the id of a request.
	Request string `json:"request"`
	// Server is a backend server, Address where it is reached.
	Server  string `json:"server"`
	Address string `json:"address"`
	// FaultyAddress is the address of the engine to blame.
	FaultyAddress string `json:"fault"`
	// SilentEngine is the engine that a stream goes on without.
	SilentEngine string `json:"silent"`
	// Slowness is how many times the usual time an engine's work takes.
	Slowness float64 `json:"slowness"`
	// Status and Code are what a caller was told.
	Status int    `json:"status"`
	Code   string `json:"code"`
	// Path lists engines with their layers.
	Path string `json:"path"`
	// Attempts is the number of attempts.
	Attempts int `json:"sent"`
	// MayHaveRun tells that a backend server may have run the request.
	MayHaveRun bool `json:"ran"`
	// ConfigAge is the age of the configuration in milliseconds.
	ConfigAge int64 `json:"config_age_ms"`
	// FirstEvent, MaxGap, Elapsed and Waited are times in milliseconds.
	FirstEvent int64 `json:"first_ms"`
	MaxGap     int64 `json:"gap_ms"`
	Elapsed    int64 `json:"after_ms"`
	Waited     int64 `json:"waited_ms"`
	// Events is the number of events that a caller was sent.
	Events int `json:"events"`
}

// ErrNotLogLine means that a text holds no line of an instance's log.
const ErrNotLogLine = errors.ConstError("not a log line")

// ParseLine reads a line; whatever stands before its JSON is passed over.
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

// Engines returns the servers of the line's path in order.
func (l Line) Engines() (servers []string) {
	for _, stage := range strings.Fields(l.Path) {
		server, _, _ := strings.Cut(stage, "=")
		servers = append(servers, server)
	}
	return servers
}
