// Package clock provides the time by which leases, timeouts and other durations
// are measured. Its clock also advances while the instance is suspended, unlike
// Go's monotonic clock, and is never set, unlike the time of day.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance booted, including time in which it was
// suspended, as a time.Time without a monotonic reading. Only the difference of two
// such times is meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had CLOCK_BOOTTIME since 2.6.39. Without it, no lease and no
		// limit on the age of data could be relied on.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
