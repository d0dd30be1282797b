// Package control owns the state of the process.
//
// One goroutine applies typed events and publishes immutable snapshots, which
// the goroutines that serve requests read without locks.
//
// It is for the router mode (command run); package gateway/catalog publishes the
// snapshots in gateway mode (command gateway).
package control
