package daemon

import (
	"testing"
	"time"
)

// The readings of the list must not grow with the fleet.
func TestListInterval_BoundsReadingsOfTheFleet(t *testing.T) {
	const shortest = 5 * time.Second
	for _, daemons := range []int{1, 9, 100, 410} {
		interval := listInterval(shortest, daemons)
		perSecond := float64(daemons) / interval.Seconds()
		if interval < shortest || perSecond > fleetListReadings {
			t.Errorf("%d daemons: every %s, %.1f readings a second", daemons, interval, perSecond)
		}
	}
}
