package event

import "time"

// Messages of log lines.
const (
	// RequestDone is the message for a request that was served.
	RequestDone = "done"
	// ErrorResponsePrefix is the start of the message for a request to which the instance responded with an error; the code
	// follows.
	ErrorResponsePrefix = "refused: "
	// CallerDisconnected is the message for a request whose caller disconnected.
	CallerDisconnected = "the caller has left"
	// ResponseAborted is the message for a response that was aborted after part of it had been sent, or for a request whose body
	// could not be read.
	ResponseAborted = "broken off"
	// AttemptFailed is the message for a failed attempt at a plain backend server or a chain of engines.
	AttemptFailed = "attempt failed"
	// AttemptReplaced is the message for a silent attempt at a stream that was given up once another one had begun to respond.
	AttemptReplaced = "silent attempt replaced"
	// AttemptNotReplaced is the message for a silent attempt at a stream that goes on because no other one began to respond.
	AttemptNotReplaced = "silent attempt not replaced"
	// RequestNotRun is the message for a response which states that the backend server did not run the request.
	RequestNotRun = "the server did not run the request"
	// StreamRerouted is the message for a stream that continues on a chain without its silent engine.
	StreamRerouted = "moved past a silent engine"
	// StreamNotRerouted is the message for a stream for which there is no chain without its silent engine, or which could not be
	// moved to one.
	StreamNotRerouted = "not moved past a silent engine"
	// EngineSlowness is the message for the slowness that an engine reports.
	EngineSlowness = "speed of an engine"
	// EngineNoResponse is the message for an engine that did not respond to a probe.
	EngineNoResponse = "the engine does not answer"
	// ServerUpdated is the message for a new or changed backend server.
	ServerUpdated = "backend server"
	// ServerRemoved is the message for a backend server that was removed.
	ServerRemoved = "backend server is gone"
)

// Names of the fields of log lines.
const (
	fieldRequest       = "request"
	fieldServer        = "server"
	fieldAddress       = "address"
	fieldPath          = "path"
	fieldMayHaveRun    = "ran"
	fieldElapsed       = "after_ms"
	fieldWaited        = "waited_ms"
	fieldSlowness      = "slowness"
	fieldStatus        = "status"
	fieldCode          = "code"
	fieldSilentEngine  = "silent"
	fieldFaultyAddress = "fault"
	fieldAttempts      = "sent"
	fieldRetryDenied   = "denied"
	fieldConfigAge     = "config_age_ms"
	fieldFirstEvent    = "first_ms"
	fieldMaxGap        = "gap_ms"
	fieldEvents        = "events"
	fieldWaitTime      = "wait_ms"
)

// Fields holds the fields of a log line by name.
type Fields = map[string]any

// RequestEnd describes a request that has ended.
type RequestEnd struct {
	// Request is the ID of the request.
	Request string
	// Route, Kind and Workspace are empty while they are not known.
	Route, Kind, Workspace string
	// Server is the ID of the backend server that the request was sent to last, empty for none. For a chain it is that of the
	// first engine.
	Server string
	// Chain lists the engines of the last run with their layers, in the form "i-1=0-8 i-2=8-16"; empty for none.
	Chain string
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Attempts is the number of times that the request was sent to a backend server.
	Attempts int
	// RetryDenied is the reason why no other attempt at the stream followed the last one, empty if that did not fail.
	RetryDenied string
	// ConfigVersion is the version of the configuration, zero if none is known.
	ConfigVersion uint64
	// ConfigAge is the time since the store confirmed the configuration.
	ConfigAge time.Duration
	// FirstEvent is the time from the arrival of the request to the first data of the streamed response, MaxGap the longest
	// time between two consecutive arrivals of its data.
	FirstEvent, MaxGap time.Duration
	// Events is the number of events of the streamed response that were sent to the caller.
	Events int
}

// Fields returns the fields of the line.
func (e RequestEnd) Fields() Fields {
	fields := Fields{fieldRequest: e.Request, "ms": e.Elapsed.Milliseconds(), fieldAttempts: e.Attempts, fieldConfigAge: e.ConfigAge.Milliseconds()}
	if e.RetryDenied != "" {
		fields[fieldRetryDenied] = e.RetryDenied
	}
	if e.ConfigVersion > 0 {
		fields["config"] = e.ConfigVersion
	}
	if e.Route != "" {
		fields["route"], fields["kind"], fields["workspace"] = e.Route, e.Kind, e.Workspace
	}
	if e.Server != "" {
		fields[fieldServer] = e.Server
	}
	if e.Events > 0 {
		fields[fieldFirstEvent], fields[fieldMaxGap], fields[fieldEvents] = e.FirstEvent.Milliseconds(), e.MaxGap.Milliseconds(), e.Events
	}
	if e.Chain != "" {
		fields[fieldPath] = e.Chain
	}
	return fields
}

// ErrorResponse describes an error with which the instance responded to a request.
type ErrorResponse struct {
	// Status is the HTTP status code and Code the reason that were sent to the caller.
	Status int
	Code   string
	// MayHaveRun reports whether a backend server may have run the request.
	MayHaveRun bool
}

// Fields returns the fields of the line.
func (r ErrorResponse) Fields() Fields {
	return Fields{fieldStatus: r.Status, fieldCode: r.Code, fieldMayHaveRun: r.MayHaveRun}
}

// FailedAttempt describes a failed attempt to run a request on a backend server or a chain of engines.
type FailedAttempt struct {
	// Request is the ID of the request.
	Request string
	// Server is the ID of the backend server that the request was sent to. For a chain it is that of the first engine.
	Server string
	// FaultyAddress is the address of the engine to which the failure is attributed, empty for a plain backend server.
	FaultyAddress string
	// Chain lists the engines with their layers as in RequestEnd, empty for a plain backend server.
	Chain string
	// MayHaveRun reports whether a backend server may have run the request.
	MayHaveRun bool
	// Status is the HTTP status code of the backend server's response that the request did not run, zero if there was no such
	// response.
	Status int
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
}

// Fields returns the fields of the line.
func (a FailedAttempt) Fields() Fields {
	fields := Fields{fieldRequest: a.Request, fieldServer: a.Server, fieldMayHaveRun: a.MayHaveRun, fieldElapsed: a.Elapsed.Milliseconds()}
	if a.FaultyAddress != "" {
		fields[fieldFaultyAddress] = a.FaultyAddress
	}
	if a.Chain != "" {
		fields[fieldPath] = a.Chain
	}
	if a.Status != 0 {
		fields[fieldStatus] = a.Status
	}
	return fields
}

// Reroute describes an attempt to continue a stream without one of its engines.
type Reroute struct {
	// Request is the ID of the request.
	Request string
	// FirstEngine is the ID of the first engine of the chain, SilentEngine that of the engine that stopped responding and is left
	// out.
	FirstEngine, SilentEngine string
	// Waited is the time since headers or data of the current attempt at the stream last arrived, or since the attempt's
	// start if nothing has arrived.
	Waited time.Duration
}

// Fields returns the fields of the line.
func (r Reroute) Fields() Fields {
	return Fields{fieldRequest: r.Request, "first": r.FirstEngine, fieldSilentEngine: r.SilentEngine, fieldWaited: r.Waited.Milliseconds()}
}

// SilentAttempt describes an attempt at a stream whose server is silent.
type SilentAttempt struct {
	// Request is the ID of the request.
	Request string
	// Server is the ID of the plain server or of the first engine of the chain.
	Server string
	// FaultyAddress is the host and port of the engine at fault, empty if unknown.
	FaultyAddress string
	// Waited is the time since headers or data of the attempt last arrived, or since its start if nothing has arrived.
	Waited time.Duration
}

// Fields returns the fields of the line.
func (s SilentAttempt) Fields() Fields {
	return Fields{fieldRequest: s.Request, fieldServer: s.Server, fieldFaultyAddress: s.FaultyAddress, fieldWaited: s.Waited.Milliseconds()}
}

// EngineProbe describes the result of a probe of an engine.
type EngineProbe struct {
	// Server is the ID of the engine, Address its host and port.
	Server, Address string
	// Slowness is the ratio of the time that the engine's work takes to the usual time, zero if the engine did not respond or
	// reported none.
	Slowness float64
	// Request is the ID of the request for which the engine was probed, empty for none.
	Request string
}

// Fields returns the fields of the line.
func (e EngineProbe) Fields() Fields {
	fields := Fields{fieldServer: e.Server, fieldAddress: e.Address}
	if e.Slowness > 0 {
		fields[fieldSlowness] = e.Slowness
	}
	if e.Request != "" {
		fields[fieldRequest] = e.Request
	}
	return fields
}
