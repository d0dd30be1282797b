package call

import "time"

// Request is what a caller says of its request.
type Request struct {
	// ID identifies this attempt of the caller.
	ID string
	// Key is the caller's key, empty for none.
	Key string
	// Deadline is how long the caller waits, zero if it does not say.
	Deadline time.Duration
	// Prompt is the number of prompt tokens, zero if the request has none.
	Prompt int
	// MaxAnswer is the greatest number of tokens of the answer.
	MaxAnswer int
	// Hint is the caller's estimate of the number of tokens of the answer, zero for none.
	Hint int
	// LastEvent is the id of the last event that the caller has, empty for none.
	LastEvent string
}

// Hop is one stage of a path as the engines are told.
type Hop struct {
	// Address is the engine.
	Address string
	// From is the first layer.
	From int
	// To is the layer after the last.
	To int
}

// Forward is what the router tells a backend server with a request.
type Forward struct {
	// Deadline is how long the backend server may work.
	Deadline time.Duration
	// Workspace names the caller's workspace, empty for none.
	Workspace string
	// Server is the only incarnation that may run the request.
	Server string
	// Priority is the urgency of the request, 0 first.
	Priority int
	// Hops lists the stages of an engine's path; empty for none.
	Hops []Hop
	// LastEvent is the id of the last event that the caller has, empty for none.
	LastEvent string
}

// Answer is what a backend server says of its answer.
type Answer struct {
	// ID is the request that the answer belongs to.
	ID string
	// NotRun tells that the backend server did not run the request.
	NotRun bool
	// Fault is the address of the engine that is to blame, empty if unknown.
	Fault string
	// Server is the incarnation that answered, empty if it does not say.
	Server string
	// Running, Waiting and Slots tell the load; Slots is zero if the server does not say.
	Running, Waiting, Slots int
	// Sealed tells that the answer bears the backend server's signature.
	Sealed bool
}
