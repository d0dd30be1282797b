// Package outcome tells apart what can be known about a request after the
// router has handled it: done, not run, or unknown.
package outcome
