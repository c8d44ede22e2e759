package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// handleReply handles a coordinator's reply. A grant is accepted from any
// coordinator while a request for that backend server is pending; any other reply
// must belong to a pending request.
func (g *Grants) handleReply(now time.Time, from entity.InstanceID, r *Reply) {
	g.applyHint(now, r)
	acq := g.acquisitions.Get(acquisitionKey{r.Reference.Request, r.Reference.Attempt})
	if r.Kind == Granted {
		g.handleGranted(now, from, acq, r)
		return
	}
	if acq == nil || acq.backend != nil {
		return
	}
	p := acq.request(r.Sequence)
	if p == nil || p.coordinator != from {
		return
	}
	switch r.Kind {
	case Queued:
		p.queued, p.wait = true, true
		p.waitEnd = now.Add(time.Duration(r.Hint.Wait) * time.Microsecond)
		g.scheduleAcquisition(acq, now.Add(g.cfg.ReprobeDelay<<min(acq.reprobes, maxReprobeDoublings)))
	case Busy:
		g.handleBusy(now, acq, p, r)
	case Rejected:
		g.handleRejected(now, acq, p, r)
	case DeadlineUnreachable:
		g.handleDeadlineUnreachable(now, acq, p)
	}
}

// handleGranted decides an acquisition, or returns a grant that is no longer
// needed.
func (g *Grants) handleGranted(now time.Time, from entity.InstanceID, acq *acquisition, r *Reply) {
	id := r.Reference.Backend
	if acq != nil && acq.backend != nil && acq.backend.ID == id && acq.coordinator == from {
		return
	}
	s := g.servers.Get(id)
	if acq == nil || acq.backend != nil || s == nil || s.draining && !acq.Resume || len(acq.requestsAt(id)) == 0 {
		m := g.messageTo(now, from, true)
		m.Withdrawn = append(m.Withdrawn, r.Reference)
		return
	}
	acq.dropRequestsAt(id)
	g.withdrawRequests(now, acq)
	backend := s.backend
	acq.backend, acq.coordinator, acq.sequence = &backend, from, r.Sequence
	acq.candidates, acq.bestFull = nil, ""
	g.cfg.Policy.Record(now, g.routingQuery(acq), id, r.Cached)
	g.scheduleReport(now, from)
	g.ready.Decisions = append(g.ready.Decisions, Decision{
		Request: acq.Request, Attempt: acq.Attempt, Backend: &backend, Isolated: acq.isolated,
	})
}

// handleBusy records how long the attempt would wait at the busy server. A
// request that waits in another queue may move there; otherwise the next
// candidate is tried.
func (g *Grants) handleBusy(now time.Time, acq *acquisition, p *pendingRequest, r *Reply) {
	id := p.backend
	g.addOutstanding(id, -1)
	acq.dropRequest(p.sequence)
	wait := time.Duration(r.Hint.Wait) * time.Microsecond
	if q := acq.queueRequest(); q != nil {
		g.moveIfMuchShorter(now, acq, *q, id, wait)
		return
	}
	if acq.bestFull == "" || wait < acq.bestWait {
		acq.bestFull, acq.bestWait = id, wait
	}
	g.advance(now, acq)
}

// moveIfMuchShorter moves a queued request to another server if its remaining
// wait is more than minWaitRatio times the wait there.
func (g *Grants) moveIfMuchShorter(now time.Time, acq *acquisition, q pendingRequest, id entity.BackendServerID, wait time.Duration) {
	if wait*minWaitRatio >= q.waitEnd.Sub(now) {
		return
	}
	g.withdrawRequest(now, acq, q)
	g.sendRequest(now, acq, id, true)
}

// handleRejected continues with other servers.
func (g *Grants) handleRejected(now time.Time, acq *acquisition, p *pendingRequest, r *Reply) {
	id := p.backend
	g.addOutstanding(id, -1)
	acq.dropRequest(p.sequence)
	if acq.bestFull == id {
		acq.bestFull = ""
	}
	if s := g.servers.Get(id); s != nil {
		g.applyReason(now, s, r.Reason)
	}
	g.advance(now, acq)
}

func (g *Grants) applyReason(now time.Time, s *server, reason Reason) {
	switch reason {
	case ReasonCoordinator:
		s.insistUntil = now.Add(insistDuration)
		g.emit(event.Event{Number: event.CoordinatorDisputed, At: now, Backend: s.backend.ID, Peer: s.coordinator.id})
	default:
		s.avoidUntil = now.Add(avoidDuration)
	}
}

// handleDeadlineUnreachable refuses an acquisition whose deadline cannot be met,
// unless another server is left to try.
func (g *Grants) handleDeadlineUnreachable(now time.Time, acq *acquisition, p *pendingRequest) {
	g.addOutstanding(p.backend, -1)
	acq.dropRequest(p.sequence)
	if len(acq.requests) > 0 || len(acq.candidates) > 0 {
		g.advance(now, acq)
		return
	}
	err := verdict.New(verdict.NotRun, "deadline", "the deadline cannot be met under the present load")
	g.refuse(now, acq, verdict.WithRetryAfter(err, overloadedRetryDelay))
}

// applyHint stores the state of a backend server that a coordinator sent.
func (g *Grants) applyHint(now time.Time, r *Reply) {
	s := g.servers.Get(r.Reference.Backend)
	if s == nil || r.Hint.Slots == 0 {
		return
	}
	c := s.candidate()
	c.Busy, c.Queued, c.Slots, c.ReportedAt = r.Hint.Busy, r.Hint.Queued, r.Hint.Slots, now
	between := time.Duration(r.Hint.BetweenTokens) * time.Microsecond
	if between > 0 && between != c.BetweenTokens {
		c.BetweenTokens = between
		routing.SetChances(s.service.pool)
	}
}
