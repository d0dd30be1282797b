package event

import "time"

// Messages of the lines.
const (
	// RequestDone tells that a request was served.
	RequestDone = "done"
	// RefusedPrefix begins the message for a request that the instance answered itself; its code follows.
	RefusedPrefix = "refused: "
	// CallerDisconnected tells that the caller has left.
	CallerDisconnected = "the caller has left"
	// ResponseAborted tells that an answer broke off after its beginning had been sent.
	ResponseAborted = "broken off"
	// AttemptFailed tells that an attempt at a backend server or along a path failed.
	AttemptFailed = "attempt failed"
	// RequestNotRun tells that a backend server said that it did not run a request.
	RequestNotRun = "the server did not run the request"
	// StreamRerouted tells that a stream goes on without an engine.
	StreamRerouted = "moved past a silent engine"
	// StreamNotRerouted tells that a stream could not go on without an engine.
	StreamNotRerouted = "not moved past a silent engine"
	// EngineSlowness tells how fast an engine says that it is.
	EngineSlowness = "speed of an engine"
	// EngineNoAnswer tells that an engine did not answer a question.
	EngineNoAnswer = "the engine does not answer"
	// ServerUpdated tells of a new or changed backend server.
	ServerUpdated = "backend server"
	// ServerRemoved tells that a backend server is gone.
	ServerRemoved = "backend server is gone"
)

// Names of fields.
const (
	request   = "request"
	server    = "server"
	address   = "address"
	path      = "path"
	ran       = "ran"
	after     = "after_ms"
	waited    = "waited_ms"
	slowness  = "slowness"
	status    = "status"
	code      = "code"
	silent    = "silent"
	fault     = "fault"
	sent      = "sent"
	configAge = "config_age_ms"
	first     = "first_ms"
	gap       = "gap_ms"
	events    = "events"
)

// Fields are the fields of a line.
type Fields = map[string]any

// RequestEnd is the end of a request.
type RequestEnd struct {
	// Request is the id of the request.
	Request string
	// Route, Kind and Workspace are empty while they are not known.
	Route, Kind, Workspace string
	// Server is the backend server that the request was sent to last, empty for none.
	Server string
	// Path lists the engines of the last run with their layers, empty for none.
	Path string
	// Elapsed is the time since the request came.
	Elapsed time.Duration
	// Attempts is the number of attempts.
	Attempts int
	// ConfigVersion is the version of the configuration, zero if none is known.
	ConfigVersion uint64
	// ConfigAge is the time since the store confirmed the configuration.
	ConfigAge time.Duration
	// FirstEvent is the time to the first event, MaxGap the longest pause between events.
	FirstEvent, MaxGap time.Duration
	// Events is the number of events that the caller was sent.
	Events int
}

// Fields returns the fields of the line.
func (e RequestEnd) Fields() Fields {
	fields := Fields{request: e.Request, "ms": e.Elapsed.Milliseconds(), sent: e.Attempts, configAge: e.ConfigAge.Milliseconds()}
	if e.ConfigVersion > 0 {
		fields["config"] = e.ConfigVersion
	}
	if e.Route != "" {
		fields["route"], fields["kind"], fields["workspace"] = e.Route, e.Kind, e.Workspace
	}
	if e.Server != "" {
		fields[server] = e.Server
	}
	if e.Events > 0 {
		fields[first], fields[gap], fields[events] = e.FirstEvent.Milliseconds(), e.MaxGap.Milliseconds(), e.Events
	}
	if e.Path != "" {
		fields[path] = e.Path
	}
	return fields
}

// ErrorResponse is why the instance answered a request itself.
type ErrorResponse struct {
	// Status and Code are what the caller is told.
	Status int
	Code   string
	// MayHaveRun tells that a backend server may have run the request.
	MayHaveRun bool
}

// Fields returns the fields of the line.
func (r ErrorResponse) Fields() Fields {
	return Fields{status: r.Status, code: r.Code, ran: r.MayHaveRun}
}

// FailedAttempt is an attempt that failed.
type FailedAttempt struct {
	// Request is the id of the request.
	Request string
	// Server is the backend server that the request was sent to.
	Server string
	// FaultyAddress is the address of the engine to blame, empty for a plain backend server.
	FaultyAddress string
	// Path lists the engines with their layers, empty for a plain backend server.
	Path string
	// MayHaveRun tells that a backend server may have run the request.
	MayHaveRun bool
	// Status is the status of an answer that says that the request did not run, zero for none.
	Status int
	// Elapsed is the time since the request came.
	Elapsed time.Duration
}

// Fields returns the fields of the line.
func (a FailedAttempt) Fields() Fields {
	fields := Fields{request: a.Request, server: a.Server, ran: a.MayHaveRun, after: a.Elapsed.Milliseconds()}
	if a.FaultyAddress != "" {
		fields[fault] = a.FaultyAddress
	}
	if a.Path != "" {
		fields[path] = a.Path
	}
	if a.Status != 0 {
		fields[status] = a.Status
	}
	return fields
}

// Reroute is an attempt to let a stream go on without an engine.
type Reroute struct {
	// Request is the id of the request.
	Request string
	// FirstEngine is the first engine of the path, SilentEngine the one that is left out.
	FirstEngine, SilentEngine string
	// Waited is the time since the last event.
	Waited time.Duration
}

// Fields returns the fields of the line.
func (m Reroute) Fields() Fields {
	return Fields{request: m.Request, "first": m.FirstEngine, silent: m.SilentEngine, waited: m.Waited.Milliseconds()}
}

// EngineProbe is what an instance learns from asking an engine.
type EngineProbe struct {
	// Server and Address name the engine.
	Server, Address string
	// Slowness is how many times the usual time its work takes, zero if it did not answer.
	Slowness float64
	// Request is the request for which it was asked, empty for none.
	Request string
}

// Fields returns the fields of the line.
func (e EngineProbe) Fields() Fields {
	fields := Fields{server: e.Server, address: e.Address}
	if e.Slowness > 0 {
		fields[slowness] = e.Slowness
	}
	if e.Request != "" {
		fields[request] = e.Request
	}
	return fields
}
