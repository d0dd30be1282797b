package call

import "time"

// Request is the metadata that a caller sends with a request.
type Request struct {
	// ID identifies the request; a caller that sends the request again gives it another ID.
	ID string
	// APIKey is the caller's API key, empty for none.
	APIKey string
	// Timeout is how long the caller waits, zero if it is not given.
	Timeout time.Duration
	// SharedParts identifies the parts of the prompt that other requests may have too, in the order of the prompt.
	SharedParts []string
	// PromptTokens is the number of prompt tokens, zero if the request has none.
	PromptTokens int
	// MaxTokens is the maximum number of tokens of the answer.
	MaxTokens int
	// LengthHint is the caller's estimate of the number of tokens of the answer, zero for none.
	LengthHint int
	// LastEventID is the ID of the last event that the caller received, empty for none.
	LastEventID string
}

// Stage is one stage of a request's chain, as it is sent to the engines.
type Stage struct {
	// Address is the address of the engine.
	Address string
	// From is the first layer.
	From int
	// To is the layer after the last.
	To int
}

// BackendRequest is the metadata that an instance sends to a backend server with a request.
type BackendRequest struct {
	// Timeout is how long the backend server may work on the request.
	Timeout time.Duration
	// Workspace is the name of the caller's workspace, empty for none.
	Workspace string
	// ServerID is the ID of the only backend server that may run the request.
	ServerID string
	// Urgency is the urgency of the request; 0 is the most urgent.
	Urgency int
	// Stages lists the stages of the request's chain; it is empty for servers that are not engines.
	Stages []Stage
	// LastEventID is the ID of the last event that the caller received, empty for none.
	LastEventID string
}

// Response is the metadata that a backend server sends with a response.
type Response struct {
	// ID is the ID of the request that the response belongs to.
	ID string
	// NotRun reports whether the backend server did not run the request.
	NotRun bool
	// FaultyAddress is the address of the engine that caused the failure, empty if unknown.
	FaultyAddress string
	// ServerID is the ID of the backend server that responded, empty if it is not given.
	ServerID string
	// Running, Waiting and Slots are the numbers of running requests, waiting requests and slots; Slots is zero if the server
	// does not report its load.
	Running, Waiting, Slots int
	// Signed reports whether the response carries a signature of the backend server; the signature is not verified.
	Signed bool
	// Leaving reports whether the backend server says that it is leaving and wants no new requests.
	Leaving bool
	// RetryAfter is how long a backend server that turned the request away wants no further ones.
	RetryAfter RetryAfter
}

// RetryAfter is the delay before a retry that a response states.
type RetryAfter struct {
	// Delay is the delay, zero if none is stated or if it is not understood.
	Delay time.Duration
	// Malformed reports whether the delay is not understood.
	Malformed bool
	// Text is the delay as it was received, for logs.
	Text string
}
