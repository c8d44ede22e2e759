package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Drained reports whether no grants are held and no requests wait for a backend
// server, as far as this daemon knows: of all daemons if it is the coordinator,
// otherwise only its own.
func (g *Grants) Drained(id entity.BackendServerID) bool {
	s := g.servers.Get(id)
	if s != nil && s.coordination != nil && s.coordination.held.Len()+s.coordination.waiting.Len() > 0 {
		return false
	}
	drained := true
	g.acquisitions.All(func(_ acquisitionKey, acq *acquisition) bool {
		used := acq.backend != nil && acq.backend.ID == id
		drained = !used && len(acq.requestsAt(id)) == 0
		return drained
	})
	return drained
}

// Snapshot returns the state for status pages and the planner.
func (g *Grants) Snapshot() Snapshot {
	var out Snapshot
	for _, name := range g.services.Keys() {
		sv := g.services.Get(name)
		sum := ServiceStatus{Service: name}
		for _, s := range sv.servers {
			status := g.status(s)
			out.Backends = append(out.Backends, status)
			if status.Exact {
				sum.Slots += status.Slots
				sum.Busy += status.Busy
				sum.Queued += status.Queued
			}
		}
		out.Services = append(out.Services, sum)
	}
	return out
}

func (g *Grants) status(s *server) Status {
	c := s.candidate()
	out := Status{
		Backend:     s.backend.ID,
		Service:     s.backend.Service,
		Coordinator: s.coordinator.id,
		Slots:       c.Slots,
		Busy:        c.Busy,
		Queued:      c.Queued,
		Draining:    s.draining,
		UpdatedAt:   c.ReportedAt,
	}
	if s.coordination != nil {
		out.Exact = true
		out.Slots = s.coordination.slots
		out.Busy = s.coordination.held.Len() + s.coordination.externalLoad()
		out.Queued = s.coordination.waiting.Len()
		out.UpdatedAt = time.Time{}
	}
	return out
}
