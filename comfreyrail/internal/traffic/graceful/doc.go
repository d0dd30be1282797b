// Package graceful serves HTTP on a listener and shuts it down without cutting
// a request. Package stop decides on the steps of the shutdown.
package graceful
