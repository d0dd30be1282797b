// Package clock provides a monotonic clock that includes the time that the machine is suspended.
package clock
