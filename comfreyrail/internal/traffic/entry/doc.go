// Package entry implements the HTTP server for callers. It serves completion
// requests, plain requests and requests for new idempotency keys.
//
// It is for the router mode (command run); package gateway/forward serves callers
// in gateway mode (command gateway).
package entry
