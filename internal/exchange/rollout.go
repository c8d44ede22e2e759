package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// RolloutBounds are the limits of roll-outs that the settings define. Without them there are no
// roll-outs.
type RolloutBounds struct {
	Share         float64       // ratio of a service's requests that a bad version may get
	Slack         float64       // requests that a bad version may get in addition to the ratio
	RollbackAfter time.Duration // after its 50th bad answer a bad version gets no request later than this
}

// Enabled reports whether the settings define roll-outs.
func (b *RolloutBounds) Enabled() bool { return b.Share > 0 && b.RollbackAfter > 0 }

// RolloutStatus is what this daemon knows of a roll-out, for the status page, metrics and logs.
type RolloutStatus struct {
	rollout.State
	LeaderHeard bool          // the stage is from the leader, a short time ago
	Left        time.Duration // until the deadline; negative: after it
	Share       float64       // of new requests that go to the new version here
	Sends       uint64        // to the new version from this daemon
	Reached     uint64        // requests of this daemon that have reached the service
	OldRunning  int           // requests of this daemon that run on old servers
	OldReady    int           // usable old servers
	NewReady    int           // usable new servers
	Bad         string        // why the new version is bad; "": it is not found so
	Routes      []RolloutRoute
}

// RolloutRoute holds the samples of a route, over all daemons.
type RolloutRoute struct {
	Route    string
	Old, New rollout.Samples
}
