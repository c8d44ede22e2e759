package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// tend does what is due for a server's coordination.
func (g *Grants) tend(now time.Time, s *server) {
	l := s.coordination
	if l.trial || !l.deadUntil.IsZero() && !now.Before(l.deadUntil) {
		g.endPause(now, s)
	}
	for _, h := range l.queue.Expire(now) {
		w := l.waiting.Get(h)
		l.waiting.Delete(h)
		g.answer(now, s, h, &w.ask, Reply{Kind: Late})
	}
	if now.Sub(l.checked) >= silenceInterval {
		l.checked = now
		g.reclaimSilent(now, s)
	}
	g.query(now, s)
	g.serve(now, s)
	if s.coordinator.id != g.cfg.Self && l.held.Len()+l.waiting.Len() == 0 {
		s.coordination = nil
		return
	}
	g.wakeServer(s, l.queue.NextExpiry())
	if now.Before(l.opens) {
		g.wakeServer(s, l.opens)
	}
	if now.Before(l.pause) {
		g.wakeServer(s, l.pause)
	}
	if now.Before(l.deadUntil) {
		g.wakeServer(s, l.deadUntil)
	}
	if l.waiting.Len() > 0 {
		g.wakeServer(s, now.Add(queryInterval))
	}
	if l.held.Len() > 0 {
		g.wakeServer(s, now.Add(silenceInterval))
	}
}

// query asks the holders of old grants whether they still have them, while
// others wait: a release may have been lost.
func (g *Grants) query(now time.Time, s *server) {
	l := s.coordination
	if l.waiting.Len() == 0 {
		return
	}
	old := max(queryInterval, queryRuns*l.run)
	l.held.All(func(h holder, held *grant) bool {
		if h.asker == g.cfg.Self || now.Sub(held.since) < old || now.Sub(held.queried) < queryInterval {
			return true
		}
		held.queried = now
		m := g.send(now, h.asker, true)
		m.Queries = append(m.Queries, held.ask.Reference)
		return true
	})
}

// confirmedAt notes that a grant is still held.
func (g *Grants) confirmedAt(now time.Time, from entity.InstanceID, r Reference) {
	s := g.servers.Get(r.Backend)
	if s == nil || s.coordination == nil {
		return
	}
	if held := s.coordination.held.Get(holderOf(from, r)); held != nil {
		held.heard = now
	}
}

// reclaimSilent takes back the grants whose askers no longer confirm them.
func (g *Grants) reclaimSilent(now time.Time, s *server) {
	l := s.coordination
	for _, h := range l.held.Keys() {
		if h.asker != g.cfg.Self && now.Sub(l.held.Get(h).heard) > g.cfg.SilenceLimit {
			g.reclaim(now, s, h)
		}
	}
}

func (g *Grants) reclaim(now time.Time, s *server, h holder) {
	s.coordination.vacate(h)
	g.emit(event.Event{
		Number: event.GrantReclaimed, At: now, Service: s.backend.Service, Request: h.request, Attempt: h.attempt,
		Backend: s.backend.ID, Peer: h.asker,
	})
}

// vacate frees the slot of a holder.
func (l *coordination) vacate(h holder) {
	held := l.held.Get(h)
	if held == nil {
		return
	}
	if held.ask.Alone {
		l.aloneRuns = false
	}
	l.held.Delete(h)
}

// dropAsker takes back all that a dead daemon held or asked for here.
func (g *Grants) dropAsker(now time.Time, id entity.InstanceID) {
	for _, sid := range g.servers.Keys() {
		s := g.servers.Get(sid)
		if s.coordination == nil {
			continue
		}
		for _, h := range s.coordination.held.Keys() {
			if h.asker == id {
				g.reclaim(now, s, h)
			}
		}
		for _, h := range s.coordination.waiting.Keys() {
			if h.asker == id {
				g.unqueue(s, h)
			}
		}
		g.serve(now, s)
	}
}
