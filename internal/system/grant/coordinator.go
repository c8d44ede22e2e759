package grant

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// openLot starts to coordinate a server. Others may hold grants from a former
// coordinator, so that nothing is granted before they can have reported.
func (g *Grants) openLot(now time.Time, s *server) {
	if s.lot != nil {
		return
	}
	s.lot = newLot(s)
	if len(g.members.all) > 1 {
		s.lot.opens = now.Add(g.cfg.RebuildWindow)
		g.wakeServer(s, s.lot.opens)
	}
}

// closeLot stops coordinating a server; waiting asks are sent elsewhere.
func (g *Grants) closeLot(now time.Time, s *server, reason Reason) {
	if s.lot == nil {
		return
	}
	g.sendAway(now, s, reason)
	s.lot = nil
}

// sendAway answers all waiting asks of a server.
func (g *Grants) sendAway(now time.Time, s *server, reason Reason) {
	l := s.lot
	waiting := l.queue.Drain()
	waiting = append(waiting, l.alone...)
	l.alone = nil
	for _, h := range waiting {
		w := l.waiting.Get(h)
		l.waiting.Delete(h)
		if w != nil {
			g.answer(now, s, h, &w.ask, Reply{Kind: Elsewhere, Reason: reason})
		}
	}
}

// answer replies to an ask. The reply's reference, sequence and hint are
// filled in.
func (g *Grants) answer(now time.Time, s *server, h holder, a *Ask, r Reply) {
	r.Reference, r.Sequence = a.Reference, a.Sequence
	if s != nil && s.lot != nil {
		r.Hint = s.lot.hint(a, r.Kind)
	}
	m := g.send(now, h.asker, true)
	m.Replies = append(m.Replies, r)
}

// askAt takes an ask as a coordinator.
func (g *Grants) askAt(now time.Time, from entity.InstanceID, a *Ask) {
	h := holderOf(from, a.Reference)
	s := g.servers.Get(a.Reference.Backend)
	if reason := g.notServing(now, s, a); reason != 0 {
		g.answer(now, s, h, a, Reply{Kind: Elsewhere, Reason: reason})
		return
	}
	if s.lot == nil {
		g.openLot(now, s)
	}
	l := s.lot
	if held := l.held.Get(h); held != nil {
		held.heard = now
		g.answer(now, s, h, a, Reply{Kind: Granted, Cached: l.prefixes.count(a.Prefix)})
		return
	}
	if l.waiting.Get(h) != nil {
		g.answer(now, s, h, a, Reply{Kind: Queued})
		return
	}
	if a.Resume {
		g.transfer(now, s, h, a)
		return
	}
	if a.Priority == 0 {
		l.urgent = now
	}
	g.enqueue(now, s, h, a)
	g.serve(now, s)
	if l.waiting.Get(h) != nil {
		g.keepOrReturn(now, s, h, a)
	}
}

// transfer moves the slot of a running attempt to the daemon that has taken
// its request over. If the former holder is not known, it counts besides the
// slots: the attempt runs in any case.
func (g *Grants) transfer(now time.Time, s *server, h holder, a *Ask) {
	l := s.lot
	for _, other := range l.held.Keys() {
		if other.request == h.request && other != h {
			l.vacate(other)
		}
	}
	l.waiting.Put(h, &waiter{ask: *a, arrived: now})
	l.aloneRuns = l.aloneRuns || a.Alone
	g.grant(now, s, h)
}

// notServing returns why an ask cannot be served here; 0: it can.
func (g *Grants) notServing(now time.Time, s *server, a *Ask) Reason {
	switch {
	case s == nil:
		return ReasonUnknown
	case s.leaving && !a.Resume:
		return ReasonLeaving
	case s.coordinator.id != g.cfg.Self && !a.Insist:
		return ReasonCoordinator
	case s.lot != nil && now.Before(s.lot.deadUntil):
		return ReasonDead
	case s.lot != nil && s.lot.trial && a.Alone:
		return ReasonDead
	default:
		return 0
	}
}

func (g *Grants) enqueue(now time.Time, s *server, h holder, a *Ask) {
	l := s.lot
	w := &waiter{ask: *a, arrived: now}
	if a.Left > 0 {
		w.deadline = now.Add(time.Duration(a.Left) * time.Microsecond)
	}
	l.waiting.Put(h, w)
	g.wakeServer(s, now.Add(queryInterval))
	if a.Alone {
		l.alone = append(l.alone, h)
		l.aloneTurn = true
		return
	}
	l.queue.Push(l.entry(h, w))
	if at := l.queue.NextExpiry(); !at.IsZero() {
		g.wakeServer(s, later(now, at))
	}
}

// keepOrReturn decides on an ask that found no free slot.
func (g *Grants) keepOrReturn(now time.Time, s *server, h holder, a *Ask) {
	l := s.lot
	left := time.Duration(a.Left) * time.Microsecond
	wait := l.wait(a)
	late := a.Left > 0 && wait+l.estimate(a) > left
	cached := l.prefixes.count(a.Prefix) > 0 && wait <= cacheWait
	switch {
	case a.Alone:
		g.answer(now, s, h, a, Reply{Kind: Queued})
	case late && !now.Before(l.opens):
		g.unqueue(s, h)
		g.answer(now, s, h, a, Reply{Kind: Late})
	case a.Wait || cached:
		g.answer(now, s, h, a, Reply{Kind: Queued})
	default:
		g.unqueue(s, h)
		g.answer(now, s, h, a, Reply{Kind: Busy})
	}
}

func (g *Grants) unqueue(s *server, h holder) {
	l := s.lot
	l.waiting.Delete(h)
	l.queue.Remove(h)
	l.alone = slices.DeleteFunc(l.alone, func(o holder) bool { return o == h })
}

// serve grants what is free.
func (g *Grants) serve(now time.Time, s *server) {
	l := s.lot
	for l.open(now) && !s.leaving {
		if l.aloneRuns {
			return
		}
		if len(l.alone) > 0 && (l.aloneTurn || l.queue.Len() == 0) {
			if l.held.Len() > 0 {
				return
			}
			g.grantAlone(now, s)
			return
		}
		if !g.grantNext(now, s) {
			return
		}
	}
}

// open reports whether anything may be granted now.
func (l *lot) open(now time.Time) bool {
	return !now.Before(l.opens) && !now.Before(l.deadUntil) && !now.Before(l.pause)
}

// grantNext grants the next waiting ask that may have a slot.
func (g *Grants) grantNext(now time.Time, s *server) bool {
	l := s.lot
	free := l.free()
	if free <= 0 {
		l.aloneTurn = len(l.alone) > 0
		return false
	}
	lowest := entity.Priority(entity.PriorityCount - 1)
	if free <= l.reserve(now) {
		lowest = 0
	}
	e, ok := l.queue.Pop(lowest)
	if !ok {
		l.aloneTurn = len(l.alone) > 0
		return false
	}
	g.grant(now, s, e.Key)
	return true
}

func (g *Grants) grantAlone(now time.Time, s *server) {
	l := s.lot
	h := l.alone[0]
	l.alone = l.alone[1:]
	l.aloneRuns, l.aloneTurn = true, false
	g.grant(now, s, h)
}

func (g *Grants) grant(now time.Time, s *server, h holder) {
	l := s.lot
	w := l.waiting.Get(h)
	l.waiting.Delete(h)
	l.held.Put(h, &grant{ask: w.ask, since: now, heard: now})
	g.answer(now, s, h, &w.ask, Reply{Kind: Granted, Cached: l.prefixes.count(w.ask.Prefix)})
	g.wakeServer(s, now.Add(silenceInterval))
	g.emit(event.Event{
		Number: event.GrantGiven, At: now, Service: s.backend.Service, Request: h.request, Attempt: h.attempt,
		Backend: s.backend.ID, Peer: h.asker,
	})
}
