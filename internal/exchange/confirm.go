package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// A daemon may act on its configuration as long as it knows that it was the newest
// one a short time ago. It learns that from the table service, or from another
// daemon that has learned it there. The other daemon's update states the age of its
// confirmation and acknowledges one of this daemon's updates, which it had received
// before. The configuration was therefore the newest one at a time not before that
// acknowledged update was sent, less the age, however long the answer was delayed
// or either process was suspended.

// maxSentTimes is the number of state updates whose send times are kept.
const maxSentTimes = 64

// sentTimes is a ring buffer of the times at which the newest state updates were
// written.
type sentTimes [maxSentTimes]struct {
	sequence uint32
	at       time.Time
}

// record notes when an update was written.
func (s *sentTimes) record(sequence uint32, at time.Time) {
	slot := &s[sequence%maxSentTimes]
	slot.sequence, slot.at = sequence, at
}

// sentAt returns when an update was written, if that is still kept.
func (s *sentTimes) sentAt(sequence uint32) (time.Time, bool) {
	slot := &s[sequence%maxSentTimes]
	return slot.at, slot.sequence == sequence && !slot.at.IsZero()
}

// unconfirmedAge is sent instead of an age when the confirmation is too old to act
// on.
const unconfirmedAge = -1

// confirmationAge returns the time since the configuration was last confirmed, or
// unconfirmedAge.
func (c *Core) confirmationAge(now time.Time) time.Duration {
	if !c.configurationFresh(now) {
		return unconfirmedAge
	}
	return now.Sub(c.confirmedAt)
}

// applyConfirmation applies another daemon's confirmation of the same version. Ack
// is the sequence number of this daemon's last update that the other daemon had
// received.
func (c *Core) applyConfirmation(update *StateUpdate, ack uint32) {
	if update.Age < 0 || c.index == nil || update.Version != c.index.doc.Version {
		return
	}
	if sent, ok := c.sent.sentAt(ack); ok {
		c.Confirm(sent.Add(-update.Age))
	}
}

// Ack returns the sequence number of the last update received from a daemon, which
// is sent back to it as an acknowledgement; 0 if there is none.
func (c *Core) Ack(name entity.InstanceID) uint32 {
	if r := c.peers.Get(name); r != nil {
		return r.sequence
	}
	return 0
}

// newerVersionDelay is how long another daemon must have had a newer configuration
// before this daemon fetches it from there. Usually the table service delivers it
// sooner.
const newerVersionDelay = 400 * time.Millisecond

// NewerConfiguration returns the daemon with the newest configuration if it is newer
// than this daemon's, and whether a newer one has been known for long enough to fetch
// it.
func (c *Core) NewerConfiguration(now time.Time) (Member, bool) {
	localVersion, _ := c.Version(now)
	var found *peerRow
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if c.recentlySeen(now, r) && r.version > localVersion && (found == nil || r.version > found.version) {
			found = r
		}
		return true
	})
	if found == nil {
		c.behindSince = time.Time{}
		return Member{}, false
	}
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	return found.Member, now.Sub(c.behindSince) >= newerVersionDelay
}

// Document returns the configuration in force, or nil if there is none.
func (c *Core) Document() *Document {
	if c.index == nil {
		return nil
	}
	return c.index.doc
}

// confirmerCount is the number of daemons that query the table service often and
// confirm the configuration to all others.
const confirmerCount = 2

// QueriesTableOften reports whether this daemon should query the table service often.
func (c *Core) QueriesTableOften(now time.Time) bool { return c.rankOfSelf(now) < confirmerCount }
