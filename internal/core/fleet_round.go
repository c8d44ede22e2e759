package core

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
)

const (
	// roundInterval is the time between a planner's questions to all daemons
	// in a small system.
	roundInterval = 5 * time.Second
	// roundShare, times the number of daemons, is the time in a larger system,
	// so that a planner sends no more than 20 questions a second.
	roundShare = 50 * time.Millisecond
	// loadRounds is how many rounds the last word of a silent daemon counts.
	loadRounds = 3
	// idleRounds is how many rounds in a row all daemons must find a backend
	// server idle. A request that moves between two daemons may be missed by
	// one round, but not by both.
	idleRounds = 2
)

// fleetRounds is a planner's knowledge of all daemons, got by asking them.
type fleetRounds struct {
	at     time.Time // of the next round
	number uint32
	loads  *entity.Table[loadKey, loadRow]
	drains *entity.Table[entity.BackendServerID, drainRow]
}

// loadKey names one daemon's load of one service.
type loadKey struct {
	daemon  entity.InstanceID
	service entity.ServiceName
}

// loadRow is a daemon's last word.
type loadRow struct {
	ServiceLoad
	at time.Time
}

// drainRow is a backend server that is being drained for good.
type drainRow struct {
	instance entity.InstanceID
	asked    bool // named in the present round
	idle     []entity.InstanceID
	rounds   int // rounds in a row in which all daemons found it idle
}

// newFleetRounds returns the state of a daemon that plans nothing.
func newFleetRounds() fleetRounds {
	return fleetRounds{
		loads:  entity.NewTable[loadKey, loadRow](),
		drains: entity.NewTable[entity.BackendServerID, drainRow](),
	}
}

// drainInstance starts to drain the backend server on an instance.
func (c *Core) drainInstance(i entity.InstanceID) {
	b := c.hostedBy(i)
	if c.fleet.rounds.drains.Get(b) == nil {
		c.fleet.rounds.drains.Put(b, &drainRow{instance: i})
	}
	c.backendLeaving(BackendLeaving{Backend: b, Reason: "drained by the planner", Leaving: true})
}

// draining reports whether this daemon drains a backend server for good.
func (c *Core) draining(b entity.BackendServerID) bool { return c.fleet.rounds.drains.Get(b) != nil }

// runRounds ends a round and starts the next when it is due. A daemon that
// plans nothing any more forgets what it knew.
func (c *Core) runRounds() {
	f := &c.fleet.rounds
	if !c.Fleet.Holding() {
		if f.loads.Len()+f.drains.Len() > 0 {
			c.fleet.rounds = newFleetRounds()
		}
		return
	}
	if c.now.Before(f.at) {
		return
	}
	f.at = c.now.Add(c.roundEvery())
	c.endDrains()
	c.sumLoads()
	c.startRound()
}

// roundEvery returns the time between two rounds.
func (c *Core) roundEvery() time.Duration {
	return max(roundInterval, time.Duration(len(c.members))*roundShare)
}

// startRound asks all daemons, this one included.
func (c *Core) startRound() {
	f := &c.fleet.rounds
	f.number++
	m := &FleetAsk{Round: f.number, Services: c.planned()}
	f.drains.All(func(b entity.BackendServerID, d *drainRow) bool {
		d.asked = true
		d.idle = d.idle[:0]
		m.Draining = append(m.Draining, b)
		return true
	})
	for i := range c.members {
		if to := c.members[i].ID; to != c.Self.ID {
			c.send(to, Message{FleetAsk: m})
		}
	}
	c.notePlanner(c.Self.ID, m.Services)
	c.fleetAnswered(c.Self.ID, c.fleetAnswer(m))
}

// fleetAsked answers a planner.
func (c *Core) fleetAsked(from entity.InstanceID, m *FleetAsk) {
	c.notePlanner(from, m.Services)
	for _, b := range m.Draining {
		c.backendLeaving(BackendLeaving{Backend: b, Reason: "drained by the planner", Leaving: true})
	}
	c.send(from, Message{FleetHave: c.fleetAnswer(m)})
}

// fleetAnswer is what this daemon alone knows.
func (c *Core) fleetAnswer(m *FleetAsk) *FleetHave {
	out := &FleetHave{Round: m.Round}
	loads := c.Grants.Snapshot().Services
	for _, s := range loads {
		l := ServiceLoad{Service: s.Service, Busy: s.Busy, Slots: s.Slots, Queued: s.Queued + c.unplaced(s.Service)}
		if slices.Contains(m.Services, s.Service) && l.Busy+l.Slots+l.Queued > 0 {
			out.Loads = append(out.Loads, l)
		}
	}
	for _, b := range m.Draining {
		if c.idle(b) {
			out.Idle = append(out.Idle, b)
		}
	}
	return out
}

// unplaced counts the requests that wait here for a first backend server of
// their service.
func (c *Core) unplaced(name entity.ServiceName) int {
	if s := c.service(name); s == nil || len(s.BackendServers) > 0 {
		return 0
	}
	n := 0
	c.requests.All(func(_ entity.RequestID, r *request) bool {
		if r.work.Service == name && r.stage == stageQueued {
			n++
		}
		return true
	})
	return n
}

// idle reports whether a backend server that leaves runs and gets nothing of
// this daemon.
func (c *Core) idle(b entity.BackendServerID) bool {
	if !c.isLeaving(b) || !c.Grants.Drained(b) {
		return false
	}
	idle := true
	c.attempts.All(func(_ attemptKey, a *attempt) bool {
		idle = a.backend.ID != b
		return idle
	})
	if !idle {
		return false
	}
	c.requests.All(func(_ entity.RequestID, r *request) bool {
		idle = r.progress == nil || r.progress.Backend == nil || r.progress.Backend.ID != b
		return idle
	})
	return idle
}

// fleetAnswered takes a daemon's answer in the present round.
func (c *Core) fleetAnswered(from entity.InstanceID, m *FleetHave) {
	f := &c.fleet.rounds
	if m.Round != f.number {
		return
	}
	for _, l := range m.Loads {
		f.loads.Put(loadKey{from, l.Service}, &loadRow{ServiceLoad: l, at: c.now})
	}
	for _, b := range m.Idle {
		if d := f.drains.Get(b); d != nil && d.asked && !slices.Contains(d.idle, from) {
			d.idle = append(d.idle, from)
		}
	}
}

// endDrains counts the rounds in which all daemons found a backend server
// idle, and tells the planner of those that are drained.
func (c *Core) endDrains() {
	f := &c.fleet.rounds
	for _, b := range f.drains.Keys() {
		d := f.drains.Get(b)
		if !d.asked || !c.allIdle(d) {
			d.rounds = 0
			continue
		}
		d.rounds++
		if d.rounds >= idleRounds {
			c.Fleet.Drained(c.now, entity.BackendServerID(d.instance))
			f.drains.Delete(b)
		}
	}
}

// allIdle reports whether every daemon that was asked, and every one that has
// come since, has found the backend server idle.
func (c *Core) allIdle(d *drainRow) bool {
	for i := range c.members {
		if !slices.Contains(d.idle, c.members[i].ID) {
			return false
		}
	}
	return slices.Contains(d.idle, c.Self.ID)
}

// sumLoads gives the planner the sums of the daemons' last words.
func (c *Core) sumLoads() {
	f := &c.fleet.rounds
	if f.number == 0 {
		return
	}
	oldest := c.now.Add(-loadRounds * c.roundEvery())
	sums := entity.NewTable[entity.ServiceName, fleet.Load]()
	for _, s := range c.planned() {
		sums.Put(s, &fleet.Load{})
	}
	for _, k := range f.loads.Keys() {
		l, sum := f.loads.Get(k), sums.Get(k.service)
		if sum == nil || l.at.Before(oldest) {
			f.loads.Delete(k)
			continue
		}
		sum.Busy += l.Busy
		sum.Slots += l.Slots
		sum.Queued += l.Queued
	}
	sums.All(func(s entity.ServiceName, l *fleet.Load) bool {
		c.Fleet.SetLoad(c.now, s, *l)
		return true
	})
}

// notePlanner remembers which daemon plans which services.
func (c *Core) notePlanner(d entity.InstanceID, services []entity.ServiceName) {
	for _, s := range services {
		i := slices.IndexFunc(c.fleet.planners, func(p ServicePlanner) bool { return p.Service == s })
		if i < 0 {
			c.fleet.planners = append(c.fleet.planners, ServicePlanner{Service: s, Daemon: d})
			continue
		}
		c.fleet.planners[i].Daemon = d
	}
}
