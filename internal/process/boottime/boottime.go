// Package boottime reads the clock that also counts the time for which the host
// was suspended, unlike the monotonic clock of package time.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host's start.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists since Linux 2.6.39; without it ages cannot be bounded.
		panic("boottime: " + err.Error())
	}
	return time.Duration(t.Nano())
}
