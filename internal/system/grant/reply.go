package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// reply takes a coordinator's answer. A grant is taken from any coordinator
// while an ask at that backend server is out; other answers must be to an ask
// that is still open.
func (g *Grants) reply(now time.Time, from entity.InstanceID, r *Reply) {
	g.learnHint(now, r)
	w := g.wants.Get(wantKey{r.Reference.Request, r.Reference.Attempt})
	if r.Kind == Granted {
		g.granted(now, from, w, r)
		return
	}
	if w == nil || w.backend != nil {
		return
	}
	o := w.ask(r.Sequence)
	if o == nil || o.coordinator != from {
		return
	}
	switch r.Kind {
	case Queued:
		o.queued, o.wait = true, true
		o.until = now.Add(time.Duration(r.Hint.Wait) * time.Microsecond)
		g.wakeWant(w, now.Add(g.cfg.ReprobeAfter<<min(w.reprobes, maxReprobes)))
	case Busy:
		g.busy(now, w, o, r)
	case Elsewhere:
		g.elsewhere(now, w, o, r)
	case Late:
		g.late(now, w, o)
	}
}

// granted decides a want, or gives a grant back that is no longer wanted.
func (g *Grants) granted(now time.Time, from entity.InstanceID, w *want, r *Reply) {
	id := r.Reference.Backend
	if w != nil && w.backend != nil && w.backend.ID == id && w.coordinator == from {
		return
	}
	s := g.servers.Get(id)
	if w == nil || w.backend != nil || s == nil || s.leaving && !w.Resume || len(w.asksAt(id)) == 0 {
		m := g.send(now, from, true)
		m.Withdrawn = append(m.Withdrawn, r.Reference)
		return
	}
	w.dropAsks(id)
	g.withdrawAsks(now, w)
	backend := s.backend
	w.backend, w.coordinator, w.sequence = &backend, from, r.Sequence
	w.candidates, w.best = nil, ""
	g.cfg.Policy.Placed(now, g.routingQuery(w), id, r.Cached)
	g.expectReport(now, from)
	g.ready.Decisions = append(g.ready.Decisions, Decision{
		Request: w.Request, Attempt: w.Attempt, Backend: &backend, Alone: w.alone,
	})
}

// busy notes how long the want would wait there and goes on.
func (g *Grants) busy(now time.Time, w *want, o *outstanding, r *Reply) {
	id := o.backend
	g.own(id, -1)
	w.dropAsk(o.sequence)
	wait := time.Duration(r.Hint.Wait) * time.Microsecond
	if q := w.waiting(); q != nil {
		g.moveIfShorter(now, w, *q, id, wait)
		return
	}
	if w.best == "" || wait < w.bestWait {
		w.best, w.bestWait = id, wait
	}
	g.advance(now, w)
}

// moveIfShorter moves a queued ask to a server where it would wait much less
// than where it is.
func (g *Grants) moveIfShorter(now time.Time, w *want, q outstanding, id entity.BackendServerID, wait time.Duration) {
	if wait*moveRatio >= q.until.Sub(now) {
		return
	}
	g.withdrawAsk(now, w, q)
	g.ask(now, w, id, true)
}

// elsewhere goes on without the server.
func (g *Grants) elsewhere(now time.Time, w *want, o *outstanding, r *Reply) {
	id := o.backend
	g.own(id, -1)
	w.dropAsk(o.sequence)
	if w.best == id {
		w.best = ""
	}
	if s := g.servers.Get(id); s != nil {
		g.learnReason(now, s, r.Reason)
	}
	g.advance(now, w)
}

func (g *Grants) learnReason(now time.Time, s *server, reason Reason) {
	switch reason {
	case ReasonCoordinator:
		s.disputed = now.Add(disputeTime)
		g.emit(event.Event{Number: event.CoordinatorUnclear, At: now, Backend: s.backend.ID, Peer: s.coordinator.id})
	default:
		s.avoid = now.Add(avoidTime)
	}
}

// late refuses a want whose deadline cannot be met, unless it may still be
// met elsewhere.
func (g *Grants) late(now time.Time, w *want, o *outstanding) {
	g.own(o.backend, -1)
	w.dropAsk(o.sequence)
	if len(w.asks) > 0 || len(w.candidates) > 0 {
		g.advance(now, w)
		return
	}
	err := verdict.New(verdict.NotRun, "deadline", "the deadline cannot be met under the present load")
	g.refuse(now, w, verdict.WithRetryAfter(err, overloadedBack))
}

// learnHint keeps a coordinator's knowledge of a backend server.
func (g *Grants) learnHint(now time.Time, r *Reply) {
	s := g.servers.Get(r.Reference.Backend)
	if s == nil || r.Hint.Slots == 0 {
		return
	}
	c := s.candidate()
	c.Busy, c.Queued, c.Slots, c.At = r.Hint.Busy, r.Hint.Queued, r.Hint.Slots, now
	between := time.Duration(r.Hint.Between) * time.Microsecond
	if between > 0 && between != c.Between {
		c.Between = between
		routing.SetChances(s.service.pool)
	}
}
