// Package admission queues the requests of one instance until they may run, and
// refuses those that can't run in time.
package admission
