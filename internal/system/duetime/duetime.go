// Package duetime compares due times: the times at which a subsystem must run
// next. The zero time means never.
package duetime

import "time"

// EarliestNonZero returns the earlier of two due times. A zero time is no due
// time; if both are zero, so is the result.
func EarliestNonZero(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
