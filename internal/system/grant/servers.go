package grant

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
)

// service holds what all daemons know of a service. The pool has a candidate
// for each server, at the same index.
type service struct {
	document entity.Service
	servers  []*server
	pool     []routing.Candidate
}

// server is a backend server as any daemon knows it; coordination is what its
// coordinator knows besides.
type server struct {
	backend      entity.BackendServer
	hash         uint64
	service      *service
	index        int // in the service's pool
	coordinator  bid
	avoid        time.Time // nothing is asked before that
	disputed     time.Time // asks insist until then
	leaving      bool
	coordination *coordination
}

func (s *server) candidate() *routing.Candidate { return &s.service.pool[s.index] }

// SetMembers replaces the list of live daemons. Self may be among them.
func (g *Grants) SetMembers(now time.Time, members []Member) {
	old := g.members
	g.members = old.replace(members)
	added := g.members.newcomers(&old)
	lost := old.departed(&g.members)
	for _, id := range lost {
		g.dropAsker(now, id)
	}
	for _, id := range g.servers.Keys() {
		g.reassign(now, g.servers.Get(id), added)
	}
	g.settle(now)
}

// newcomers returns the daemons that may coordinate now and could not before.
func (r *roster) newcomers(old *roster) []seat {
	var out []seat
	for i := range r.all {
		if !r.all[i].Leaving && !old.coordinates(r.all[i].ID) {
			out = append(out, r.all[i])
		}
	}
	return out
}

// departed returns the daemons that are not in the next roster.
func (r *roster) departed(next *roster) []entity.InstanceID {
	var out []entity.InstanceID
	for i := range r.all {
		if next.find(r.all[i].ID) == nil {
			out = append(out, r.all[i].ID)
		}
	}
	return out
}

// reassign finds the coordinator of a server after a change of the members.
// Only if the present one is lost must all daemons be compared.
func (g *Grants) reassign(now time.Time, s *server, added []seat) {
	next := s.coordinator
	if !g.members.coordinates(next.id) {
		next = g.members.best(&s.backend, s.hash)
	}
	for i := range added {
		if b := added[i].bid(&s.backend, s.hash); b.beats(next) {
			next = b
		}
	}
	if next.id != s.coordinator.id {
		g.moveCoordinator(now, s, next)
	}
}

// moveCoordinator changes the coordinator of a server. Askers tell the new one
// what they hold; a former one sends waiting asks away.
func (g *Grants) moveCoordinator(now time.Time, s *server, next bid) {
	was := s.coordinator.id
	s.coordinator = next
	if was == g.cfg.Self {
		g.closeCoordination(now, s, ReasonCoordinator)
		g.emit(event.Event{Number: event.CoordinatorLeft, At: now, Backend: s.backend.ID, Peer: next.id})
	}
	if next.id == g.cfg.Self {
		g.openCoordination(now, s)
		g.emit(event.Event{Number: event.CoordinatorTaken, At: now, Backend: s.backend.ID, Peer: was})
	}
	if was == "" {
		return
	}
	g.tellNewCoordinator(now, s)
}

// SetServices replaces the services and their backend servers.
func (g *Grants) SetServices(now time.Time, services []entity.Service) {
	kept := entity.NewTable[entity.BackendServerID, server]()
	next := entity.NewTable[entity.ServiceName, service]()
	for i := range services {
		sv := &service{document: services[i]}
		next.Put(services[i].Name, sv)
		for _, b := range services[i].BackendServers {
			kept.Put(b.ID, g.adopt(sv, b))
		}
	}
	for _, id := range g.servers.Keys() {
		if kept.Get(id) == nil {
			g.dropServer(now, g.servers.Get(id))
		}
	}
	g.services, g.servers = next, kept
	for _, id := range kept.Keys() {
		g.placeServer(now, kept.Get(id))
	}
	g.forgetLeaving()
	g.wakeParked(now)
	g.settle(now)
}

// adopt returns the row of a backend server of the service, with the state
// that is known already.
func (g *Grants) adopt(sv *service, b entity.BackendServer) *server {
	b.Service = sv.document.Name
	b.Slots = max(b.Slots, 1)
	c := routing.Candidate{Backend: b.ID, Place: b.Place, Slots: b.Slots, Chance: 1}
	s := g.servers.Get(b.ID)
	if s == nil {
		s = &server{hash: xxhash.Sum64String(string(b.ID))}
		if state := g.leaving.Get(b.ID); state != nil {
			s.leaving = state.leaving
		}
	} else {
		c = *s.candidate()
		c.Place, c.Slots = b.Place, b.Slots
	}
	s.backend, s.service, s.index = b, sv, len(sv.servers)
	sv.servers = append(sv.servers, s)
	sv.pool = append(sv.pool, c)
	return s
}

// placeServer finds the coordinator of a server that is new or has moved, and
// takes over changed slots and shares.
func (g *Grants) placeServer(now time.Time, s *server) {
	top := g.members.best(&s.backend, s.hash)
	if top.id != s.coordinator.id {
		g.moveCoordinator(now, s, top)
	}
	s.coordinator = top
	if s.coordination == nil {
		return
	}
	s.coordination.slots = s.backend.Slots
	s.coordination.queue.SetShares(s.service.document.Organisations)
	g.serve(now, s)
}

func (g *Grants) dropServer(now time.Time, s *server) {
	g.closeCoordination(now, s, ReasonUnknown)
	for _, k := range g.wants.Keys() {
		if w := g.wants.Get(k); w.dropAsks(s.backend.ID) {
			g.wakeWant(w, now)
		}
	}
}
