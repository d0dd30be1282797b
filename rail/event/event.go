package event

import "time"

// Messages of the lines.
const (
	// Done tells that a request was served.
	Done = "done"
	// Refused begins the message for a request that the instance answered itself; its code follows.
	Refused = "refused: "
	// Left tells that the caller has left.
	Left = "the caller has left"
	// Broken tells that an answer broke off after its beginning had been sent.
	Broken = "broken off"
	// Failed tells that an attempt at a backend server or along a path failed.
	Failed = "attempt failed"
	// Declined tells that a backend server said that it did not run a request.
	Declined = "the server did not run the request"
	// Moved tells that a stream goes on without an engine.
	Moved = "moved past a silent engine"
	// NotMoved tells that a stream could not go on without an engine.
	NotMoved = "not moved past a silent engine"
	// Speed tells how fast an engine says that it is.
	Speed = "speed of an engine"
	// NoAnswer tells that an engine did not answer a question.
	NoAnswer = "the engine does not answer"
	// Joined tells of a new or changed backend server.
	Joined = "backend server"
	// Gone tells that a backend server is gone.
	Gone = "backend server is gone"
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

// Ended is the end of a request.
type Ended struct {
	// Request is the id of the request.
	Request string
	// Route, Kind and Workspace are empty while they are not known.
	Route, Kind, Workspace string
	// Server is the backend server that the request was sent to last, empty for none.
	Server string
	// Path lists the engines of the last run with their layers, empty for none.
	Path string
	// Took is the time since the request came.
	Took time.Duration
	// Sent is the number of attempts.
	Sent int
	// Version is the version of the configuration, zero if none is known.
	Version uint64
	// Age is the time since the store confirmed the configuration.
	Age time.Duration
	// First is the time to the first event, Gap the longest pause between events.
	First, Gap time.Duration
	// Events is the number of events that the caller was sent.
	Events int
}

// Fields returns the fields of the line.
func (e Ended) Fields() Fields {
	fields := Fields{request: e.Request, "ms": e.Took.Milliseconds(), sent: e.Sent, configAge: e.Age.Milliseconds()}
	if e.Version > 0 {
		fields["config"] = e.Version
	}
	if e.Route != "" {
		fields["route"], fields["kind"], fields["workspace"] = e.Route, e.Kind, e.Workspace
	}
	if e.Server != "" {
		fields[server] = e.Server
	}
	if e.Events > 0 {
		fields[first], fields[gap], fields[events] = e.First.Milliseconds(), e.Gap.Milliseconds(), e.Events
	}
	if e.Path != "" {
		fields[path] = e.Path
	}
	return fields
}

// Refusal is why the instance answered a request itself.
type Refusal struct {
	// Status and Code are what the caller is told.
	Status int
	Code   string
	// Ran tells that a backend server may have run the request.
	Ran bool
}

// Fields returns the fields of the line.
func (r Refusal) Fields() Fields { return Fields{status: r.Status, code: r.Code, ran: r.Ran} }

// Attempt is an attempt that failed.
type Attempt struct {
	// Request is the id of the request.
	Request string
	// Server is the backend server that the request was sent to.
	Server string
	// Fault is the address of the engine to blame, empty for a plain backend server.
	Fault string
	// Path lists the engines with their layers, empty for a plain backend server.
	Path string
	// Ran tells that a backend server may have run the request.
	Ran bool
	// Status is the status of an answer that says that the request did not run, zero for none.
	Status int
	// After is the time since the request came.
	After time.Duration
}

// Fields returns the fields of the line.
func (a Attempt) Fields() Fields {
	fields := Fields{request: a.Request, server: a.Server, ran: a.Ran, after: a.After.Milliseconds()}
	if a.Fault != "" {
		fields[fault] = a.Fault
	}
	if a.Path != "" {
		fields[path] = a.Path
	}
	if a.Status != 0 {
		fields[status] = a.Status
	}
	return fields
}

// Move is an attempt to let a stream go on without an engine.
type Move struct {
	// Request is the id of the request.
	Request string
	// First is the first engine of the path, Silent the one that is left out.
	First, Silent string
	// Waited is the time since the last event.
	Waited time.Duration
}

// Fields returns the fields of the line.
func (m Move) Fields() Fields {
	return Fields{request: m.Request, "first": m.First, silent: m.Silent, waited: m.Waited.Milliseconds()}
}

// Engine is what an instance learns from asking an engine.
type Engine struct {
	// Server and Address name the engine.
	Server, Address string
	// Slowness is how many times the usual time its work takes, zero if it did not answer.
	Slowness float64
	// Request is the request for which it was asked, empty for none.
	Request string
}

// Fields returns the fields of the line.
func (e Engine) Fields() Fields {
	fields := Fields{server: e.Server, address: e.Address}
	if e.Slowness > 0 {
		fields[slowness] = e.Slowness
	}
	if e.Request != "" {
		fields[request] = e.Request
	}
	return fields
}
