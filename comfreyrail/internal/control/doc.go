// Package control owns the state of the process: one goroutine takes typed
// events and publishes immutable snapshots that traffic reads without locks.
package control
