package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Peers returns all other daemons that may be alive.
func (c *Core) Peers() []Member {
	out := make([]Member, 0, c.peers.Len())
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		out = append(out, r.Member)
		return true
	})
	return out
}

const (
	// minSilenceTimeout is the minimum of silenceTimeout. It applies in small
	// fleets.
	minSilenceTimeout = 1200 * time.Millisecond
	// silenceTimeoutUpdates is silenceTimeout in large fleets, in update intervals.
	silenceTimeoutUpdates = 5
)

// updateInterval returns the time between two updates of a daemon in a large fleet.
func (c *Core) updateInterval() time.Duration {
	return time.Duration(c.peers.Len()) * c.cfg.Bounds.UpdateIntervalPerPeer
}

// silenceTimeout returns how long another daemon counts as alive after its last
// update.
func (c *Core) silenceTimeout() time.Duration {
	return max(minSilenceTimeout, silenceTimeoutUpdates*c.updateInterval())
}

// recentlySeen reports whether an update of a daemon arrived within silenceTimeout.
func (c *Core) recentlySeen(now time.Time, r *peerRow) bool {
	return !r.lastReceived.IsZero() && now.Sub(r.lastReceived) < c.silenceTimeout()
}

const (
	// minQuotaUseTTL is the minimum of quotaUseTTL. It applies in small fleets.
	minQuotaUseTTL = 600 * time.Millisecond
	// quotaUseTTLUpdates is quotaUseTTL in large fleets, in update intervals. It
	// may be short: what is withheld for a daemon whose update was lost becomes
	// available again with its next one.
	quotaUseTTLUpdates = 1.5
	// cutOffTimeout is how long a daemon may receive no update from any other one
	// before it counts as cut off.
	cutOffTimeout = 400 * time.Millisecond
)

// quotaUseTTL returns how long after a daemon's last update its use of quotas
// counts as known.
func (c *Core) quotaUseTTL() time.Duration {
	return max(minQuotaUseTTL, time.Duration(quotaUseTTLUpdates*float64(c.updateInterval())))
}

// cutOff reports whether no update of any daemon has arrived lately.
func (c *Core) cutOff(now time.Time) bool {
	var newest time.Time
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if r.lastReceived.After(newest) {
			newest = r.lastReceived
		}
		return true
	})
	return now.Sub(newest) > cutOffTimeout
}

// countDaemons returns for how many daemons the use of quotas is known (reachable),
// and how many may be spending quotas in all (known), this one included in both.
func (c *Core) countDaemons(now time.Time) (reachable, known int) {
	reachable, known = 1, 1
	cutOff, quotaUseTTL := c.cutOff(now), c.quotaUseTTL()
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		switch {
		case !cutOff && !r.lastReceived.IsZero() && now.Sub(r.lastReceived) < quotaUseTTL:
			reachable, known = reachable+1, known+1
		case c.mayServe(now, r):
			known++
		}
		return true
	})
	return reachable, known
}

// minorityForgetFactor is the factor by which daemons that reach half of the fleet
// or less remember silent ones for longer: they are more likely to be the ones that
// are cut off.
const minorityForgetFactor = 2

// forgetSilentPeers drops daemons that have been silent for too long, and reports
// whether there were any.
func (c *Core) forgetSilentPeers(now time.Time, reachable, known int) (dropped bool) {
	after := c.cfg.Bounds.ForgetPeerAfter
	if 2*reachable <= known {
		after *= minorityForgetFactor
	}
	for _, name := range c.peers.Keys() {
		r := c.peers.Get(name)
		if !r.lastReceived.IsZero() && now.Sub(r.lastReceived) > after {
			c.quota.Forget(r.process())
			c.peers.Delete(name)
			dropped = true
		}
	}
	return dropped
}

// mayServe reports whether a daemon may be serving, even if it is not reachable.
func (c *Core) mayServe(now time.Time, r *peerRow) bool {
	switch {
	case r.leaving:
		return false
	case r.lastReceived.IsZero():
		return now.Sub(r.knownSince) < c.cfg.Bounds.ForgetPeerAfter // after that its entry counts as stale
	default:
		return true
	}
}

// ackedByAll returns the newest update of this daemon such that all daemons that
// may serve have acknowledged it or a later one, and whether there are any.
func (c *Core) ackedByAll(now time.Time) (sequence uint32, others bool) {
	sequence = c.sequence
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if c.mayServe(now, r) {
			sequence, others = min(sequence, r.acked), true
		}
		return true
	})
	return sequence, others
}

// rankOfSelf returns this daemon's rank by name among the daemons seen recently; 0
// is first.
func (c *Core) rankOfSelf(now time.Time) int {
	rank := 0
	c.peers.All(func(name entity.InstanceID, r *peerRow) bool {
		if c.recentlySeen(now, r) && !r.leaving && name < c.cfg.Self.Name {
			rank++
		}
		return true
	})
	return rank
}
