package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// maxDrainStates is the number of drain states above which those of backend
// servers that no service lists are dropped.
const maxDrainStates = 4096

// drainState is the latest known drain state of a backend server.
type drainState struct {
	draining bool
	version  int64 // Unix µs of the change; the highest counts
	reason   string
	local    bool // from this daemon's own sources, so that it notifies the coordinator
}

// SetDraining sets whether a backend server is draining. A draining one gets no
// new work from then on, and requests that wait for it are sent elsewhere.
func (g *Grants) SetDraining(now time.Time, id entity.BackendServerID, reason string, draining bool) {
	known := g.drainStates.Get(id)
	if known == nil && !draining {
		return
	}
	if known != nil && known.draining == draining {
		known.local = true
		return
	}
	version := now.UnixMicro()
	if known != nil {
		version = max(version, known.version+1)
	}
	state := &drainState{draining: draining, version: version, reason: reason, local: true}
	g.drainStates.Put(id, state)
	g.applyDraining(now, id, state)
	if s := g.servers.Get(id); s != nil {
		g.sendDrainNotice(now, s, state)
	}
	g.deliver(now)
}

// applyDrainNotice applies a drain notice of another daemon.
func (g *Grants) applyDrainNotice(now time.Time, n *DrainNotice) {
	known := g.drainStates.Get(n.Backend)
	if known != nil && known.version >= n.Version {
		return
	}
	state := &drainState{draining: n.Draining, version: n.Version, reason: n.Reason}
	changed := known == nil || known.draining != n.Draining
	g.drainStates.Put(n.Backend, state)
	if changed {
		g.applyDraining(now, n.Backend, state)
	}
}

func (g *Grants) applyDraining(now time.Time, id entity.BackendServerID, state *drainState) {
	s := g.servers.Get(id)
	if s == nil {
		return
	}
	s.draining = state.draining
	n := event.BackendReturned
	if state.draining {
		n = event.BackendDraining
	}
	g.emit(event.Event{Number: n, At: now, Service: s.backend.Service, Backend: id, Detail: state.reason})
	if !state.draining {
		g.retryDeferred(now)
		return
	}
	if s.coordination != nil {
		g.rejectWaiting(now, s, ReasonDraining)
	}
	g.withdrawFromServer(now, s)
}

// withdrawFromServer withdraws this daemon's requests for a draining server.
func (g *Grants) withdrawFromServer(now time.Time, s *server) {
	for _, k := range g.acquisitions.Keys() {
		acq := g.acquisitions.Get(k)
		if acq.Resume {
			continue
		}
		for _, p := range acq.requestsAt(s.backend.ID) {
			g.withdrawRequest(now, acq, p)
			g.scheduleAcquisition(acq, now)
		}
	}
}

// sendDrainNotice notifies the coordinator several times, since a message may be
// lost.
func (g *Grants) sendDrainNotice(now time.Time, s *server, state *drainState) {
	if s.coordinator.id == g.cfg.Self {
		return
	}
	notice := DrainNotice{Backend: s.backend.ID, Draining: state.draining, Version: state.version, Reason: state.reason}
	g.announce(now, announcement{drain: &notice})
}

// pruneDrainStates drops the drain states of backend servers that no service
// lists when there are too many.
func (g *Grants) pruneDrainStates() {
	if g.drainStates.Len() <= maxDrainStates {
		return
	}
	for _, id := range g.drainStates.Keys() {
		if g.servers.Get(id) == nil {
			g.drainStates.Delete(id)
		}
	}
}
