// Package control owns the state of the process.
//
// One goroutine applies typed events and publishes immutable snapshots, which
// the goroutines that serve requests read without locks.
package control
