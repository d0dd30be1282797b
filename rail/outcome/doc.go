// Package outcome defines what is known about the execution of a request after
// an instance has handled it: done, not run, or unknown.
package outcome
