// Package duetime compares the times at which systems are due next. The zero
// time stands for never.
package duetime

import "time"

// Earliest returns the earlier of two times.
func Earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
