// Package backoff computes the delays between attempts that keep failing.
package backoff

import "time"

// Delay returns the delay after a number of failures in a row: first, doubled with each
// further failure up to limit.
func Delay(first, limit time.Duration, failures int) time.Duration {
	d := first
	for i := 1; i < failures && d < limit; i++ {
		d *= 2
	}
	return min(d, limit)
}
