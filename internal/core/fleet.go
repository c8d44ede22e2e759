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
	// plannerListInterval is the longest time between two reads of the
	// platform's instance list by a daemon that plans, or by any daemon of a
	// small system. The actual intervals are random, from half of the longest
	// to the longest.
	plannerListInterval = 2 * time.Second
	// listIntervalPerDaemon, multiplied by the number of daemons, is the
	// longest interval between two list reads of each daemon in a larger
	// system. All daemons together then read the list about 8 times a second.
	listIntervalPerDaemon = 160 * time.Millisecond
	// maxListInterval bounds the interval between two list reads in a very
	// large system, and with it the time until a daemon knows a new instance.
	maxListInterval = time.Minute
	// cutOffListInterval is the longest interval between two list reads while
	// no other daemon answers. The list is then the only source that tells
	// which backend servers are being removed.
	cutOffListInterval = time.Second
	// pricesInterval is the longest interval between two reads of the prices by
	// a daemon that plans.
	pricesInterval = 30 * time.Second
)

// fleetState is what the core stores for managed services besides the planner.
type fleetState struct {
	instances []provider.Instance // from the newest list, those of managed services
	// serverByInstance maps each managed instance to the backend server on it;
	// never iterated.
	serverByInstance map[entity.InstanceID]entity.BackendServerID
	nextListRead     time.Time
	nextPricesRead   time.Time
	leasesReleased   bool             // at the start of a drain
	planners         []ServicePlanner // as far as known, in no order
	rounds           fleetRounds
}

// ServicePlanner names the daemon that plans a service, according to the last
// fleet request received.
type ServicePlanner struct {
	Service entity.ServiceName
	Daemon  entity.InstanceID
}

// ServicePlan is the latest plan for a service that this daemon plans.
type ServicePlan struct {
	Service entity.ServiceName
	Plan    fleet.Plan
}

// newFleetState returns the state before the first list has been read.
func newFleetState() fleetState {
	return fleetState{
		serverByInstance: make(map[entity.InstanceID]entity.BackendServerID),
		rounds:           newFleetRounds(),
	}
}

// runFleet ticks the planner, requests the platform reads that are due and runs
// the rounds of fleet requests.
func (c *Core) runFleet() {
	if c.Fleet == nil {
		return
	}
	if c.drain.active && !c.fleet.leasesReleased {
		c.fleet.leasesReleased = true
		c.Fleet.Leave(c.now)
	}
	c.Fleet.Tick(c.now)
	c.requestPlatformReads()
	c.runRounds()
}

// requestPlatformReads requests a read of the instance list and, on a daemon
// that plans, of the prices when they are due.
func (c *Core) requestPlatformReads() {
	f := &c.fleet
	if !c.now.Before(f.nextListRead) {
		f.nextListRead = c.now.Add(c.randomInterval(c.listInterval()))
		c.out.ReadList = true
	}
	if c.Fleet.HoldsLease() && !c.now.Before(f.nextPricesRead) {
		f.nextPricesRead = c.now.Add(c.randomInterval(pricesInterval))
		c.out.ReadPrices = true
	}
}

// randomInterval returns a random duration from d/2 to d.
func (c *Core) randomInterval(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.Rand.Int64N(int64(d/2)))
}

// listInterval returns the longest interval between two list reads of this
// daemon.
func (c *Core) listInterval() time.Duration {
	if c.isCutOff() {
		return cutOffListInterval
	}
	if c.Fleet.HoldsLease() {
		return plannerListInterval
	}
	return min(max(plannerListInterval, time.Duration(len(c.members))*listIntervalPerDaemon), maxListInterval)
}

// isCutOff reports whether other daemons are known and none of them is alive.
func (c *Core) isCutOff() bool {
	otherDaemons := 0
	for i := range c.members {
		if c.members[i].ID == c.Self.ID {
			continue
		}
		if c.members[i].State == membership.Alive {
			return false
		}
		otherDaemons++
	}
	return otherDaemons > 0
}

// advanceListRead schedules the next list read sooner when no other daemon is
// alive.
func (c *Core) advanceListRead() {
	if soon := c.now.Add(cutOffListInterval); c.isCutOff() && soon.Before(c.fleet.nextListRead) {
		c.fleet.nextListRead = soon
	}
}

// fleetDeadline returns when the planner, a platform read or a round is due
// next; the zero time means never.
func (c *Core) fleetDeadline() time.Time {
	if c.Fleet == nil {
		return time.Time{}
	}
	at := duetime.EarliestNonZero(c.Fleet.Deadline(), c.fleet.nextListRead)
	if c.Fleet.HoldsLease() {
		at = duetime.EarliestNonZero(at, c.fleet.nextPricesRead)
		at = duetime.EarliestNonZero(at, c.fleet.rounds.nextAt)
	}
	return at
}

// collectFleet applies the outputs of the planner and reports whether some of
// them have to be processed further.
func (c *Core) collectFleet() bool {
	if c.Fleet == nil {
		return false
	}
	ready := c.Fleet.Ready()
	for _, op := range ready.Table {
		c.out.Operations = append(c.out.Operations, Operation{System: SystemFleet, Operation: op})
	}
	c.out.CloudOperations = append(c.out.CloudOperations, ready.Cloud...)
	for _, id := range ready.Drain {
		c.drainInstance(entity.InstanceID(id))
	}
	c.out.Events = append(c.out.Events, ready.Events...)
	return len(ready.Drain) > 0
}

// handleCloudOutcome passes the outcome of a cloud operation to the planner.
func (c *Core) handleCloudOutcome(in CloudOutcome) {
	if c.Fleet != nil {
		c.Fleet.CloudResult(c.now, in.Result)
	}
}

// handlePriceList passes the prices to the planner.
func (c *Core) handlePriceList(in PriceList) {
	if c.Fleet != nil {
		c.Fleet.SetPrices(c.now, in.Prices)
	}
}

// setPlannerMembers tells the planner which daemons may hold leases. Since the
// interval between list reads depends on the number of daemons, the next read
// may become due sooner.
func (c *Core) setPlannerMembers(activeDaemons []entity.InstanceID) {
	if c.Fleet == nil {
		return
	}
	c.Fleet.SetMembers(c.now, activeDaemons)
	c.fleet.nextListRead = duetime.EarliestNonZero(c.fleet.nextListRead, c.now.Add(c.listInterval()))
}

// plans returns the plans for the services that this daemon plans.
func (c *Core) plans() []ServicePlan {
	var out []ServicePlan
	for _, s := range c.plannedServices() {
		p, _ := c.Fleet.Plan(s)
		out = append(out, ServicePlan{Service: s, Plan: p})
	}
	return out
}

// planners returns which daemon plans each service in manage mode, as far as
// known.
func (c *Core) planners() []ServicePlanner {
	var out []ServicePlanner
	for _, p := range c.fleet.planners {
		if s := c.service(p.Service); s != nil && s.Mode == entity.ModeManage {
			out = append(out, p)
		}
	}
	return out
}

// plannedServices returns the services that this daemon plans.
func (c *Core) plannedServices() []entity.ServiceName {
	if c.Fleet == nil {
		return nil
	}
	var out []entity.ServiceName
	for i := range c.effectiveServices {
		if _, plansService := c.Fleet.Plan(c.effectiveServices[i].Name); plansService {
			out = append(out, c.effectiveServices[i].Name)
		}
	}
	return out
}
