package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// A daemon may act on its configuration as long as it knows that it was the
// newest a short time ago. It learns so from the table service, or from another
// daemon that has learned it there: the other one's message says how long ago,
// and which of this daemon's messages it had heard before. The confirmation
// cannot be older than that message less the age, however long the answer was on
// its way or either process was suspended.

// sentMessages is how many of the newest messages are remembered.
const sentMessages = 64

// sentTimes remembers when the newest messages were written.
type sentTimes [sentMessages]struct {
	sequence uint32
	at       time.Time
}

func (s *sentTimes) note(sequence uint32, at time.Time) {
	slot := &s[sequence%sentMessages]
	slot.sequence, slot.at = sequence, at
}

func (s *sentTimes) when(sequence uint32) (time.Time, bool) {
	slot := &s[sequence%sentMessages]
	return slot.at, slot.sequence == sequence && !slot.at.IsZero()
}

// unconfirmed is the age of a confirmation that is too old.
const unconfirmed = -1

func (c *Core) age(now time.Time) time.Duration {
	if !c.fresh(now) {
		return unconfirmed
	}
	return now.Sub(c.confirmed)
}

// confirmBy takes another daemon's confirmation of the same version.
func (c *Core) confirmBy(n *News, echo uint32) {
	if n.Age < 0 || c.routes == nil || n.Version != c.routes.doc.Version {
		return
	}
	if sent, ok := c.sent.when(echo); ok {
		c.Confirm(sent.Add(-n.Age))
	}
}

// Echo returns the sequence number of a daemon's last message that was heard.
func (c *Core) Echo(name entity.InstanceID) uint32 {
	if r := c.peers.Get(name); r != nil {
		return r.sequence
	}
	return 0
}

// newerFor is how long another daemon must have had a newer configuration before
// it is asked for it: the table service tells this one first, as a rule.
const newerFor = 400 * time.Millisecond

// Newer returns a daemon that has had a newer configuration than this one for a
// while.
func (c *Core) Newer(now time.Time) (Member, bool) {
	own, _ := c.Version(now)
	var found *peerRow
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if c.heardLately(now, r) && r.version > own && (found == nil || r.version > found.version) {
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
	return found.Member, now.Sub(c.behindSince) >= newerFor
}

// Document returns the configuration in force, nil if there is none.
func (c *Core) Document() *Document {
	if c.routes == nil {
		return nil
	}
	return c.routes.doc
}

// confirmers is how many daemons ask the table service often, for all others.
const confirmers = 2

// Confirmer reports whether this daemon should ask the table service often.
func (c *Core) Confirmer(now time.Time) bool { return c.rankOfSelf(now) < confirmers }
