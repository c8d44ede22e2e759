package core

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
)

const (
	// roundInterval is the time between two rounds of fleet requests that a
	// planner sends to all daemons, in a small system.
	roundInterval = 5 * time.Second
	// roundIntervalPerDaemon, multiplied by the number of daemons, is the time
	// between two rounds in a larger system. It limits a planner to 20 fleet
	// requests a second.
	roundIntervalPerDaemon = 50 * time.Millisecond
	// loadValidityRounds is the number of rounds for which the last load
	// reported by a daemon counts if the daemon stops answering.
	loadValidityRounds = 3
	// requiredIdleRounds is the number of consecutive rounds in which all
	// daemons must find a backend server idle before it counts as drained. One
	// round may miss a request that moves between two daemons, but two rounds
	// do not.
	requiredIdleRounds = 2
)

// fleetRounds is what a planner knows about all daemons from its rounds of
// fleet requests.
type fleetRounds struct {
	nextAt time.Time // when the next round starts
	round  uint32    // number of the current round
	loads  *entity.Table[loadKey, loadRow]
	drains *entity.Table[entity.BackendServerID, drainRow]
}

// loadKey identifies the load of one service as reported by one daemon.
type loadKey struct {
	daemon  entity.InstanceID
	service entity.ServiceName
}

// loadRow is the last load that a daemon has reported.
type loadRow struct {
	ServiceLoad
	receivedAt time.Time
}

// drainRow is a backend server that the planner drains in order to stop its
// instance.
type drainRow struct {
	instance       entity.InstanceID
	inCurrentRound bool                // named in the fleet requests of this round
	idleDaemons    []entity.InstanceID // daemons that found it idle in this round
	idleRounds     int                 // consecutive rounds in which all daemons found it idle
}

// newFleetRounds returns the state of a daemon that has not planned yet.
func newFleetRounds() fleetRounds {
	return fleetRounds{
		loads:  entity.NewTable[loadKey, loadRow](),
		drains: entity.NewTable[entity.BackendServerID, drainRow](),
	}
}

// drainInstance starts to drain the backend server on an instance that the
// planner will stop.
func (c *Core) drainInstance(i entity.InstanceID) {
	b := c.serverOnInstance(i)
	if c.fleet.rounds.drains.Get(b) == nil {
		c.fleet.rounds.drains.Put(b, &drainRow{instance: i})
	}
	c.handleBackendDraining(BackendDraining{Backend: b, Reason: "drained by the planner", Draining: true})
}

// isDrainedByPlanner reports whether this daemon's planner drains the backend
// server in order to stop its instance.
func (c *Core) isDrainedByPlanner(b entity.BackendServerID) bool {
	return c.fleet.rounds.drains.Get(b) != nil
}

// runRounds evaluates the last round and starts the next one when it is due. A
// daemon that no longer plans any service discards its state.
func (c *Core) runRounds() {
	f := &c.fleet.rounds
	if !c.Fleet.HoldsLease() {
		if f.loads.Len()+f.drains.Len() > 0 {
			c.fleet.rounds = newFleetRounds()
		}
		return
	}
	if c.now.Before(f.nextAt) {
		return
	}
	f.nextAt = c.now.Add(c.currentRoundInterval())
	c.completeDrains()
	c.reportLoads()
	c.startRound()
}

// currentRoundInterval returns the time between two rounds for the present
// number of daemons.
func (c *Core) currentRoundInterval() time.Duration {
	return max(roundInterval, time.Duration(len(c.members))*roundIntervalPerDaemon)
}

// startRound sends a fleet request to all daemons and answers it for this one.
func (c *Core) startRound() {
	f := &c.fleet.rounds
	f.round++
	m := &FleetRequest{Round: f.round, Services: c.plannedServices()}
	f.drains.All(func(b entity.BackendServerID, d *drainRow) bool {
		d.inCurrentRound = true
		d.idleDaemons = d.idleDaemons[:0]
		m.Draining = append(m.Draining, b)
		return true
	})
	for i := range c.members {
		if to := c.members[i].ID; to != c.Self.ID {
			c.send(to, Message{FleetRequest: m})
		}
	}
	c.recordPlanner(c.Self.ID, m.Services)
	c.handleFleetResponse(c.Self.ID, c.fleetResponse(m))
}

// handleFleetRequest marks the named backend servers as draining and answers
// the planner.
func (c *Core) handleFleetRequest(from entity.InstanceID, m *FleetRequest) {
	c.recordPlanner(from, m.Services)
	for _, b := range m.Draining {
		c.handleBackendDraining(BackendDraining{Backend: b, Reason: "drained by the planner", Draining: true})
	}
	c.send(from, Message{FleetResponse: c.fleetResponse(m)})
}

// fleetResponse answers a fleet request from what this daemon itself knows.
func (c *Core) fleetResponse(m *FleetRequest) *FleetResponse {
	out := &FleetResponse{Round: m.Round}
	loads := c.Grants.Snapshot().Services
	for _, s := range loads {
		l := ServiceLoad{Service: s.Service, Busy: s.Busy, Slots: s.Slots, Queued: s.Queued + c.queuedWithoutServers(s.Service)}
		if slices.Contains(m.Services, s.Service) && l.Busy+l.Slots+l.Queued > 0 {
			out.Loads = append(out.Loads, l)
		}
	}
	for _, b := range m.Draining {
		if c.isIdleHere(b) {
			out.Idle = append(out.Idle, b)
		}
	}
	return out
}

// queuedWithoutServers counts the requests queued here for a service that has
// no backend server yet.
func (c *Core) queuedWithoutServers(name entity.ServiceName) int {
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

// isIdleHere reports whether a backend server is draining and neither runs work
// of this daemon nor can get any from it: there is no grant, no attempt and no
// handed-over run that may still be there.
func (c *Core) isIdleHere(b entity.BackendServerID) bool {
	if !c.isDraining(b) || !c.Grants.Drained(b) {
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

// handleFleetResponse records a daemon's answer in the current round. Answers
// of earlier rounds are dropped.
func (c *Core) handleFleetResponse(from entity.InstanceID, m *FleetResponse) {
	f := &c.fleet.rounds
	if m.Round != f.round {
		return
	}
	for _, l := range m.Loads {
		f.loads.Put(loadKey{from, l.Service}, &loadRow{ServiceLoad: l, receivedAt: c.now})
	}
	for _, b := range m.Idle {
		if d := f.drains.Get(b); d != nil && d.inCurrentRound && !slices.Contains(d.idleDaemons, from) {
			d.idleDaemons = append(d.idleDaemons, from)
		}
	}
}

// completeDrains counts the consecutive rounds in which all daemons found a
// backend server idle, and reports those that are drained to the planner.
func (c *Core) completeDrains() {
	f := &c.fleet.rounds
	for _, b := range f.drains.Keys() {
		d := f.drains.Get(b)
		if !d.inCurrentRound || !c.isIdleEverywhere(d) {
			d.idleRounds = 0
			continue
		}
		d.idleRounds++
		if d.idleRounds >= requiredIdleRounds {
			c.Fleet.SetDrained(c.now, entity.BackendServerID(d.instance))
			f.drains.Delete(b)
		}
	}
}

// isIdleEverywhere reports whether every present member, including those that
// joined during the round, has reported the backend server idle in this round.
func (c *Core) isIdleEverywhere(d *drainRow) bool {
	for i := range c.members {
		if !slices.Contains(d.idleDaemons, c.members[i].ID) {
			return false
		}
	}
	return slices.Contains(d.idleDaemons, c.Self.ID)
}

// reportLoads passes the loads of the planned services to the planner, summed
// over the last reports of all daemons.
func (c *Core) reportLoads() {
	f := &c.fleet.rounds
	if f.round == 0 {
		return
	}
	oldest := c.now.Add(-loadValidityRounds * c.currentRoundInterval())
	sums := entity.NewTable[entity.ServiceName, fleet.Load]()
	for _, s := range c.plannedServices() {
		sums.Put(s, &fleet.Load{})
	}
	for _, k := range f.loads.Keys() {
		l, sum := f.loads.Get(k), sums.Get(k.service)
		if sum == nil || l.receivedAt.Before(oldest) {
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

// recordPlanner records which daemon plans the services.
func (c *Core) recordPlanner(d entity.InstanceID, services []entity.ServiceName) {
	for _, s := range services {
		i := slices.IndexFunc(c.fleet.planners, func(p ServicePlanner) bool { return p.Service == s })
		if i < 0 {
			c.fleet.planners = append(c.fleet.planners, ServicePlanner{Service: s, Daemon: d})
			continue
		}
		c.fleet.planners[i].Daemon = d
	}
}
