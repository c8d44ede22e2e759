package exchange

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/ratelimit"
)

// A backend server in need states in its answers how many requests per second it takes from
// all daemons together. The newest statement counts, whichever daemon got it.

// RateLimit is what a backend server's answer says of how many requests it takes.
type RateLimit struct {
	Stated    bool    // it states a limit; else it takes any number
	PerSecond float64 // requests from all daemons together
}

// LimitStatement is the newest statement of a process that a daemon knows.
type LimitStatement struct {
	Process   entity.ServerProcess `cbor:"1,keyasint"`
	Stated    bool                 `cbor:"2,keyasint,omitempty"` // it states a limit; else it has ended
	PerSecond float64              `cbor:"3,keyasint,omitempty"`
	Ago       time.Duration        `cbor:"4,keyasint,omitempty"` // from the answer to the sending of the message
}

// serverLimit is the newest statement of a backend server's process, and this daemon's part
// of its limit.
type serverLimit struct {
	RateLimit
	statedAt time.Time // when the newest answer with this statement arrived
	since    time.Time // when the limit, whatever its value, came in force
	// refreshedAt is when it was last announced again by this daemon, if it has a part, or
	// heard from one that has.
	refreshedAt time.Time
	bucket      ratelimit.Bucket
}

const (
	// limitRefreshInterval is the time between two announcements of a limit in force by the
	// daemons that have parts of it. Only these get answers of the server.
	limitRefreshInterval = 5 * time.Second
	// limitExpiryFactor is the time, in multiples of the one after which silent daemons are
	// forgotten, after which a daemon without a part drops a limit that nobody announces.
	limitExpiryFactor = 3
)

// inForce returns the limit of a process, nil if it states none.
func (l *statementTable) inForce(p entity.ServerProcess) *serverLimit {
	if row := l.rows.Get(p); row != nil && row.Stated {
		return &row.serverLimit
	}
	return nil
}

// statements returns the newest statements of processes, for a message that is sent now.
func (l *statementTable) statements(now time.Time, processes []entity.ServerProcess) []LimitStatement {
	var out []LimitStatement
	for _, p := range processes {
		if row := l.rows.Get(p); row != nil {
			out = append(out, LimitStatement{Process: p, Stated: row.Stated, PerSecond: row.PerSecond, Ago: now.Sub(row.statedAt)})
		}
	}
	return out
}

// announceAll announces all limits in force again.
func (l *statementTable) announceAll() {
	l.rows.All(func(p entity.ServerProcess, row *serverStatements) bool {
		if row.Stated {
			l.changes.addUnless(p, equalTo(p))
		}
		return true
	})
}

// limitsInForce returns all limits in force, for a message that is sent now.
func (l *statementTable) limitsInForce(now time.Time) []LimitStatement {
	var processes []entity.ServerProcess
	l.rows.All(func(p entity.ServerProcess, row *serverStatements) bool {
		if row.Stated {
			processes = append(processes, p)
		}
		return true
	})
	return l.statements(now, processes)
}

// recordLimit records what the answer to a request that was sent at the given time says of the
// limit of its server. An answer without a limit ends the limit if its request was sent after
// the limit was last stated: answers may overtake each other.
func (c *Core) recordLimit(now time.Time, p entity.ServerProcess, sentAt time.Time, limit RateLimit) {
	known := c.statements.inForce(p)
	if !limit.Stated && (known == nil || !sentAt.After(known.statedAt)) {
		return
	}
	if c.setLimit(now, p, limit, now, c.cfg.Self.Name) {
		c.statements.changes.drop(equalTo(p)) // what was acknowledged of it is older
		c.statements.changes.add(p)
	}
}

// receiveLimit applies a statement that another daemon knows, if it is newer than the one
// known here.
func (c *Core) receiveLimit(now time.Time, s *LimitStatement, from entity.InstanceID) {
	statedAt := now.Add(-s.Ago)
	known := c.statements.rows.Get(s.Process)
	if known != nil && s.Stated && known.Stated {
		known.refreshedAt = now
	}
	if known != nil && !statedAt.After(known.statedAt) {
		return
	}
	c.setLimit(now, s.Process, RateLimit{Stated: s.Stated, PerSecond: s.PerSecond}, statedAt, from)
}

// setLimit sets the newest statement of a process, as the given daemon got it, and reports
// whether it differs from the one before.
func (c *Core) setLimit(now time.Time, p entity.ServerProcess, limit RateLimit, statedAt time.Time, by entity.InstanceID) (changed bool) {
	row := c.statements.row(p)
	changed = row.RateLimit != limit
	if !row.Stated {
		row.since, row.refreshedAt = now, now
	}
	row.RateLimit, row.statedAt = limit, statedAt
	if !changed {
		return false
	}
	row.setPart(now, c.cfg.Self.Name, p.Server, c.statements.daemons)
	number := event.ServerLimitStated
	if !limit.Stated {
		number = event.ServerLimitEnded
	}
	c.logEvent(event.Event{Number: number, Backend: p.Server, Peer: by, Attrs: []event.Attr{event.A("per_second", limit.PerSecond), event.A("part", row.bucket.Rate())}})
	return true
}

// refreshLimit announces a limit again from time to time if this daemon has a part of it,
// and else drops it if no daemon has announced it for long: its end was not heard.
func (c *Core) refreshLimit(now time.Time, p entity.ServerProcess, row *serverLimit) {
	age := now.Sub(row.refreshedAt)
	switch {
	case !row.Stated:
	case row.bucket.Rate() > 0 && age >= limitRefreshInterval:
		row.refreshedAt = now
		c.statements.changes.addUnless(p, equalTo(p))
	case row.bucket.Rate() == 0 && age >= limitExpiryFactor*c.cfg.Bounds.ForgetPeerAfter:
		c.setLimit(now, p, RateLimit{}, now, c.cfg.Self.Name)
	}
}

// setPart sets a daemon's part of the limit of a server.
func (l *serverLimit) setPart(now time.Time, self entity.InstanceID, server entity.BackendServerID, daemons []entity.InstanceID) {
	part := 0.0
	if l.Stated {
		part = ratelimit.Part(self, daemons, server, l.PerSecond)
	}
	l.bucket.SetRate(now, part)
}

// acquaintanceTime is how long after its start a daemon may not know all others yet. It
// sends nothing to servers with limits before.
const acquaintanceTime = 3 * time.Second

// daemonsWithParts returns the daemons between which limits are shared: all that may be
// serving, those included that are silent at present.
func (c *Core) daemonsWithParts(now time.Time) []entity.InstanceID {
	var out []entity.InstanceID
	if !c.leaving && now.Sub(c.cfg.Started) >= acquaintanceTime {
		out = append(out, c.cfg.Self.Name)
	}
	c.peers.All(func(name entity.InstanceID, r *peerRow) bool {
		if c.mayServe(now, r) {
			out = append(out, name)
		}
		return true
	})
	return out
}

// updateLimits adapts the parts of limits to the daemons that there are, announces again
// those of which this daemon has a part, and drops the limits that nobody announces and what
// processes have stated that are not listed, or not any more.
func (c *Core) updateLimits(now time.Time) {
	c.statements.rows.All(func(p entity.ServerProcess, row *serverStatements) bool {
		c.refreshLimit(now, p, &row.serverLimit)
		c.logRestEnd(now, p, row)
		return true
	})
	c.forgetStatements(now)
	c.updateBrittle(now)
	daemons := c.daemonsWithParts(now)
	if slices.Equal(daemons, c.statements.daemons) {
		return
	}
	c.statements.daemons = daemons
	c.statements.rows.All(func(p entity.ServerProcess, row *serverStatements) bool {
		row.setPart(now, c.cfg.Self.Name, p.Server, daemons)
		return true
	})
}
