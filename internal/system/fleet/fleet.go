package fleet

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// System plans the fleets of all services in manage mode, from the point of
// view of one daemon. It is not safe for concurrent use.
type System struct {
	cfg      Config
	planners *entity.Table[entity.ServiceName, planner]
	members  []entity.InstanceID
	listing  instanceList
	prices   []provider.Price
	leaving  bool

	callbacks     map[provider.OperationID]func(now time.Time, r provider.Result)
	lastOperation provider.OperationID
	ready         Ready
}

// instanceList is the list of instances as last read from the platform.
type instanceList struct {
	instances  []provider.Instance
	receivedAt time.Time // when the list arrived; zero: not yet
}

// New returns a system without services.
func New(cfg Config) *System {
	return &System{
		cfg:       cfg.withDefaults(),
		planners:  entity.NewTable[entity.ServiceName, planner](),
		callbacks: make(map[provider.OperationID]func(time.Time, provider.Result)),
	}
}

// SetServices replaces the service documents. Services that are not in manage
// mode are not planned; their running instances keep running.
func (s *System) SetServices(now time.Time, services []entity.Service) {
	managed := make(map[entity.ServiceName]bool)
	for _, svc := range services {
		if svc.Mode != entity.ModeManage {
			continue
		}
		managed[svc.Name] = true
		p := s.planners.Get(svc.Name)
		if p == nil {
			p = newPlanner(s, now)
			s.planners.Put(svc.Name, p)
		}
		p.svc = svc
		p.schedulePlan(now)
	}
	for _, name := range s.planners.Keys() {
		if !managed[name] {
			s.planners.Get(name).close(now)
			s.planners.Delete(name)
		}
	}
}

// SetMembers sets the daemons that are alive. For each service, a few of them
// watch the lease row and are ready to take the lease over; before the first
// call this daemon does so for all services. Daemons may disagree about the
// members: the lease stays exclusive.
func (s *System) SetMembers(_ time.Time, members []entity.InstanceID) {
	s.members = slices.Clone(members)
}

// SetInstances sets the platform's list of all instances. The list lags behind
// the platform's state.
func (s *System) SetInstances(now time.Time, list []provider.Instance) {
	s.listing = instanceList{instances: slices.Clone(list), receivedAt: now}
	s.forEachPlanner(func(p *planner) { p.reconcile(now) })
}

// SetPrices sets the current prices.
func (s *System) SetPrices(now time.Time, prices []provider.Price) {
	s.prices = slices.Clone(prices)
	s.forEachPlanner(func(p *planner) { p.schedulePlan(now) })
}

// SetLoad sets the current load of a service.
func (s *System) SetLoad(now time.Time, service entity.ServiceName, l Load) {
	if p := s.planners.Get(service); p != nil {
		p.load.add(now, s.cfg.ScaleInDelay, l.neededServers(p.svc.Fleet.SlotsPerHost))
		p.schedulePlan(now)
	}
}

// ReceiveReclaimNotice records that the cloud has announced the reclaim of an
// instance.
func (s *System) ReceiveReclaimNotice(now time.Time, id entity.InstanceID) {
	s.forEachPlanner(func(p *planner) { p.handleReclaimNotice(now, id) })
}

// SetDrained records that nothing runs any more on a backend server named in
// Ready.Drain, and that every daemon which could send it requests knows that it
// is draining.
func (s *System) SetDrained(_ time.Time, id entity.BackendServerID) {
	s.forEachPlanner(func(p *planner) { p.markDrained(entity.InstanceID(id)) })
}

// Leave releases all leases. It is called when the daemon stops.
func (s *System) Leave(now time.Time) {
	s.leaving = true
	s.forEachPlanner(func(p *planner) { p.release(now) })
}

// TableResult handles the result of a table operation.
func (s *System) TableResult(now time.Time, r provider.Result) {
	callback, ok := s.callbacks[r.ID]
	if !ok {
		return
	}
	delete(s.callbacks, r.ID)
	callback(now, r)
}

// CloudResult handles the outcome of a cloud operation.
func (s *System) CloudResult(now time.Time, r CloudResult) {
	if p := s.planners.Get(r.Service); p != nil {
		p.handleCloudResult(now, r)
	}
}

// Tick performs all work that is due.
func (s *System) Tick(now time.Time) {
	s.forEachPlanner(func(p *planner) { p.tick(now) })
}

// Ready returns and clears the work that the caller must carry out.
func (s *System) Ready() Ready {
	r := s.ready
	s.ready = Ready{}
	return r
}

// Deadline returns when Tick must be called next, or zero if no timer is set.
func (s *System) Deadline() time.Time {
	var first time.Time
	s.forEachPlanner(func(p *planner) { first = earliestNonZero(first, p.deadline()) })
	return first
}

// HoldsLease reports whether this daemon holds the lease of any service, and so
// needs the list of instances and the prices.
func (s *System) HoldsLease() bool {
	holding := false
	s.forEachPlanner(func(p *planner) { holding = holding || p.role == roleHolder || p.role == roleLoading })
	return holding
}

// Plan returns the last plan made for a service, if this daemon holds its
// lease.
func (s *System) Plan(service entity.ServiceName) (Plan, bool) {
	p := s.planners.Get(service)
	if p == nil || p.role != roleHolder {
		return Plan{}, false
	}
	return p.plan, true
}

func (s *System) forEachPlanner(f func(*planner)) {
	s.planners.All(func(_ entity.ServiceName, p *planner) bool {
		f(p)
		return true
	})
}

// issue queues a table operation; callback is called with its result.
func (s *System) issue(op provider.Operation, callback func(now time.Time, r provider.Result)) {
	s.lastOperation++
	op.ID = s.lastOperation
	s.callbacks[op.ID] = callback
	s.ready.Table = append(s.ready.Table, op)
}

func (s *System) emit(e event.Event) { s.ready.Events = append(s.ready.Events, e) }

// earliestNonZero returns the earlier of two times. The zero time means never.
func earliestNonZero(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
