// Package boottime reads the boot-time clock. Unlike the monotonic clock of package
// time, it includes the time for which the host was suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists since Linux 2.6.39. Without it, the age of data can't be
		// bounded.
		panic("boottime: " + err.Error())
	}
	return time.Duration(t.Nano())
}
