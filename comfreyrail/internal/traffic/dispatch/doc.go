// Package dispatch sends one request to one backend server at most once and
// reports whether it was done, provably not run, or may have run.
//
// The transport of net/http retries some requests by itself. The connections
// of this package deny every write of a request that has been written on
// another connection, or whose outcome has been returned.
//
// It is for the router mode (command run); package gateway/upstream does the same
// in gateway mode (command gateway).
package dispatch
