package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
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

// SetRolloutOrder applies the newest order of a service.
func (c *Core) SetRolloutOrder(now time.Time, o rollout.Order) {}

// WithdrawRollout records that the row of a service's order was removed.
func (c *Core) WithdrawRollout(now time.Time, s entity.ServiceName) {}

// RolloutOrdersConfirmed records that a read of the operator's entries that began at the given
// time, and whose orders have been applied, showed all of them. A version of a service that
// appears counts as ordered by nobody only after such a read.
func (c *Core) RolloutOrdersConfirmed(at time.Time) {}

// RestoreRollout applies a state that was read from its row.
func (c *Core) RestoreRollout(now time.Time, s rollout.State) {}

// RolloutsToCommit returns the states that should be written now. The daemon must hold the lease.
// A write that fails because the row has changed is followed by a read and RestoreRollout.
func (c *Core) RolloutsToCommit(now time.Time) []rollout.State { return nil }

// RolloutCommitted records that a state has been written.
func (c *Core) RolloutCommitted(now time.Time, s rollout.State) {}

// Rollouts returns the roll-outs that this daemon knows, by service.
func (c *Core) Rollouts(now time.Time) []RolloutStatus { return nil }
