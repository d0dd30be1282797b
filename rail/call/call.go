package call

import "time"

// Request is what a caller says of its request.
type Request struct {
	// ID identifies this attempt of the caller.
	ID string
	// Key is the caller's key, empty for none.
	Key string
	// Timeout is how long the caller waits, zero if it does not say.
	Timeout time.Duration
	// PromptTokens is the number of prompt tokens, zero if the request has none.
	PromptTokens int
	// MaxTokens is the greatest number of tokens of the answer.
	MaxTokens int
	// LengthHint is the caller's estimate of the number of tokens of the answer, zero for none.
	LengthHint int
	// LastEventID is the id of the last event that the caller has, empty for none.
	LastEventID string
}

// Stage is one stage of a path as the engines are told.
type Stage struct {
	// Address is the engine.
	Address string
	// From is the first layer.
	From int
	// To is the layer after the last.
	To int
}

// BackendRequest is what the router tells a backend server with a request.
type BackendRequest struct {
	// Timeout is how long the backend server may work.
	Timeout time.Duration
	// Workspace names the caller's workspace, empty for none.
	Workspace string
	// ServerID is the only incarnation that may run the request.
	ServerID string
	// Priority is the urgency of the request, 0 first.
	Priority int
	// Stages lists the stages of an engine's path; empty for none.
	Stages []Stage
	// LastEventID is the id of the last event that the caller has, empty for none.
	LastEventID string
}

// Response is what a backend server says of its answer.
type Response struct {
	// ID is the request that the answer belongs to.
	ID string
	// NotRun tells that the backend server did not run the request.
	NotRun bool
	// FaultyAddress is the address of the engine that is to blame, empty if unknown.
	FaultyAddress string
	// ServerID is the incarnation that answered, empty if it does not say.
	ServerID string
	// Running, Waiting and Slots tell the load; Slots is zero if the server does not say.
	Running, Waiting, Slots int
	// Signed tells that the answer bears the backend server's signature.
	Signed bool
}
