// Package dispatch sends one request to one backend server at most once and
// tells whether it was done, provably not run, or may have run.
//
// The transport of net/http repeats some requests by itself. The connections
// of this package refuse to write any byte of a request that has been written
// on another connection, or whose outcome has been told.
package dispatch
