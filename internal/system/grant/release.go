package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fairshare"
)

// entry returns the queue's row of a waiter.
func (l *coordination) entry(h holder, w *waiter) fairshare.Entry[holder] {
	return fairshare.Entry[holder]{
		Key:          h,
		Organisation: w.ask.Organisation,
		Priority:     w.ask.Priority,
		Cost:         w.ask.Cost,
		Latest:       w.deadline,
	}
}

// releaseAt takes a grant back as a coordinator.
func (g *Grants) releaseAt(now time.Time, from entity.InstanceID, r *Release) {
	s := g.servers.Get(r.Reference.Backend)
	if s == nil || s.coordination == nil {
		return
	}
	l := s.coordination
	h := holderOf(from, r.Reference)
	held := l.held.Get(h)
	if held == nil {
		return
	}
	l.vacate(h)
	l.learnRelease(now, held, r)
	switch r.Kind {
	case Completed:
		g.proved(now, s)
	case BackendDied:
		g.died(now, s)
	case Refused:
		l.pause = now.Add(refusalPause << min(l.refusals, maxRefusals))
		l.refusals++
		g.wakeServer(s, l.pause)
	}
	g.serve(now, s)
}

func (l *coordination) learnRelease(now time.Time, held *grant, r *Release) {
	if r.Tokens > 0 {
		l.queue.Correct(held.ask.Organisation, held.ask.Priority, held.ask.Cost, r.Tokens)
	}
	if r.BetweenTokens > 0 {
		l.between = smooth(l.between, time.Duration(r.BetweenTokens)*time.Microsecond)
	}
	if r.Kind != Completed {
		return
	}
	l.learnRun(&held.ask, now.Sub(held.since))
	for _, p := range held.ask.Prefix {
		l.prefixes.store(p, l.prefixes.sequence)
	}
}

// withdrawAt takes an ask or an unused grant back as a coordinator.
func (g *Grants) withdrawAt(now time.Time, from entity.InstanceID, r Reference) {
	s := g.servers.Get(r.Backend)
	if s == nil || s.coordination == nil {
		return
	}
	l := s.coordination
	h := holderOf(from, r)
	if held := l.held.Get(h); held != nil {
		l.queue.Correct(held.ask.Organisation, held.ask.Priority, held.ask.Cost, 0)
		l.vacate(h)
	}
	g.unqueue(s, h)
	g.serve(now, s)
}

// proved ends the trial of a server that has completed an attempt.
func (g *Grants) proved(now time.Time, s *server) {
	l := s.coordination
	l.deaths, l.refusals = 0, 0
	l.trial = false
}

// died takes a server out of use for a while. What else it ran is lost; the
// other askers say so themselves.
func (g *Grants) died(now time.Time, s *server) {
	l := s.coordination
	pause := min(trialPause<<min(l.deaths, 8), maxTrialPause)
	l.deaths++
	l.deadUntil = now.Add(pause)
	l.trial = true
	for _, h := range l.held.Keys() {
		l.vacate(h)
	}
	g.sendAway(now, s, ReasonDead)
	g.wakeServer(s, l.deadUntil)
	g.emit(event.Event{Number: event.BackendDied, At: now, Service: s.backend.Service, Backend: s.backend.ID})
}

// endPause notes that a server that died may be tried again.
func (g *Grants) endPause(now time.Time, s *server) {
	l := s.coordination
	if l.deadUntil.IsZero() || now.Before(l.deadUntil) {
		return
	}
	l.deadUntil = time.Time{}
	g.emit(event.Event{Number: event.BackendOnTrial, At: now, Service: s.backend.Service, Backend: s.backend.ID})
}

// reconcile takes an asker's report: it restores what this coordinator does
// not know, and ends what the asker no longer has.
func (g *Grants) reconcile(now time.Time, from entity.InstanceID, r *Report) {
	reported := entity.NewTable[holder, Ask]()
	for i := range r.Held {
		reported.Put(holderOf(from, r.Held[i].Reference), &r.Held[i])
		g.restore(now, from, &r.Held[i])
	}
	for i := range r.Waiting {
		reported.Put(holderOf(from, r.Waiting[i].Reference), &r.Waiting[i])
	}
	for _, id := range g.servers.Keys() {
		if s := g.servers.Get(id); s.coordination != nil {
			g.endUnreported(now, s, from, r.Sequence, reported)
		}
	}
	for i := range r.Waiting {
		g.askAt(now, from, &r.Waiting[i])
	}
}

// restore adds a grant that a former coordinator gave. It may exceed the
// slots until enough are released.
func (g *Grants) restore(now time.Time, from entity.InstanceID, a *Ask) {
	s := g.servers.Get(a.Reference.Backend)
	if s == nil || s.coordination == nil {
		return
	}
	h := holderOf(from, a.Reference)
	if held := s.coordination.held.Get(h); held != nil {
		held.heard = now
		return
	}
	g.unqueue(s, h)
	s.coordination.held.Put(h, &grant{ask: *a, since: now, heard: now})
	if a.Alone {
		s.coordination.aloneRuns = true
	}
	g.wakeServer(s, now.Add(silenceInterval))
}

// endUnreported ends what an asker held or asked for up to a sequence number
// and does not report.
func (g *Grants) endUnreported(now time.Time, s *server, from entity.InstanceID, sequence uint32, reported *entity.Table[holder, Ask]) {
	l := s.coordination
	for _, h := range l.held.Keys() {
		if h.asker == from && l.held.Get(h).ask.Sequence <= sequence && reported.Get(h) == nil {
			g.reclaim(now, s, h)
		}
	}
	for _, h := range l.waiting.Keys() {
		if h.asker == from && l.waiting.Get(h).ask.Sequence <= sequence && reported.Get(h) == nil {
			g.unqueue(s, h)
		}
	}
	g.serve(now, s)
}

// LoadReport takes a backend server's own load report. Only its coordinator
// uses it: what runs there besides its grants takes slots.
func (g *Grants) LoadReport(now time.Time, id entity.BackendServerID, r Load) {
	s := g.servers.Get(id)
	if s == nil || s.coordination == nil {
		return
	}
	l := s.coordination
	l.external[l.reports%loadSamples] = max(0, r.Running+r.Queued-l.held.Len())
	l.reports++
	if r.Slots > 0 {
		l.slots = r.Slots
	}
	g.serve(now, s)
	g.settle(now)
}
