package exchange

import "time"

// Contend reports whether to try to acquire the lease for the leader tasks now.
func (c *Core) Contend(now time.Time) bool {
	if c.leaving || !c.configurationFresh(now) {
		return false
	}
	return c.lease.TryContend(now, c.rankOfSelf(now))
}

// LeaseAcquired records that the lease's row in the table service, by a read that
// began at readAt, names this daemon with the epoch.
func (c *Core) LeaseAcquired(now, readAt time.Time, epoch uint64) {
	c.lease.MarkAcquired(now, readAt, epoch)
}

// LeaseConfirmed records that a call that began at the given time found the lease's
// row unchanged.
func (c *Core) LeaseConfirmed(at time.Time) { c.lease.ConfirmRow(at) }

// LeaseLost records that another daemon holds the lease.
func (c *Core) LeaseLost(now time.Time) { c.lease.MarkLost(now) }

// LeaseEpoch returns the highest known epoch of the lease, which serves as the fencing
// token, and whether this daemon holds the lease.
func (c *Core) LeaseEpoch() (epoch uint64, held bool) { return c.lease.Epoch() }

// LeaseSettling reports whether this daemon has just acquired the lease and must not
// make calls yet.
func (c *Core) LeaseSettling(now time.Time) bool { return c.lease.Settling(now) }

// LeaseUnread records that the lease's row could not be read.
func (c *Core) LeaseUnread(now time.Time) { c.lease.RowUnread(now) }

// MayActAsLeader reports whether this daemon is the leader as far as it can know without a call.
func (c *Core) MayActAsLeader(now time.Time) bool { return c.lease.MayAct(now, c.ackedByAllAt(now)) }

// MayCallAsLeader reports whether this daemon may make a call for the leader tasks now. If it
// holds the lease but may not, it must read the lease's row again.
func (c *Core) MayCallAsLeader(now time.Time) bool { return c.lease.MayCall(now, c.ackedByAllAt(now)) }

// ackedByAllAt returns when this daemon sent its newest update that all daemons that may
// serve have acknowledged; zero if that is not known or there is no other daemon.
func (c *Core) ackedByAllAt(now time.Time) time.Time {
	acked, others := c.ackedByAll(now)
	if !others {
		return time.Time{}
	}
	at, _ := c.sent.sentAt(acked)
	return at
}
