package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var started = time.Now()

// Elapsed returns the time since the machine started, with the time that it was suspended.
//
// The process's own steady clock, which stops meanwhile, stands in where the machine has no such clock.
func Elapsed() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return time.Since(started)
	}
	return time.Duration(at.Nano())
}
