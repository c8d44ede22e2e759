package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// checkAcquisition handles a due acquisition: it gives up unanswered requests,
// sends the next one, and probes further servers while one waits in a queue.
func (g *Grants) checkAcquisition(now time.Time, acq *acquisition) {
	if acq.backend != nil {
		return
	}
	if p := acq.probe(); p != nil && now.Sub(p.sent) >= g.cfg.RequestTimeout {
		g.handleUnanswered(now, acq, *p)
	}
	q := acq.queueRequest()
	if q != nil && !q.queued && now.Sub(q.sent) >= g.cfg.RequestTimeout {
		g.handleUnanswered(now, acq, *q)
		q = nil
	}
	g.advance(now, acq)
	if g.acquisitions.Get(acq.key()) != acq || acq.backend != nil {
		return
	}
	if q = acq.queueRequest(); q != nil && q.queued && acq.probe() == nil {
		g.reprobe(now, acq, q)
	}
	g.rescheduleAcquisition(now, acq)
}

// rescheduleAcquisition sets the next time to check an undecided acquisition.
func (g *Grants) rescheduleAcquisition(now time.Time, acq *acquisition) {
	if !acq.Deadline.IsZero() {
		g.scheduleAcquisition(acq, futureTime(now, acq.Deadline))
	}
	for i := range acq.requests {
		if !acq.requests[i].queued {
			g.scheduleAcquisition(acq, futureTime(now, acq.requests[i].sent.Add(g.cfg.RequestTimeout)))
		}
	}
	if q := acq.queueRequest(); q != nil && q.queued {
		g.scheduleAcquisition(acq, now.Add(g.cfg.ReprobeDelay<<min(acq.reprobes, maxReprobeDoublings)))
	}
}

// futureTime returns at, or 1 ms after now if at is not in the future, so
// that a timer does not fire again at once.
func futureTime(now, at time.Time) time.Time {
	if at.After(now) {
		return at
	}
	return now.Add(time.Millisecond)
}

// handleUnanswered withdraws a request whose reply is overdue and avoids its
// server for a while.
func (g *Grants) handleUnanswered(now time.Time, acq *acquisition, p pendingRequest) {
	g.withdrawRequest(now, acq, p)
	if s := g.servers.Get(p.backend); s != nil {
		s.avoidUntil = now.Add(avoidDuration)
	}
	g.emit(event.Event{
		Number: event.GrantRequestUnanswered, At: now, Service: acq.Service, Request: acq.Request, Attempt: acq.Attempt,
		Backend: p.backend, Peer: p.coordinator,
	})
}

// reprobe probes another server for a free slot while a request waits in a
// queue. Every second time it also repeats the waiting request, since its
// coordinator may have lost it.
func (g *Grants) reprobe(now time.Time, acq *acquisition, q *pendingRequest) {
	acq.reprobes++
	if acq.reprobes%2 == 0 {
		m := g.messageTo(now, q.coordinator, true)
		m.Requests = append(m.Requests, g.newRequest(now, acq, q))
	}
	sv := g.services.Get(acq.Service)
	if sv == nil || acq.isolated {
		return
	}
	pool := g.candidates(now, sv, acq)
	for _, id := range g.cfg.Policy.Choose(now, g.cfg.Rand, g.routingQuery(acq), pool, 2) {
		if id != q.backend {
			g.sendRequest(now, acq, id, false)
			return
		}
	}
}
