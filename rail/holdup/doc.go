// Package holdup tells the time in which a process ran from the time in which it was held up: stopped by a signal, without
// processor time, or on an instance that stood still.
//
// What happens to others in a hold-up is not known, so a timeout that guards against their silence must not count it. Package
// holdup starts no goroutine and reads no clock: its caller passes the time.
package holdup
