package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// reportTimer says when the next report to a coordinator is due.
type reportTimer struct {
	at time.Time
}

// scheduleReport schedules a report to a coordinator that gave a grant, unless
// one is scheduled. Most grants end before it is due.
func (g *Grants) scheduleReport(now time.Time, coordinator entity.InstanceID) {
	if coordinator == g.cfg.Self || g.reports.Get(coordinator) != nil {
		return
	}
	at := now.Add(g.cfg.ReportInterval)
	g.reports.Put(coordinator, &reportTimer{at: at})
	g.schedule.add(timer{at: at, kind: timerReport, peer: coordinator})
}

// sendReport sends a coordinator a report of the grants and requests there, and
// schedules the next one. Without any it does neither.
func (g *Grants) sendReport(now time.Time, to entity.InstanceID) {
	g.reports.Delete(to)
	if g.members.find(to) == nil {
		return
	}
	r := g.newReport(now, to)
	if len(r.Held)+len(r.Waiting) == 0 {
		return
	}
	g.messageTo(now, to, false).Report = r
	g.scheduleReport(now, to)
}

// handleQuery answers a coordinator's query whether a grant is still held. If the
// message with the grant was lost, the query is handled as the grant.
func (g *Grants) handleQuery(now time.Time, from entity.InstanceID, r Reference) {
	acq := g.acquisitions.Get(acquisitionKey{r.Request, r.Attempt})
	if acq != nil && acq.backend != nil && acq.backend.ID == r.Backend {
		m := g.messageTo(now, from, true)
		m.Confirmed = append(m.Confirmed, r)
		return
	}
	g.handleGranted(now, from, acq, &Reply{Reference: r, Kind: Granted})
}

// newReport lists the grants that this daemon holds from a coordinator and the
// requests that are pending there.
func (g *Grants) newReport(now time.Time, to entity.InstanceID) *Report {
	r := &Report{Sequence: g.sequence}
	g.acquisitions.All(func(_ acquisitionKey, acq *acquisition) bool {
		if acq.backend != nil {
			s := g.servers.Get(acq.backend.ID)
			if s != nil && s.coordinator.id == to {
				p := pendingRequest{backend: acq.backend.ID, sequence: acq.sequence}
				r.Held = append(r.Held, g.newRequest(now, acq, &p))
			}
			return true
		}
		for i := range acq.requests {
			if acq.requests[i].coordinator == to {
				r.Waiting = append(r.Waiting, g.newRequest(now, acq, &acq.requests[i]))
			}
		}
		return true
	})
	return r
}

// reportToNewCoordinator reports the grants held on a server, and the pending
// requests for it, to the server's new coordinator.
func (g *Grants) reportToNewCoordinator(now time.Time, s *server) {
	to := s.coordinator.id
	if state := g.drainStates.Get(s.backend.ID); state != nil && state.local {
		g.sendDrainNotice(now, s, state)
	}
	affected := false
	g.acquisitions.All(func(_ acquisitionKey, acq *acquisition) bool {
		if acq.backend != nil && acq.backend.ID == s.backend.ID {
			affected = true
		}
		for i := range acq.requests {
			if acq.requests[i].backend == s.backend.ID {
				acq.requests[i].coordinator = to
				acq.requests[i].sent = now
				affected = true
			}
		}
		return true
	})
	if !affected {
		return
	}
	g.messageTo(now, to, true).Report = g.newReport(now, to)
	g.scheduleReport(now, to)
}
