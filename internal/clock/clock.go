// Package clock tells the time that systems decide by. It counts the time in
// which the instance was suspended and never steps, unlike the time of day and
// Go's monotonic clock.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance booted, suspended time included, as
// a time.Time without a monotonic reading. Only differences mean anything.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had the clock since 2.6.39; without it no lease or freshness
		// bound could be trusted.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
