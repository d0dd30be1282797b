// Package completion runs completion requests on chains of model engines.
//
// A Runner drives one stream.Session for each request: it performs the
// session's actions over HTTP and passes the resulting events back to it. The
// session decides which tokens reach the caller and how to recover from
// failures.
//
// It is for the router mode (command run); package gateway/forward does the same
// in gateway mode (command gateway).
package completion
