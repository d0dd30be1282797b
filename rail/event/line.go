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
	// Fault is the address of the engine to blame.
	Fault string `json:"fault"`
	// Silent is the engine that a stream goes on without.
	Silent string `json:"silent"`
	// Slowness is how many times the usual time an engine's work takes.
	Slowness float64 `json:"slowness"`
	// Status and Code are what a caller was told.
	Status int    `json:"status"`
	Code   string `json:"code"`
	// Path lists engines with their layers.
	Path string `json:"path"`
	// Sent is the number of attempts.
	Sent int `json:"sent"`
	// Ran tells that a backend server may have run the request.
	Ran bool `json:"ran"`
	// Age is the age of the configuration in milliseconds.
	Age int64 `json:"config_age_ms"`
	// First, Gap, After and Waited are times in milliseconds.
	First  int64 `json:"first_ms"`
	Gap    int64 `json:"gap_ms"`
	After  int64 `json:"after_ms"`
	Waited int64 `json:"waited_ms"`
	// Events is the number of events that a caller was sent.
	Events int `json:"events"`
}

// ErrNoLine means that a text holds no line of an instance's log.
const ErrNoLine = errors.ConstError("not a log line")

// Parse reads a line; whatever stands before its JSON is passed over.
func Parse(text string) (line Line, err error) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return line, ErrNoLine
	}
	if err = json.Unmarshal([]byte(text[start:]), &line); err != nil {
		return Line{}, errors.WithType(err, ErrNoLine)
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
