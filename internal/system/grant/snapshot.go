package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Drained reports whether a backend server holds no grants and no waiting
// asks, as far as this daemon knows: all if it is the coordinator, else its own.
func (g *Grants) Drained(id entity.BackendServerID) bool {
	s := g.servers.Get(id)
	if s != nil && s.coordination != nil && s.coordination.held.Len()+s.coordination.waiting.Len() > 0 {
		return false
	}
	drained := true
	g.wants.All(func(_ wantKey, w *want) bool {
		used := w.backend != nil && w.backend.ID == id
		drained = !used && len(w.asksAt(id)) == 0
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
		Leaving:     s.leaving,
		At:          c.At,
	}
	if s.coordination != nil {
		out.Exact = true
		out.Slots = s.coordination.slots
		out.Busy = s.coordination.held.Len() + s.coordination.others()
		out.Queued = s.coordination.waiting.Len()
		out.At = time.Time{}
	}
	return out
}
