package exchange

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/ratelimit"
)

// At times the backend servers of a service are brittle and say so in all their answers: they let
// fewer requests wait, and fall over when they have to turn too many away within a second. While any
// of its servers says so, all daemons together have no more requests at each server of a service
// than it has slots, and half as many more as it may turn away within a second. These places are
// shared out between the daemons as limits are. A daemon that is turned away uses none of its places
// there for a second: so a server turns no more away within a second than there are places beyond its
// slots.

// Brittleness is what a backend server's answer says of how it stands rejections.
type Brittleness struct {
	Stated        bool // it is brittle
	MaxRejections int  // rejections for want of room within a second that it stands
}

// BrittleStatement is the newest statement of a process that a daemon knows.
type BrittleStatement struct {
	Process       entity.ServerProcess `cbor:"1,keyasint"`
	Service       entity.ServiceName   `cbor:"2,keyasint,omitempty"`
	Stated        bool                 `cbor:"3,keyasint,omitempty"` // it is brittle; else it is not any more
	MaxRejections int                  `cbor:"4,keyasint,omitempty"`
	Ago           time.Duration        `cbor:"5,keyasint,omitempty"` // from the answer to the sending of the message
	// RejectedAgo is the time since the process last turned a request of the sender away; 0: it
	// has not of late.
	RejectedAgo time.Duration `cbor:"6,keyasint,omitempty"`
}

// serverBrittleness is the newest statement of a backend server's process.
type serverBrittleness struct {
	Brittleness
	service     entity.ServiceName
	statedAt    time.Time // when the newest answer with this statement arrived
	announcedAt time.Time // when this daemon last announced it
	rejectedAt  time.Time // when the process last turned a request of this daemon away
	// heard has when it last turned requests of other daemons away, as these have said.
	heard map[entity.InstanceID]time.Time
}

const (
	// brittleRefreshInterval is the time between two announcements of a statement that holds, by
	// daemons that get it in answers.
	brittleRefreshInterval = 5 * time.Second
	// brittleExpiryFactor is the time, in multiples of the one after which silent daemons are
	// forgotten, after which a statement ends that no daemon announces.
	brittleExpiryFactor = 3
	// rejectionPause is how long a daemon sends a brittle server nothing after it was turned away
	// there: the time over which rejections are counted.
	rejectionPause = time.Second
	// cautiousShare is the part of its places there that a daemon uses while it hears of more
	// daemons that have been turned away within a second than there are places beyond the slots:
	// not all know of each other then.
	cautiousShare = 0.5
	// fallsToTighten is the number of servers of a service that must have fallen in one time in
	// which they are brittle for tightenedShare of their slots to be used for the rest of it.
	fallsToTighten = 2
	tightenedShare = 0.5
	// riskedShare is the part of the rejections that a server stands within a second for which
	// there are places beyond its slots. The rest is for daemons that do not know of each other.
	riskedShare = 0.5
)

// brittleService is a service whose servers are brittle at present.
type brittleService struct {
	falls      int // of servers
	rejections int // that each server stands within a second
}

// recordBrittle records what the answer to a request that was sent at the given time says. An answer
// without the statement ends it if its request was sent after the newest one with it.
func (c *Core) recordBrittle(now time.Time, p entity.ServerProcess, sentAt time.Time, b Brittleness) {
	known := c.statements.rows.Get(p)
	if !b.Stated && (known == nil || !known.brittle.Stated || !sentAt.After(known.brittle.statedAt)) {
		return
	}
	service := c.statements.row(p).brittle.service
	if row := c.servers.Get(p.Server); row != nil {
		service = row.Service
	} // else its last answers come after its entry was removed
	changed := c.setBrittle(now, &BrittleStatement{Process: p, Service: service, Stated: b.Stated, MaxRejections: b.MaxRejections}, c.cfg.Self.Name)
	if row := &c.statements.row(p).brittle; changed || b.Stated && now.Sub(row.announcedAt) >= brittleRefreshInterval {
		row.announcedAt = now
		c.statements.brittleNews.drop(equalTo(p)) // what was acknowledged of it is older
		c.statements.brittleNews.add(p)
	}
}

// receiveBrittle applies a statement that another daemon knows, if it is newer than the one known
// here.
func (c *Core) receiveBrittle(now time.Time, s *BrittleStatement, from entity.InstanceID) {
	known := c.statements.rows.Get(s.Process)
	if known == nil || now.Add(-s.Ago).After(known.brittle.statedAt) {
		c.setBrittle(now, s, from)
	}
	if s.RejectedAgo == 0 {
		return
	}
	row := &c.statements.row(s.Process).brittle
	if row.heard == nil {
		row.heard = map[entity.InstanceID]time.Time{}
	}
	row.heard[from] = now.Add(-s.RejectedAgo)
}

// setBrittle sets the newest statement of a process, as the given daemon got it, and reports whether
// it differs from the one before.
func (c *Core) setBrittle(now time.Time, s *BrittleStatement, by entity.InstanceID) (changed bool) {
	row := &c.statements.row(s.Process).brittle
	next := Brittleness{Stated: s.Stated, MaxRejections: s.MaxRejections}
	changed = row.Brittleness != next
	row.Brittleness, row.service, row.statedAt = next, s.Service, now.Add(-s.Ago)
	if !changed {
		return false
	}
	number := event.ServerBrittleStated
	if !s.Stated {
		number = event.ServerBrittleEnded
	}
	c.logEvent(event.Event{Number: number, Backend: s.Process.Server, Service: s.Service, Peer: by, Attrs: []event.Attr{
		event.A("born", s.Process.Born), event.A("rejections", s.MaxRejections), event.A("age_ms", s.Ago.Milliseconds()),
	}})
	c.updateBrittle(now)
	return true
}

// brittleStatements returns the newest statements of processes, for a message that is sent now.
func (l *statementTable) brittleStatements(now time.Time, processes []entity.ServerProcess) []BrittleStatement {
	var out []BrittleStatement
	for _, p := range processes {
		if row := l.rows.Get(p); row != nil && !row.brittle.statedAt.IsZero() {
			b := &row.brittle
			s := BrittleStatement{Process: p, Service: b.service, Stated: b.Stated, MaxRejections: b.MaxRejections, Ago: now.Sub(b.statedAt)}
			if ago := now.Sub(b.rejectedAt); ago < rejectionPause {
				s.RejectedAgo = max(ago, 1)
			}
			out = append(out, s)
		}
	}
	return out
}

// brittleProcesses returns all processes that are brittle.
func (l *statementTable) brittleProcesses() []entity.ServerProcess {
	var out []entity.ServerProcess
	l.rows.All(func(p entity.ServerProcess, row *serverStatements) bool {
		if row.brittle.Stated {
			out = append(out, p)
		}
		return true
	})
	return out
}

// announceBrittle announces all processes again that are brittle.
func (l *statementTable) announceBrittle() {
	for _, p := range l.brittleProcesses() {
		l.brittleNews.addUnless(p, equalTo(p))
	}
}

// updateBrittle finds the services whose servers are brittle: those with a process that says so, or
// did so a while ago and has gone since. Processes that start while others are brittle are so, too.
func (c *Core) updateBrittle(now time.Time) {
	if c.statements.rows.Len() == 0 && c.statements.brittle.Len() == 0 {
		return
	}
	holding := map[entity.ServiceName]int{} // rejections that the least of its servers stands
	c.statements.rows.All(func(p entity.ServerProcess, row *serverStatements) bool {
		b := &row.brittle
		if !b.Stated {
			return true
		}
		server := c.servers.Get(p.Server)
		limit := c.cfg.Bounds.ForgetServerAfter
		if server != nil && server.process() == p && server.diedAt.IsZero() {
			limit = brittleExpiryFactor * c.cfg.Bounds.ForgetPeerAfter
		}
		if now.Sub(b.statedAt) < limit {
			if least, known := holding[b.service]; !known || b.MaxRejections < least {
				holding[b.service] = b.MaxRejections
			}
		}
		return true
	})
	for service, rejections := range holding {
		if c.statements.brittle.Get(service) == nil {
			c.statements.brittle.Put(service, &brittleService{})
		}
		c.statements.brittle.Get(service).rejections = rejections
	}
	for _, service := range c.statements.brittle.Keys() {
		if _, holds := holding[service]; !holds {
			c.statements.brittle.Delete(service)
		}
	}
}

// countFall counts the death of a server that was brittle.
func (c *Core) countFall(p entity.ServerProcess) {
	row := c.statements.rows.Get(p)
	if row == nil || !row.brittle.Stated {
		return
	}
	if s := c.statements.brittle.Get(row.brittle.service); s != nil {
		s.falls++
	}
}

// tightened reports whether so many of the servers have fallen that the others get less.
func (s *brittleService) tightened() bool { return s.falls >= fallsToTighten }

// placesBeyondSlots returns how many places a server has beside its slots.
func (s *brittleService) placesBeyondSlots() int { return int(riskedShare * float64(s.rejections)) }

// places returns how many requests of this daemon may be in progress at a server of a brittle
// service.
func (c *Core) places(s *brittleService, r *serverRow) int {
	places := max(r.Slots, 1) + s.placesBeyondSlots()
	if s.tightened() {
		places = max(int(tightenedShare*float64(r.Slots)), 1)
	}
	return ratelimit.Slots(c.cfg.Self.Name, c.statements.daemons, r.ID, places)
}

// heardOf returns how many other daemons have said that the process turned them away within the last
// second.
func (b *serverBrittleness) heardOf(now time.Time) int {
	n := 0
	for _, at := range b.heard {
		if now.Sub(at) < rejectionPause {
			n++
		}
	}
	return n
}

// placesNow is places, after rejections that this daemon or another one has met.
func (c *Core) placesNow(now time.Time, s *brittleService, r *serverRow) int {
	places := c.places(s, r)
	said := c.statements.rows.Get(r.process())
	switch {
	case said == nil:
		return places
	case now.Sub(said.brittle.rejectedAt) < rejectionPause:
		return 0
	case said.brittle.heardOf(now) > s.placesBeyondSlots():
		return int(cautiousShare * float64(places))
	default:
		return places
	}
}

// hasPlace reports whether a backend server that is brittle has a place for a further request of
// this daemon. Others always have.
func (c *Core) hasPlace(now time.Time, id entity.BackendServerID) bool {
	if c.statements.brittle.Len() == 0 {
		return true
	}
	row := c.servers.Get(id)
	if row == nil {
		return true
	}
	s := c.statements.brittle.Get(row.Service)
	if s == nil {
		return true
	}
	return c.placer.OwnRequests(id) < c.placesNow(now, s, row)
}

// recordBrittleRejection records that a server has turned a request of this daemon away, and tells
// the others.
func (c *Core) recordBrittleRejection(now time.Time, p entity.ServerProcess) {
	if row := c.statements.rows.Get(p); row != nil && row.brittle.Stated {
		row.brittle.rejectedAt = now
		c.statements.brittleNews.drop(equalTo(p)) // what was acknowledged of it is older
		c.statements.brittleNews.add(p)
	}
}

const (
	// minPlaceDelay and placeDelaySpread bound the times after which requests come back that found
	// no place at a brittle server.
	minPlaceDelay    = 300 * time.Millisecond
	placeDelaySpread = 900 * time.Millisecond
)

// rejectBrittle rejects a request for which this daemon has no place at the servers of a brittle
// service, or returns nil if that is not the reason.
func (c *Core) rejectBrittle(now time.Time, t *Ticket) *Refusal {
	s := c.statements.brittle.Get(t.Service)
	if s == nil {
		return nil
	}
	servers, places := 0, 0
	c.servers.All(func(id entity.BackendServerID, row *serverRow) bool {
		if row.Service == t.Service && c.usable(now, id) && !c.hasPlace(now, id) {
			servers++
			places += c.places(s, row)
		}
		return true
	})
	if servers == 0 {
		return nil
	}
	r := c.finalRefusal(t, "brittle", minPlaceDelay+time.Duration(c.cfg.Rand.Float64()*float64(placeDelaySpread)))
	r.Inputs = fmt.Sprintf("%d brittle servers, all %d places of this daemon in use, %d have fallen", servers, places, s.falls)
	return r
}
