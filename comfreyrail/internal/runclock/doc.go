// Package runclock provides a clock and timeouts that leave out the time in which this process was held up: stopped by a signal,
// without processor time, or on an instance that stood still.
//
// They guard calls to others. Limits that others set, such as the deadline of a caller or the end of a lease, need an ordinary clock.
package runclock
