package exchange

import "time"

// What the table service shows can be older than what this daemon knows from it: after a
// restore from a backup the service lacks its newest rows until their writers have
// written them again.

// TableRecovered records that the table service answers again calls of a feed, of which the last that
// failed began at the given time. If calls of another feed have succeeded since, its recovery was
// noticed before.
func (c *Core) TableRecovered(now, failed time.Time) {
	if c.tableRecoveredAt.Before(failed) {
		c.tableRecoveredAt = now
	}
}

// TableRestored records that a list that was just read is the first one since the table
// service was restored from a backup.
func (c *Core) TableRestored(now time.Time) {
	c.tableRecoveredAt, c.tableRestoredAt = now, now
	_, leader := c.lease.Epoch()
	c.recorded.Restored(now, leader)
	c.forgetRolloutRows()
}

// recentlyRestored reports whether rows of the table service may still be missing, or
// be older than known ones, because of a restore.
func (c *Core) recentlyRestored(now time.Time) bool {
	return !c.tableRestoredAt.IsZero() && now.Sub(c.tableRestoredAt) < tableRecoveryGrace
}

// TableShows records the version of the configuration that the table service shows,
// which after a restore may be lower than that of the one in force.
func (c *Core) TableShows(version uint64) { c.tableVersion = version }

// TableConfirms reports whether an answer of the table service without a newer
// configuration confirms the one in force. It does not while the service lacks that one,
// or while other daemons have had a newer one for a while.
func (c *Core) TableConfirms(now time.Time) bool {
	if c.index == nil || c.tableVersion < c.index.doc.Version {
		return false
	}
	return c.behindSince.IsZero() || now.Sub(c.behindSince) < 2*newerVersionDelay
}

// ConfirmByTable records that the table service showed no newer configuration at some
// moment after the given time, if that confirms the one in force.
func (c *Core) ConfirmByTable(now, at time.Time) {
	if c.TableConfirms(now) {
		c.Confirm(at)
	}
}

// Confirm records that the configuration was still the newest one at some moment
// after the given time.
func (c *Core) Confirm(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// recentlyRecovered reports whether the table service has answered again a short time ago.
func (c *Core) recentlyRecovered(now time.Time) bool {
	return !c.tableRecoveredAt.IsZero() && now.Sub(c.tableRecoveredAt) < tableRecoveryGrace
}
