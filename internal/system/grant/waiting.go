package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// wake looks at a want whose time has come.
func (g *Grants) wake(now time.Time, w *want) {
	if w.backend != nil {
		return
	}
	if p := w.probing(); p != nil && now.Sub(p.sent) >= g.cfg.AskTimeout {
		g.unanswered(now, w, *p)
	}
	q := w.waiting()
	if q != nil && !q.queued && now.Sub(q.sent) >= g.cfg.AskTimeout {
		g.unanswered(now, w, *q)
		q = nil
	}
	g.advance(now, w)
	if g.wants.Get(w.key()) != w || w.backend != nil {
		return
	}
	if q = w.waiting(); q != nil && q.queued && w.probing() == nil {
		g.reprobe(now, w, q)
	}
	g.wakeAgain(now, w)
}

// wakeAgain sets the next time to look at an undecided want.
func (g *Grants) wakeAgain(now time.Time, w *want) {
	if !w.Deadline.IsZero() {
		g.wakeWant(w, later(now, w.Deadline))
	}
	for i := range w.asks {
		if !w.asks[i].queued {
			g.wakeWant(w, later(now, w.asks[i].sent.Add(g.cfg.AskTimeout)))
		}
	}
	if q := w.waiting(); q != nil && q.queued {
		g.wakeWant(w, now.Add(g.cfg.ReprobeAfter<<min(w.reprobes, maxReprobes)))
	}
}

// later avoids a timer in the past that would fire at once again.
func later(now, at time.Time) time.Time {
	if at.After(now) {
		return at
	}
	return now.Add(time.Millisecond)
}

// unanswered gives an ask up whose reply is overdue.
func (g *Grants) unanswered(now time.Time, w *want, o outstanding) {
	g.withdrawAsk(now, w, o)
	if s := g.servers.Get(o.backend); s != nil {
		s.avoid = now.Add(avoidTime)
	}
	g.emit(event.Event{
		Number: event.AskUnanswered, At: now, Service: w.Service, Request: w.Request, Attempt: w.Attempt,
		Backend: o.backend, Peer: o.coordinator,
	})
}

// reprobe looks for a free slot elsewhere while an ask waits, and repeats the
// waiting ask now and then, since its coordinator may have lost it.
func (g *Grants) reprobe(now time.Time, w *want, q *outstanding) {
	w.reprobes++
	if w.reprobes%2 == 0 {
		m := g.send(now, q.coordinator, true)
		m.Asks = append(m.Asks, g.askPart(now, w, q))
	}
	sv := g.services.Get(w.Service)
	if sv == nil || w.alone {
		return
	}
	pool := g.candidates(now, sv, w)
	for _, id := range g.cfg.Policy.Choose(now, g.cfg.Rand, g.routingQuery(w), pool, 2) {
		if id != q.backend {
			g.ask(now, w, id, false)
			return
		}
	}
}
