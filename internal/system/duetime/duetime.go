// Package duetime compares due times: the times at which a subsystem must run
// next. The zero time means never.
package duetime

import "time"

// Earliest returns the earlier of two due times.
func Earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
