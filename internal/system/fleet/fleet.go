package fleet

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// System plans the fleets of all services in manage mode, as one daemon sees
// them. It is not safe for concurrent use.
type System struct {
	cfg      Config
	planners *entity.Table[entity.ServiceName, planner]
	members  []entity.InstanceID
	listing  listing
	prices   []provider.Price
	leaving  bool

	calls    map[provider.OperationID]func(now time.Time, r provider.Result)
	lastCall provider.OperationID
	ready    Ready
}

// listing is the platform's list of instances.
type listing struct {
	instances []provider.Instance
	at        time.Time // when it came; zero: never
}

// New returns a system without services.
func New(cfg Config) *System {
	return &System{
		cfg:      cfg.withDefaults(),
		planners: entity.NewTable[entity.ServiceName, planner](),
		calls:    make(map[provider.OperationID]func(time.Time, provider.Result)),
	}
}

// SetServices replaces the service documents. Services that are not in manage
// mode are left alone; what runs for them goes on running.
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
		p.planSoon(now)
	}
	for _, name := range s.planners.Keys() {
		if !managed[name] {
			s.planners.Get(name).close(now)
			s.planners.Delete(name)
		}
	}
}

// SetMembers tells which daemons are alive. A few of them stand by for each
// service's lease. Before the first call this daemon stands by for all. The
// lease does not depend on daemons agreeing.
func (s *System) SetMembers(_ time.Time, members []entity.InstanceID) {
	s.members = slices.Clone(members)
}

// SetInstances takes the platform's lagging list of all instances.
func (s *System) SetInstances(now time.Time, list []provider.Instance) {
	s.listing = listing{instances: slices.Clone(list), at: now}
	s.each(func(p *planner) { p.reconcile(now) })
}

// SetPrices takes the present prices.
func (s *System) SetPrices(now time.Time, prices []provider.Price) {
	s.prices = slices.Clone(prices)
	s.each(func(p *planner) { p.planSoon(now) })
}

// SetLoad takes the load of a service.
func (s *System) SetLoad(now time.Time, service entity.ServiceName, l Load) {
	if p := s.planners.Get(service); p != nil {
		p.load.add(now, s.cfg.Window, l.servers(p.svc.Fleet.SlotsPerHost))
		p.planSoon(now)
	}
}

// Reclaimed tells that a reclaim of an instance has been announced.
func (s *System) Reclaimed(now time.Time, id entity.InstanceID) {
	s.each(func(p *planner) { p.reclaimed(now, id) })
}

// Drained tells that a backend server named in Ready.Drain runs nothing any
// more, and that every daemon which could give it work knows that it leaves.
func (s *System) Drained(_ time.Time, id entity.BackendServerID) {
	s.each(func(p *planner) { p.drained(entity.InstanceID(id)) })
}

// Leave gives all leases up, for a daemon that stops.
func (s *System) Leave(now time.Time) {
	s.leaving = true
	s.each(func(p *planner) { p.release(now) })
}

// TableResult takes the result of an operation.
func (s *System) TableResult(now time.Time, r provider.Result) {
	done, ok := s.calls[r.ID]
	if !ok {
		return
	}
	delete(s.calls, r.ID)
	done(now, r)
}

// CloudResult takes the outcome of an order.
func (s *System) CloudResult(now time.Time, r CloudResult) {
	if p := s.planners.Get(r.Service); p != nil {
		p.ordered(now, r)
	}
}

// Tick does what is due.
func (s *System) Tick(now time.Time) {
	s.each(func(p *planner) { p.tick(now) })
}

// Ready drains what the caller must carry out.
func (s *System) Ready() Ready {
	r := s.ready
	s.ready = Ready{}
	return r
}

// Deadline returns when Tick is due next; zero when nothing is.
func (s *System) Deadline() time.Time {
	var first time.Time
	s.each(func(p *planner) { first = earlier(first, p.deadline()) })
	return first
}

// Holding says whether this daemon plans any service, and so needs the list
// of instances and the prices.
func (s *System) Holding() bool {
	holding := false
	s.each(func(p *planner) { holding = holding || p.role == roleHolder || p.role == roleLoading })
	return holding
}

// Plan returns the last plan made for a service, if this daemon plans it.
func (s *System) Plan(service entity.ServiceName) (Plan, bool) {
	p := s.planners.Get(service)
	if p == nil || p.role != roleHolder {
		return Plan{}, false
	}
	return p.plan, true
}

func (s *System) each(f func(*planner)) {
	s.planners.All(func(_ entity.ServiceName, p *planner) bool {
		f(p)
		return true
	})
}

// call issues a table operation; done gets its result.
func (s *System) call(op provider.Operation, done func(now time.Time, r provider.Result)) {
	s.lastCall++
	op.ID = s.lastCall
	s.calls[op.ID] = done
	s.ready.Table = append(s.ready.Table, op)
}

func (s *System) emit(e event.Event) { s.ready.Events = append(s.ready.Events, e) }

// earlier returns the earlier of two times, of which zero is never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
