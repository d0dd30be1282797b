// Package graceful serves HTTP on a listener and shuts it down gracefully. The
// shutdown aborts requests only at its timeout or after a second call of Stop.
// Package stop decides on the steps of the shutdown.
package graceful
