package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// reportTimer says when a coordinator is next told what this daemon holds.
type reportTimer struct {
	at time.Time
}

// expectReport has a coordinator that gave a grant told of it from time to
// time. Most grants have ended before.
func (g *Grants) expectReport(now time.Time, coordinator entity.InstanceID) {
	if coordinator == g.cfg.Self || g.reports.Get(coordinator) != nil {
		return
	}
	at := now.Add(g.cfg.ReportInterval)
	g.reports.Put(coordinator, &reportTimer{at: at})
	g.schedule.add(timer{at: at, kind: timerReport, peer: coordinator})
}

// report tells a coordinator all that this daemon holds there, and goes on
// doing so while there is anything.
func (g *Grants) report(now time.Time, to entity.InstanceID) {
	g.reports.Delete(to)
	if g.members.find(to) == nil {
		return
	}
	r := g.holdings(now, to)
	if len(r.Held)+len(r.Waiting) == 0 {
		return
	}
	g.send(now, to, false).Report = r
	g.expectReport(now, to)
}

// confirm answers a coordinator's question whether a grant is still held. If
// the grant itself was lost on the way, the question stands for it.
func (g *Grants) confirm(now time.Time, from entity.InstanceID, r Reference) {
	w := g.wants.Get(wantKey{r.Request, r.Attempt})
	if w != nil && w.backend != nil && w.backend.ID == r.Backend {
		m := g.send(now, from, true)
		m.Confirmed = append(m.Confirmed, r)
		return
	}
	g.granted(now, from, w, &Reply{Reference: r, Kind: Granted})
}

// holdings lists what this daemon holds from a coordinator.
func (g *Grants) holdings(now time.Time, to entity.InstanceID) *Report {
	r := &Report{Sequence: g.sequence}
	g.wants.All(func(_ wantKey, w *want) bool {
		if w.backend != nil {
			s := g.servers.Get(w.backend.ID)
			if s != nil && s.coordinator.id == to {
				o := outstanding{backend: w.backend.ID, sequence: w.sequence}
				r.Held = append(r.Held, g.askPart(now, w, &o))
			}
			return true
		}
		for i := range w.asks {
			if w.asks[i].coordinator == to {
				r.Waiting = append(r.Waiting, g.askPart(now, w, &w.asks[i]))
			}
		}
		return true
	})
	return r
}

// tellNewCoordinator reports the grants held on a server, and the asks that
// waited there, to the server's new coordinator.
func (g *Grants) tellNewCoordinator(now time.Time, s *server) {
	to := s.coordinator.id
	if state := g.leaving.Get(s.backend.ID); state != nil && state.told {
		g.tellLeaving(now, s, state)
	}
	concerned := false
	g.wants.All(func(_ wantKey, w *want) bool {
		if w.backend != nil && w.backend.ID == s.backend.ID {
			concerned = true
		}
		for i := range w.asks {
			if w.asks[i].backend == s.backend.ID {
				w.asks[i].coordinator = to
				w.asks[i].sent = now
				concerned = true
			}
		}
		return true
	})
	if !concerned {
		return
	}
	g.send(now, to, true).Report = g.holdings(now, to)
	g.expectReport(now, to)
}
