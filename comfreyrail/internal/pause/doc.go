// Package pause waits between the calls of a loop.
package pause
