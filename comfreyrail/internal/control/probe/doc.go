// Package probe requests the status of the backend servers and reads the
// platform's list of instances, and passes the results to the control
// goroutine.
package probe
