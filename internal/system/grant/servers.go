package grant

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
)

// service holds the state of a service. The pool has a candidate for each server,
// at the same index.
type service struct {
	document entity.Service
	servers  []*server
	pool     []routing.Candidate
}

// server is the state of a backend server at any daemon; coordination is set only
// at its coordinator.
type server struct {
	backend      entity.BackendServer
	hash         uint64 // of the ID
	service      *service
	index        int // in the service's pool
	coordinator  bid
	avoidUntil   time.Time // not a candidate before then if there are other servers
	insistUntil  time.Time // requests set Insist until then
	draining     bool
	coordination *coordination
}

func (s *server) candidate() *routing.Candidate { return &s.service.pool[s.index] }

// SetMembers replaces the list of live daemons. Self may be among them.
func (g *Grants) SetMembers(now time.Time, members []Member) {
	old := g.members
	g.members = old.replace(members)
	added := g.members.addedCoordinators(&old)
	removed := old.removed(&g.members)
	for _, id := range removed {
		g.dropRequester(now, id)
	}
	for _, id := range g.servers.Keys() {
		g.reassignCoordinator(now, g.servers.Get(id), added)
	}
	g.deliver(now)
}

// addedCoordinators returns the daemons that may coordinate now and could not
// before.
func (l *memberList) addedCoordinators(old *memberList) []listedMember {
	var out []listedMember
	for i := range l.all {
		if !l.all[i].Leaving && !old.mayCoordinate(l.all[i].ID) {
			out = append(out, l.all[i])
		}
	}
	return out
}

// removed returns the daemons that are not in the next list.
func (l *memberList) removed(next *memberList) []entity.InstanceID {
	var out []entity.InstanceID
	for i := range l.all {
		if next.find(l.all[i].ID) == nil {
			out = append(out, l.all[i].ID)
		}
	}
	return out
}

// reassignCoordinator finds the coordinator of a server after a change of the
// members. All daemons are compared only if the current one is lost.
func (g *Grants) reassignCoordinator(now time.Time, s *server, added []listedMember) {
	next := s.coordinator
	if !g.members.mayCoordinate(next.id) {
		next = g.members.bestBid(&s.backend, s.hash)
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

// moveCoordinator changes the coordinator of a server. Requesters report their
// grants and requests to the new one; the previous one rejects waiting requests.
func (g *Grants) moveCoordinator(now time.Time, s *server, next bid) {
	previous := s.coordinator.id
	s.coordinator = next
	if previous == g.cfg.Self {
		g.stopCoordination(now, s, ReasonCoordinator)
		g.emit(event.Event{Number: event.CoordinatorRoleReleased, At: now, Backend: s.backend.ID, Peer: next.id})
	}
	if next.id == g.cfg.Self {
		g.startCoordination(now, s)
		g.emit(event.Event{Number: event.CoordinatorRoleAcquired, At: now, Backend: s.backend.ID, Peer: previous})
	}
	if previous == "" {
		return
	}
	g.reportToNewCoordinator(now, s)
}

// SetServices replaces the services and their backend servers.
func (g *Grants) SetServices(now time.Time, services []entity.Service) {
	listed := entity.NewTable[entity.BackendServerID, server]()
	next := entity.NewTable[entity.ServiceName, service]()
	for i := range services {
		sv := &service{document: services[i]}
		next.Put(services[i].Name, sv)
		for _, b := range services[i].BackendServers {
			listed.Put(b.ID, g.addServer(sv, b))
		}
	}
	for _, id := range g.servers.Keys() {
		if listed.Get(id) == nil {
			g.dropServer(now, g.servers.Get(id))
		}
	}
	g.services, g.servers = next, listed
	for _, id := range listed.Keys() {
		g.assignCoordinator(now, listed.Get(id))
	}
	g.pruneDrainStates()
	g.retryDeferred(now)
	g.deliver(now)
}

// addServer adds a backend server to the service, with the state that is already
// known of it.
func (g *Grants) addServer(sv *service, b entity.BackendServer) *server {
	b.Service = sv.document.Name
	b.Slots = max(b.Slots, 1)
	c := routing.Candidate{Backend: b.ID, Location: b.Location, Slots: b.Slots, Chance: 1}
	s := g.servers.Get(b.ID)
	if s == nil {
		s = &server{hash: xxhash.Sum64String(string(b.ID))}
		if state := g.drainStates.Get(b.ID); state != nil {
			s.draining = state.draining
		}
	} else {
		c = *s.candidate()
		c.Location, c.Slots = b.Location, b.Slots
	}
	s.backend, s.service, s.index = b, sv, len(sv.servers)
	sv.servers = append(sv.servers, s)
	sv.pool = append(sv.pool, c)
	return s
}

// assignCoordinator finds the coordinator of a server that is new or has moved,
// and applies changed slots and shares.
func (g *Grants) assignCoordinator(now time.Time, s *server) {
	top := g.members.bestBid(&s.backend, s.hash)
	if top.id != s.coordinator.id {
		g.moveCoordinator(now, s, top)
	}
	s.coordinator = top
	if s.coordination == nil {
		return
	}
	s.coordination.slots = s.backend.Slots
	s.coordination.queue.SetWeights(s.service.document.Organisations)
	g.grantSlots(now, s)
}

func (g *Grants) dropServer(now time.Time, s *server) {
	g.stopCoordination(now, s, ReasonUnknown)
	for _, k := range g.acquisitions.Keys() {
		if acq := g.acquisitions.Get(k); acq.dropRequestsAt(s.backend.ID) {
			g.scheduleAcquisition(acq, now)
		}
	}
}
