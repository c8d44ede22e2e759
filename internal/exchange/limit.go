package exchange

import (
	"fmt"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/capacity"
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
	bucket   ratelimit.Bucket
}

// limitTable holds the limits that backend servers have stated.
type limitTable struct {
	rows     *entity.Table[entity.ServerProcess, serverLimit]
	daemons  []entity.InstanceID                               // between which the limits are shared
	changes  announcements[entity.ServerProcess]               // whose newest statement is to be announced
	withheld *entity.Table[entity.ServiceName, capacity.Level] // number of servers that the capacity plan does not count
	returnAt *entity.Table[entity.ServiceName, time.Time]      // when the request that was rejected last was told to come back
}

func newLimitTable() limitTable {
	return limitTable{
		rows:     entity.NewTable[entity.ServerProcess, serverLimit](),
		withheld: entity.NewTable[entity.ServiceName, capacity.Level](),
		returnAt: entity.NewTable[entity.ServiceName, time.Time](),
	}
}

// inForce returns the limit of a process, nil if it states none.
func (l *limitTable) inForce(p entity.ServerProcess) *serverLimit {
	if row := l.rows.Get(p); row != nil && row.Stated {
		return row
	}
	return nil
}

// statements returns the newest statements of processes, for a message that is sent now.
func (l *limitTable) statements(now time.Time, processes []entity.ServerProcess) []LimitStatement {
	var out []LimitStatement
	for _, p := range processes {
		if row := l.rows.Get(p); row != nil {
			out = append(out, LimitStatement{Process: p, Stated: row.Stated, PerSecond: row.PerSecond, Ago: now.Sub(row.statedAt)})
		}
	}
	return out
}

// announceAll announces all limits in force again.
func (l *limitTable) announceAll() {
	l.rows.All(func(p entity.ServerProcess, row *serverLimit) bool {
		if row.Stated {
			l.changes.addOnce(p)
		}
		return true
	})
}

// limitsInForce returns all limits in force, for a message that is sent now.
func (l *limitTable) limitsInForce(now time.Time) []LimitStatement {
	var processes []entity.ServerProcess
	l.rows.All(func(p entity.ServerProcess, row *serverLimit) bool {
		if row.Stated {
			processes = append(processes, p)
		}
		return true
	})
	return l.statements(now, processes)
}

// RecordLimit records what an answer to the present attempt of a request says of the
// server's limit. An answer without a limit ends the limit if its request was sent after
// the limit was last stated: answers may overtake each other.
func (c *Core) RecordLimit(now time.Time, t *Ticket, limit RateLimit) {
	known := c.limits.inForce(t.process)
	if !limit.Stated && (known == nil || !t.sentAt.After(known.statedAt)) {
		return
	}
	if c.setLimit(now, t.process, limit, now, c.cfg.Self.Name) {
		c.limits.changes.drop(func(p entity.ServerProcess) bool { return p == t.process }) // what was acknowledged of it is older
		c.limits.changes.add(t.process)
	}
}

// receiveLimit applies a statement that another daemon knows, if it is newer than the one
// known here.
func (c *Core) receiveLimit(now time.Time, s *LimitStatement, from entity.InstanceID) {
	statedAt := now.Add(-s.Ago)
	if known := c.limits.rows.Get(s.Process); known != nil && !statedAt.After(known.statedAt) {
		return
	}
	c.setLimit(now, s.Process, RateLimit{Stated: s.Stated, PerSecond: s.PerSecond}, statedAt, from)
}

// setLimit sets the newest statement of a process, as the given daemon got it, and reports
// whether it differs from the one before.
func (c *Core) setLimit(now time.Time, p entity.ServerProcess, limit RateLimit, statedAt time.Time, by entity.InstanceID) (changed bool) {
	row := c.limits.rows.Get(p)
	if row == nil {
		row = &serverLimit{}
		c.limits.rows.Put(p, row)
	}
	changed = row.RateLimit != limit
	if !row.Stated {
		row.since = now
	}
	row.RateLimit, row.statedAt = limit, statedAt
	if !changed {
		return false
	}
	row.setPart(now, c.cfg.Self.Name, p.Server, c.limits.daemons)
	number := event.ServerLimitStated
	if !limit.Stated {
		number = event.ServerLimitEnded
	}
	c.logEvent(event.Event{Number: number, Backend: p.Server, Peer: by, Attrs: []event.Attr{event.A("per_second", limit.PerSecond), event.A("part", row.bucket.Rate())}})
	return true
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

// updateLimits adapts the parts of limits to the daemons that there are, and drops the
// limits of processes that are not listed, or not any more.
func (c *Core) updateLimits(now time.Time) {
	for _, p := range c.limits.rows.Keys() {
		row := c.servers.Get(p.Server)
		current := row != nil && row.process() == p
		if !current && now.Sub(c.limits.rows.Get(p).statedAt) > c.cfg.Bounds.ForgetServerAfter {
			c.limits.rows.Delete(p)
		}
	}
	daemons := c.daemonsWithParts(now)
	if slices.Equal(daemons, c.limits.daemons) {
		return
	}
	c.limits.daemons = daemons
	c.limits.rows.All(func(p entity.ServerProcess, row *serverLimit) bool {
		row.setPart(now, c.cfg.Self.Name, p.Server, daemons)
		return true
	})
}

// withinLimit reports whether a backend server's limit allows a request from this daemon
// now, and leaves the given number of saved requests at least.
func (c *Core) withinLimit(now time.Time, id entity.BackendServerID, saved float64) bool {
	limit := c.limitOf(id)
	if limit == nil {
		return true
	}
	wait, ok := limit.bucket.Wait(now, 1+saved)
	return ok && wait == 0
}

// limitOf returns the limit of a backend server, nil if it states none.
func (c *Core) limitOf(id entity.BackendServerID) *serverLimit {
	if c.limits.rows.Len() == 0 {
		return nil
	}
	row := c.servers.Get(id)
	if row == nil {
		return nil
	}
	return c.limits.inForce(row.process())
}

// limitedServers sums up the backend servers of a service that are usable but for their
// limits.
type limitedServers struct {
	count     int
	perSecond float64       // sum of the limits
	part      float64       // sum of this daemon's parts
	wait      time.Duration // until the first of them may get a request from this daemon, if it has any part
}

func (c *Core) limitedServers(now time.Time, service entity.ServiceName) limitedServers {
	var out limitedServers
	c.servers.All(func(id entity.BackendServerID, row *serverRow) bool {
		limit := c.limits.inForce(row.process())
		if row.Service != service || limit == nil || !c.usable(now, id) {
			return true
		}
		out.count++
		out.perSecond += limit.PerSecond
		if wait, ok := limit.bucket.Wait(now, 1); ok {
			if out.part == 0 || wait < out.wait {
				out.wait = wait
			}
			out.part += limit.bucket.Rate()
		}
		return true
	})
	return out
}

// rejectLimited rejects a request that the limits of a service's servers leave no room
// for. The times to come back are as far apart as the requests that each daemon may send
// on average, as callers come back to any of them.
func (c *Core) rejectLimited(now time.Time, t *Ticket, s limitedServers) *Refusal {
	interval := maxRetryDelay
	if s.perSecond > 0 {
		interval = min(secondsToDuration(float64(max(len(c.limits.daemons), 1))/s.perSecond), maxRetryDelay)
	}
	first := interval
	if s.part > 0 {
		first = s.wait
	}
	at := now.Add(first)
	if last := c.limits.returnAt.Get(t.Service); last != nil && last.Add(interval).After(at) {
		at = last.Add(interval)
	}
	if latest := now.Add(maxRetryDelay); at.After(latest) {
		at = latest
	}
	c.limits.returnAt.Put(t.Service, &at)
	r := c.finalRefusal(t, "limited", boundRetryDelay(at.Sub(now)))
	r.Inputs = fmt.Sprintf("%d servers with limits of %.2f requests/s, this daemon's part %.2f", s.count, s.perSecond, s.part)
	return r
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// minLimitDuration is how long a limit must have been in force for the capacity plan to
// make up for it.
const minLimitDuration = 2 * time.Second

// withheldServers returns how many servers of a service, by the requests that they would
// get otherwise, are withheld by their limits.
func (c *Core) withheldServers(now time.Time, service entity.ServiceName) float64 {
	listed, withheld := 0, 0.0
	var limits []float64
	c.servers.All(func(_ entity.BackendServerID, row *serverRow) bool {
		if row.Service != service || !row.listed || row.State != Ready {
			return true
		}
		listed++
		if limit := c.limits.inForce(row.process()); limit != nil && now.Sub(limit.since) >= minLimitDuration {
			limits = append(limits, limit.PerSecond)
		}
		return true
	})
	if len(limits) == 0 {
		return 0
	}
	usual := c.Demand(now, service).Requests / float64(listed)
	for _, perSecond := range limits {
		if perSecond < usual {
			withheld += 1 - perSecond/usual
		}
	}
	return withheld
}

// withheldLevel returns the level of withheld servers that a service's capacity is planned
// with.
func (l *limitTable) withheldLevel(service entity.ServiceName) *capacity.Level {
	level := l.withheld.Get(service)
	if level == nil {
		level = &capacity.Level{}
		l.withheld.Put(service, level)
	}
	return level
}
