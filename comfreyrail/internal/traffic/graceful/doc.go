// Package graceful serves HTTP on a listener and shuts it down gracefully. The
// shutdown aborts requests only at its timeout or after a second call of Stop.
// Package stop decides on the steps of the shutdown.
//
// A deadline that passes says nothing about the bytes that are already waiting:
// it ends a connection only if none are. Timeouts and the shutdown end a
// connection alike, with a response that promises that no request has run.
package graceful
