package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// maxLeaving rows are kept for backend servers that no service lists.
const maxLeaving = 4096

// leavingState is the latest news of a backend server's leaving.
type leavingState struct {
	leaving bool
	version int64
	reason  string
	told    bool // from this daemon's own sources; it tells the coordinators
}

// SetLeaving says that a backend server leaves, or no longer does. It gets no
// new work at once; asks that wait for it are sent elsewhere.
func (g *Grants) SetLeaving(now time.Time, id entity.BackendServerID, reason string, leaving bool) {
	known := g.leaving.Get(id)
	if known == nil && !leaving {
		return
	}
	if known != nil && known.leaving == leaving {
		known.told = true
		return
	}
	version := now.UnixMicro()
	if known != nil {
		version = max(version, known.version+1)
	}
	state := &leavingState{leaving: leaving, version: version, reason: reason, told: true}
	g.leaving.Put(id, state)
	g.applyLeaving(now, id, state)
	if s := g.servers.Get(id); s != nil {
		g.tellLeaving(now, s, state)
	}
	g.settle(now)
}

// learnLeaving takes the news from another daemon.
func (g *Grants) learnLeaving(now time.Time, l *Leaving) {
	known := g.leaving.Get(l.Backend)
	if known != nil && known.version >= l.Version {
		return
	}
	state := &leavingState{leaving: l.Leaving, version: l.Version, reason: l.Reason}
	changed := known == nil || known.leaving != l.Leaving
	g.leaving.Put(l.Backend, state)
	if changed {
		g.applyLeaving(now, l.Backend, state)
	}
}

func (g *Grants) applyLeaving(now time.Time, id entity.BackendServerID, state *leavingState) {
	s := g.servers.Get(id)
	if s == nil {
		return
	}
	s.leaving = state.leaving
	n := event.BackendReturned
	if state.leaving {
		n = event.BackendLeaving
	}
	g.emit(event.Event{Number: n, At: now, Service: s.backend.Service, Backend: id, Detail: state.reason})
	if !state.leaving {
		g.wakeParked(now)
		return
	}
	if s.coordination != nil {
		g.sendAway(now, s, ReasonLeaving)
	}
	g.leaveQueue(now, s)
}

// leaveQueue takes this daemon's asks back from a server that is leaving.
func (g *Grants) leaveQueue(now time.Time, s *server) {
	for _, k := range g.wants.Keys() {
		w := g.wants.Get(k)
		if w.Resume {
			continue
		}
		for _, a := range w.asksAt(s.backend.ID) {
			g.withdrawAsk(now, w, a)
			g.wakeWant(w, now)
		}
	}
}

// tellLeaving tells the coordinator, several times, since a message may be
// lost.
func (g *Grants) tellLeaving(now time.Time, s *server, state *leavingState) {
	if s.coordinator.id == g.cfg.Self {
		return
	}
	part := Leaving{Backend: s.backend.ID, Leaving: state.leaving, Version: state.version, Reason: state.reason}
	g.spread(now, repeatedNews{leaving: &part})
}

// forgetLeaving bounds the rows of backend servers that no service lists.
func (g *Grants) forgetLeaving() {
	if g.leaving.Len() <= maxLeaving {
		return
	}
	for _, id := range g.leaving.Keys() {
		if g.servers.Get(id) == nil {
			g.leaving.Delete(id)
		}
	}
}
