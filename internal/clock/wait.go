package clock

import (
	"context"
	"time"
)

// Wait waits for d and returns true, or returns false as soon as ctx ends. Unlike
// Now, it does not count time in which the instance is suspended.
func Wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
