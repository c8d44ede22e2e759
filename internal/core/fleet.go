package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/duetime"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
)

const (
	// listInterval is the longest time between readings of the platform's
	// list, of a daemon that plans and in a small system. Pauses are from half
	// of the longest to the longest.
	listInterval = 2 * time.Second
	// listShare, times the number of daemons, is the longest time between
	// readings of each daemon in a larger system, so that all of them together
	// read about 8 times a second.
	listShare = 160 * time.Millisecond
	// listLongest bounds the time until a daemon knows a new instance.
	listLongest = time.Minute
	// listAlone is the longest time while no other daemon answers: then the
	// list is the only news of backend servers that leave.
	listAlone = time.Second
	// pricesInterval is the longest time between a planner's readings of prices.
	pricesInterval = 30 * time.Second
)

// fleetState is what the core keeps of managed services beside the planner.
type fleetState struct {
	instances []provider.Instance // the newest list
	// hosts names the backend server on each instance of ours; never iterated.
	hosts    map[entity.InstanceID]entity.BackendServerID
	listAt   time.Time // next reading of the list
	pricesAt time.Time // next reading of the prices
	left     bool      // the leases have been given up
	planners []ServicePlanner
	rounds   fleetRounds
}

// ServicePlanner says which daemon plans a service, by its own last word.
type ServicePlanner struct {
	Service entity.ServiceName
	Daemon  entity.InstanceID
}

// ServicePlan is the last plan of a service that this daemon plans.
type ServicePlan struct {
	Service entity.ServiceName
	Plan    fleet.Plan
}

// newFleetState returns the state before the first list.
func newFleetState() fleetState {
	return fleetState{
		hosts:  make(map[entity.InstanceID]entity.BackendServerID),
		rounds: newFleetRounds(),
	}
}

// runFleet gives the planner its tick and asks for what it needs.
func (c *Core) runFleet() {
	if c.Fleet == nil {
		return
	}
	if c.drain.on && !c.fleet.left {
		c.fleet.left = true
		c.Fleet.Leave(c.now)
	}
	c.Fleet.Tick(c.now)
	c.readPlatform()
	c.runRounds()
}

// readPlatform asks for the list and, as a planner, for the prices when they
// are due.
func (c *Core) readPlatform() {
	f := &c.fleet
	if !c.now.Before(f.listAt) {
		f.listAt = c.now.Add(c.pause(c.listEvery()))
		c.out.ReadList = true
	}
	if c.Fleet.Holding() && !c.now.Before(f.pricesAt) {
		f.pricesAt = c.now.Add(c.pause(pricesInterval))
		c.out.ReadPrices = true
	}
}

// pause returns a time from half of d to d.
func (c *Core) pause(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.Rand.Int64N(int64(d/2)))
}

// listEvery returns the longest time between this daemon's readings of the list.
func (c *Core) listEvery() time.Duration {
	if c.alone() {
		return listAlone
	}
	if c.Fleet.Holding() {
		return listInterval
	}
	return min(max(listInterval, time.Duration(len(c.members))*listShare), listLongest)
}

// alone reports whether other daemons are known and none of them answers.
func (c *Core) alone() bool {
	others := 0
	for i := range c.members {
		if c.members[i].ID == c.Self.ID {
			continue
		}
		if c.members[i].State == membership.Alive {
			return false
		}
		others++
	}
	return others > 0
}

// hastenList brings the next reading of the list forward when the other
// daemons have fallen silent.
func (c *Core) hastenList() {
	if soon := c.now.Add(listAlone); c.alone() && soon.Before(c.fleet.listAt) {
		c.fleet.listAt = soon
	}
}

// fleetDeadline returns when the planner, a reading or a round is due next.
func (c *Core) fleetDeadline() time.Time {
	if c.Fleet == nil {
		return time.Time{}
	}
	at := duetime.Earliest(c.Fleet.Deadline(), c.fleet.listAt)
	if c.Fleet.Holding() {
		at = duetime.Earliest(at, c.fleet.pricesAt)
		at = duetime.Earliest(at, c.fleet.rounds.at)
	}
	return at
}

// collectFleet takes the outputs of the planner.
func (c *Core) collectFleet() bool {
	if c.Fleet == nil {
		return false
	}
	ready := c.Fleet.Ready()
	for _, op := range ready.Table {
		c.out.Operations = append(c.out.Operations, Operation{System: SystemFleet, Operation: op})
	}
	c.out.Orders = append(c.out.Orders, ready.Cloud...)
	for _, id := range ready.Drain {
		c.drainInstance(entity.InstanceID(id))
	}
	c.out.Events = append(c.out.Events, ready.Events...)
	return len(ready.Drain) > 0
}

// cloudOutcome gives the outcome of an order to the planner.
func (c *Core) cloudOutcome(in CloudOutcome) {
	if c.Fleet != nil {
		c.Fleet.CloudResult(c.now, in.Result)
	}
}

// priceList gives a reading of the prices to the planner.
func (c *Core) priceList(in PriceList) {
	if c.Fleet != nil {
		c.Fleet.SetPrices(c.now, in.Prices)
	}
}

// setPlannerMembers tells the planner which daemons may hold leases. With
// fewer daemons the list is due sooner.
func (c *Core) setPlannerMembers(owners []entity.InstanceID) {
	if c.Fleet == nil {
		return
	}
	c.Fleet.SetMembers(c.now, owners)
	c.fleet.listAt = duetime.Earliest(c.fleet.listAt, c.now.Add(c.listEvery()))
}

// plans returns the plans that this daemon has made.
func (c *Core) plans() []ServicePlan {
	var out []ServicePlan
	for _, s := range c.planned() {
		p, _ := c.Fleet.Plan(s)
		out = append(out, ServicePlan{Service: s, Plan: p})
	}
	return out
}

// planners returns the daemons that plan the services in manage mode.
func (c *Core) planners() []ServicePlanner {
	var out []ServicePlanner
	for _, p := range c.fleet.planners {
		if s := c.service(p.Service); s != nil && s.Mode == entity.ModeManage {
			out = append(out, p)
		}
	}
	return out
}

// planned returns the services that this daemon plans.
func (c *Core) planned() []entity.ServiceName {
	if c.Fleet == nil {
		return nil
	}
	var out []entity.ServiceName
	for i := range c.inForce {
		if _, holds := c.Fleet.Plan(c.inForce[i].Name); holds {
			out = append(out, c.inForce[i].Name)
		}
	}
	return out
}
