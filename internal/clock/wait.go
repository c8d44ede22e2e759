package clock

import (
	"context"
	"time"
)

// Wait waits for d and returns true, or returns false when ctx ends before. Time
// in which the instance is suspended does not count.
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
