package exchange

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/capacity"
)

// ServerStatement is what a backend server says of itself in an answer.
type ServerStatement struct {
	Limit          RateLimit
	LimitUndefined bool // the answer states a limit that cannot be decoded: the former one stands
	Brittle        Brittleness
	// BrittleUndefined says that it states brittleness that cannot be decoded: the former
	// statement stands.
	BrittleUndefined bool
	Leaving          bool // it leaves, and must get no further requests
	// Rest is how long the server, which has turned the request away, wants none from this
	// daemon; 0: it says nothing of the kind.
	Rest time.Duration
}

// serverStatements is what a process of a backend server has said of itself. Entries of the
// process, older or newer, do not change it.
type serverStatements struct {
	serverLimit
	brittle   serverBrittleness
	leavingAt time.Time // when it said that it leaves; zero: it has not
	rest      serverRest
}

// serverRest is the time for which a process wants no requests from this daemon. It does not
// bind others, and is not told to them.
type serverRest struct {
	askedAt time.Time // when it last asked for a rest; zero: never
	until   time.Time // the latest end that it asked for
	ended   bool      // the end has been logged
}

// newest returns when the process last made a statement that is kept, or when the last rest
// that it asked for ends.
func (s *serverStatements) newest() time.Time {
	newest := s.statedAt
	for _, at := range []time.Time{s.leavingAt, s.rest.until, s.brittle.statedAt} {
		if at.After(newest) {
			newest = at
		}
	}
	return newest
}

// LeavingStatement says that a process has said that it leaves.
type LeavingStatement struct {
	Process entity.ServerProcess `cbor:"1,keyasint"`
	Ago     time.Duration        `cbor:"2,keyasint,omitempty"` // from the answer to the sending of the message
}

// statementTable holds what backend servers have said of themselves in answers, to this daemon
// or to others.
type statementTable struct {
	rows        *entity.Table[entity.ServerProcess, serverStatements]
	newest      *entity.Table[entity.BackendServerID, int64]      // start of the newest process that has made a statement
	daemons     []entity.InstanceID                               // between which the limits are shared
	changes     announcements[entity.ServerProcess]               // whose newest limit is to be announced
	leaving     announcements[entity.ServerProcess]               // that have told this daemon that they leave, to be announced
	brittleNews announcements[entity.ServerProcess]               // whose newest statement on brittleness is to be announced
	brittle     *entity.Table[entity.ServiceName, brittleService] // whose servers are brittle
	withheld    *entity.Table[entity.ServiceName, capacity.Level] // number of servers that the capacity plan does not count
	returnAt    *entity.Table[entity.ServiceName, time.Time]      // when the request that was rejected last was told to come back
}

func newStatementTable() statementTable {
	return statementTable{
		rows:     entity.NewTable[entity.ServerProcess, serverStatements](),
		newest:   entity.NewTable[entity.BackendServerID, int64](),
		brittle:  entity.NewTable[entity.ServiceName, brittleService](),
		withheld: entity.NewTable[entity.ServiceName, capacity.Level](),
		returnAt: entity.NewTable[entity.ServiceName, time.Time](),
	}
}

// row returns the statements of a process, which may be none yet.
func (l *statementTable) row(p entity.ServerProcess) *serverStatements {
	newest := l.newest.GetOrPut(p.Server)
	*newest = max(*newest, p.Born)
	return l.rows.GetOrPut(p)
}

// forget drops what a process has said.
func (l *statementTable) forget(p entity.ServerProcess) {
	l.rows.Delete(p)
	if newest := l.newest.Get(p.Server); newest != nil && *newest == p.Born {
		l.newest.Delete(p.Server)
	}
}

// newestOf returns the process that an entry stands for. An entry that names a former process, or lacks the start,
// stands for the newest process under its ID that has made a statement.
func (l *statementTable) newestOf(p entity.ServerProcess) entity.ServerProcess {
	if newest := l.newest.Get(p.Server); newest != nil && p.Born < *newest {
		p.Born = *newest
	}
	return p
}

// saidLeaving reports whether a process has said that it leaves.
func (l *statementTable) saidLeaving(p entity.ServerProcess) bool {
	row := l.rows.Get(p)
	return row != nil && !row.leavingAt.IsZero()
}

// leaves reports whether a process, or the newest one under its ID, has said that it leaves.
func (l *statementTable) leaves(p entity.ServerProcess) bool {
	return l.saidLeaving(p) || l.saidLeaving(l.newestOf(p))
}

// leavingStatements returns what processes have said that leave, for a message that is sent now.
func (l *statementTable) leavingStatements(now time.Time, processes []entity.ServerProcess) []LeavingStatement {
	var out []LeavingStatement
	for _, p := range processes {
		if l.saidLeaving(p) {
			out = append(out, LeavingStatement{Process: p, Ago: now.Sub(l.rows.Get(p).leavingAt)})
		}
	}
	return out
}

// announceLeaving announces all processes again that have said that they leave.
func (l *statementTable) announceLeaving() {
	for _, p := range l.rows.Keys() {
		if l.saidLeaving(p) {
			l.leaving.addUnless(p, equalTo(p))
		}
	}
}

// RecordStatement records what an answer to the present attempt of a request says of its
// backend server. Genuine says that it is the answer of a run, in which a limit that is not
// stated has ended.
func (c *Core) RecordStatement(now time.Time, t *Ticket, s ServerStatement, genuine bool) {
	c.recordStatement(now, t.process, t.sentAt, s, genuine)
}

// recordStatement records what a process says of itself in the answer to a request that was sent
// at the given time.
func (c *Core) recordStatement(now time.Time, p entity.ServerProcess, sentAt time.Time, s ServerStatement, genuine bool) {
	p = c.answeringProcess(now, p, sentAt)
	if s.Limit.Stated || genuine && !s.LimitUndefined {
		c.recordLimit(now, p, sentAt, s.Limit)
	}
	if s.Brittle.Stated || genuine && !s.BrittleUndefined {
		c.recordBrittle(now, p, sentAt, s.Brittle)
	}
	if s.Leaving && c.setLeaving(now, p, now, c.cfg.Self.Name) {
		c.statements.leaving.add(p)
	}
	if s.Rest > 0 {
		c.setRest(now, p, now, now.Add(s.Rest))
	}
}

// answeringProcess returns the process that answered a request which was sent at the given time to what
// was taken for the process p: the next one under its ID, if that had started before and its entry was
// read later.
func (c *Core) answeringProcess(now time.Time, p entity.ServerProcess, sentAt time.Time) entity.ServerProcess {
	row := c.servers.Get(p.Server)
	if row == nil || row.Born <= p.Born || !c.trueTimeKnown || !sentAt.After(c.startedAt(now, row.Born).Add(bornMargin)) {
		return p
	}
	return row.process()
}

// setRest records that a process asked at the given time for a rest until another one. An
// earlier request for a longer rest stands.
func (c *Core) setRest(now time.Time, p entity.ServerProcess, at, until time.Time) {
	rest := &c.statements.row(p).rest
	rest.askedAt = at
	if !until.After(rest.until) {
		return
	}
	known := now.Before(rest.until)
	rest.until, rest.ended = until, false
	if !known {
		c.logEvent(event.Event{Number: event.ServerRestStated, Backend: p.Server, Attrs: []event.Attr{
			event.A("born", p.Born), event.A("rest_ms", until.Sub(now).Milliseconds()),
		}})
	}
}

// resting reports whether a process, or the newest one under its ID, wants no requests from this daemon now, and
// until when. A rest that has ended is returned with false.
func (l *statementTable) resting(now time.Time, p entity.ServerProcess) (until time.Time, resting bool) {
	for _, process := range []entity.ServerProcess{p, l.newestOf(p)} {
		if row := l.rows.Get(process); row != nil && row.rest.until.After(until) {
			until = row.rest.until
		}
	}
	return until, now.Before(until)
}

// wantsNone reports whether a process has said that it wants no requests from this daemon now: it
// leaves or rests.
func (l *statementTable) wantsNone(now time.Time, p entity.ServerProcess) bool {
	_, resting := l.resting(now, p)
	return resting || l.leaves(p)
}

// logRestEnd logs once that a process may get requests again.
func (c *Core) logRestEnd(now time.Time, p entity.ServerProcess, row *serverStatements) {
	if row.rest.askedAt.IsZero() || row.rest.ended || now.Before(row.rest.until) {
		return
	}
	row.rest.ended = true
	c.logEvent(event.Event{Number: event.ServerRestEnded, Backend: p.Server, Attrs: []event.Attr{event.A("born", p.Born)}})
}

// setLeaving records that a process said at the given time, to the given daemon, that it leaves.
// It reports whether that is new.
func (c *Core) setLeaving(now time.Time, p entity.ServerProcess, at time.Time, by entity.InstanceID) bool {
	if c.statements.leaves(p) {
		return false
	}
	c.statements.row(p).leavingAt = at
	c.logEvent(event.Event{Number: event.ServerLeavingStated, Backend: p.Server, Peer: by, Attrs: []event.Attr{
		event.A("born", p.Born), event.A("age_ms", now.Sub(at).Milliseconds()),
	}})
	return true
}

// receiveLeaving applies what another daemon has learned of a process.
func (c *Core) receiveLeaving(now time.Time, s *LeavingStatement, from entity.InstanceID) {
	c.setLeaving(now, s.Process, now.Add(-s.Ago), from)
}

// inheritStatements applies to a process what was taken for a statement of the former process
// under its ID, if it had started before: its entry was read later than its answer.
func (c *Core) inheritStatements(now time.Time, former, process entity.ServerProcess) {
	old := c.statements.rows.Get(former)
	if old == nil || !c.trueTimeKnown {
		return
	}
	started := c.startedAt(now, process.Born).Add(bornMargin)
	if old.leavingAt.After(started) {
		c.setLeaving(now, process, old.leavingAt, c.cfg.Self.Name)
	}
	if old.rest.askedAt.After(started) {
		c.setRest(now, process, old.rest.askedAt, old.rest.until)
	}
}

// leavingRetention is how long it is remembered at least that a process has said that it leaves. Its
// entry may lapse and return while it goes on serving.
const leavingRetention = 10 * time.Minute

// forgetStatements drops what processes have stated that are not listed, or not any more.
func (c *Core) forgetStatements(now time.Time) {
	for _, p := range c.statements.rows.Keys() {
		row := c.servers.Get(p.Server)
		current := row != nil && (row.process() == p || c.statements.newestOf(row.process()) == p)
		retention := c.cfg.Bounds.ForgetServerAfter
		if c.statements.saidLeaving(p) {
			retention = max(retention, leavingRetention)
		}
		if current || now.Sub(c.statements.rows.Get(p).newest()) <= retention {
			continue
		}
		if c.statements.saidLeaving(p) {
			c.logEvent(event.Event{Number: event.ServerLeavingEnded, Backend: p.Server, Attrs: []event.Attr{event.A("born", p.Born)}})
		}
		c.statements.forget(p)
	}
}

// inService reports whether a process neither drains nor has said that it leaves.
func (c *Core) inService(r *serverRow) bool {
	return r.State == Ready && !c.statements.leaves(r.process())
}

// mayReceive reports whether a backend server may get a request from this daemon now, and
// leaves the given number of saved requests of its limit at least.
func (c *Core) mayReceive(now time.Time, id entity.BackendServerID, saved float64) bool {
	return c.usable(now, id) && !c.restsNow(now, id) && c.withinLimit(now, id, saved) && c.hasPlace(now, id)
}

// restsNow reports whether a backend server wants no requests from this daemon now.
func (c *Core) restsNow(now time.Time, id entity.BackendServerID) bool {
	if c.statements.rows.Len() == 0 {
		return false
	}
	row := c.servers.Get(id)
	if row == nil {
		return false
	}
	_, resting := c.statements.resting(now, row.process())
	return resting
}

// MaySend reports whether the present attempt of a request, for which a connection has just
// been opened, may still be sent: the server may have ended meanwhile, or said, in answer to another
// request, that it leaves or wants none, or the request may continue a stream whose version the
// process at the other end is not known to have. Since is the time from when on this connection, or
// others that were open when the next was opened, have reached the same process.
func (c *Core) MaySend(now time.Time, t *Ticket, since time.Time) bool {
	c.noteConnection(t, since)
	if t.continues() && !c.provesProcess(now, since) {
		t.origin.doubt = doubtUnproved
		c.logContinuation(event.StreamVersionUnknown, t, t.process.Server)
		return false
	}
	return !c.hasEnded(now, t.process) && !c.wantsNone(now, t.process)
}

// hasEnded reports whether a process drains or has gone, or the next one under its ID has, as far as is
// known.
func (c *Core) hasEnded(now time.Time, p entity.ServerProcess) bool {
	row := c.servers.Get(p.Server)
	return row != nil && row.Born >= p.Born && !c.usable(now, p.Server)
}

// wantsNone reports whether a process, or a newer one under its ID, has said that it wants no requests
// from this daemon now.
func (c *Core) wantsNone(now time.Time, p entity.ServerProcess) bool {
	if c.statements.wantsNone(now, p) {
		return true
	}
	row := c.servers.Get(p.Server)
	return row != nil && row.Born > p.Born && c.statements.wantsNone(now, row.process())
}

// StatementCounts are the numbers of backend servers that have said something of themselves that
// holds now.
type StatementCounts struct {
	Leaving int
	Resting int // want no requests from this daemon
	Limited int
	Brittle int // those of services with a server that says it
}

// CountStatements counts what the backend servers have said of themselves.
func (c *Core) CountStatements(now time.Time) StatementCounts {
	var out StatementCounts
	c.servers.All(func(id entity.BackendServerID, r *serverRow) bool {
		for _, s := range []struct {
			holds bool
			count *int
		}{
			{c.statements.leaves(r.process()), &out.Leaving},
			{c.restsNow(now, id), &out.Resting},
			{c.statements.inForce(r.process()) != nil, &out.Limited},
			{c.statements.brittle.Get(r.Service) != nil, &out.Brittle},
		} {
			if s.holds {
				*s.count++
			}
		}
		return true
	})
	return out
}

// restSpread is the time over which the requests come back that were rejected during one rest
// of all servers.
const restSpread = 500 * time.Millisecond

// firstRestEnd returns when the first server of a service wants requests again that is usable
// but for its rest, and whether there is any.
func (c *Core) firstRestEnd(now time.Time, service entity.ServiceName) (first time.Time, found bool) {
	c.servers.All(func(id entity.BackendServerID, row *serverRow) bool {
		until, resting := c.statements.resting(now, row.process())
		if row.Service == service && resting && c.usable(now, id) && (!found || until.Before(first)) {
			first, found = until, true
		}
		return true
	})
	return first, found
}

// rejectResting rejects a request to whose service's servers all want none for a while, or
// returns nil if none of them does.
func (c *Core) rejectResting(now time.Time, t *Ticket) *Refusal {
	first, found := c.firstRestEnd(now, t.Service)
	if !found {
		return nil
	}
	spread := time.Duration(c.cfg.Rand.Float64() * float64(restSpread))
	r := c.finalRefusal(t, "resting", max(first.Sub(now), minRetryDelay)+spread)
	r.Inputs = fmt.Sprintf("first server wants requests again in %v", first.Sub(now).Round(time.Millisecond))
	return r
}
