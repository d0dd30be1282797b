package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// Monotonic returns the time since the machine was booted, including the time that it was suspended.
//
// Where CLOCK_BOOTTIME is not available, it returns the time since the process started by the monotonic clock of package
// time, which stops while the machine is suspended.
func Monotonic() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}
