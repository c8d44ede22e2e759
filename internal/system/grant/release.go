package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fairshare"
)

// queueEntry returns a waiter's entry for the queue.
func (coord *coordination) queueEntry(h holder, w *waiter) fairshare.Entry[holder] {
	return fairshare.Entry[holder]{
		Key:          h,
		Organisation: w.request.Organisation,
		Priority:     w.request.Priority,
		Cost:         w.request.Cost,
		LatestStart:  w.deadline,
	}
}

// handleRelease ends a released grant as the coordinator.
func (g *Grants) handleRelease(now time.Time, from entity.InstanceID, r *Release) {
	s := g.servers.Get(r.Reference.Backend)
	if s == nil || s.coordination == nil {
		return
	}
	coord := s.coordination
	h := holderOf(from, r.Reference)
	held := coord.held.Get(h)
	if held == nil {
		return
	}
	coord.releaseSlot(h)
	coord.recordRelease(now, held, r)
	switch r.Kind {
	case Completed:
		g.endTrial(now, s)
	case BackendDied:
		g.handleDeath(now, s)
	case Refused:
		coord.pausedUntil = now.Add(refusalPause << min(coord.refusals, maxRefusalDoublings))
		coord.refusals++
		g.scheduleServer(s, coord.pausedUntil)
	}
	g.grantSlots(now, s)
}

func (coord *coordination) recordRelease(now time.Time, held *grant, r *Release) {
	if r.Tokens > 0 {
		coord.queue.CorrectCharge(held.request.Organisation, held.request.Priority, held.request.Cost, r.Tokens)
	}
	if r.BetweenTokens > 0 {
		coord.meanBetweenTokens = smooth(coord.meanBetweenTokens, time.Duration(r.BetweenTokens)*time.Microsecond)
	}
	if r.Kind != Completed {
		return
	}
	coord.recordRun(&held.request, now.Sub(held.since))
	for _, p := range held.request.Prefix {
		coord.prefixes.store(p, coord.prefixes.sequence)
	}
}

// handleWithdrawal ends a request or an unused grant as the coordinator.
func (g *Grants) handleWithdrawal(now time.Time, from entity.InstanceID, r Reference) {
	s := g.servers.Get(r.Backend)
	if s == nil || s.coordination == nil {
		return
	}
	coord := s.coordination
	h := holderOf(from, r)
	if held := coord.held.Get(h); held != nil {
		coord.queue.CorrectCharge(held.request.Organisation, held.request.Priority, held.request.Cost, 0)
		coord.releaseSlot(h)
	}
	g.dequeue(s, h)
	g.grantSlots(now, s)
}

// endTrial ends the trial of a server that has completed an attempt.
func (g *Grants) endTrial(now time.Time, s *server) {
	coord := s.coordination
	coord.deaths, coord.refusals = 0, 0
	coord.trial = false
}

// handleDeath takes a server that died out of use for a while. All grants end
// with it; the other requesters report their own outcomes.
func (g *Grants) handleDeath(now time.Time, s *server) {
	coord := s.coordination
	// 8 doublings exceed maxTrialDelay; more could overflow.
	delay := min(minTrialDelay<<min(coord.deaths, 8), maxTrialDelay)
	coord.deaths++
	coord.deadUntil = now.Add(delay)
	coord.trial = true
	for _, h := range coord.held.Keys() {
		coord.releaseSlot(h)
	}
	g.rejectWaiting(now, s, ReasonDead)
	g.scheduleServer(s, coord.deadUntil)
	g.emit(event.Event{Number: event.BackendDied, At: now, Service: s.backend.Service, Backend: s.backend.ID})
}

// startTrial puts a server that died back into use once its delay is over, for
// one attempt at a time.
func (g *Grants) startTrial(now time.Time, s *server) {
	coord := s.coordination
	if coord.deadUntil.IsZero() || now.Before(coord.deadUntil) {
		return
	}
	coord.deadUntil = time.Time{}
	g.emit(event.Event{Number: event.BackendOnTrial, At: now, Service: s.backend.Service, Backend: s.backend.ID})
}

// applyReport applies a requester's report: it restores the grants and requests
// that this coordinator does not know, and ends those that the requester no
// longer has.
func (g *Grants) applyReport(now time.Time, from entity.InstanceID, r *Report) {
	reported := entity.NewTable[holder, Request]()
	for i := range r.Held {
		reported.Put(holderOf(from, r.Held[i].Reference), &r.Held[i])
		g.restoreGrant(now, from, &r.Held[i])
	}
	for i := range r.Waiting {
		reported.Put(holderOf(from, r.Waiting[i].Reference), &r.Waiting[i])
	}
	for _, id := range g.servers.Keys() {
		if s := g.servers.Get(id); s.coordination != nil {
			g.dropUnreported(now, s, from, r.Sequence, reported)
		}
	}
	for i := range r.Waiting {
		g.handleRequest(now, from, &r.Waiting[i])
	}
}

// restoreGrant adds a grant that a previous coordinator gave. The grants may
// exceed the slots until enough are released.
func (g *Grants) restoreGrant(now time.Time, from entity.InstanceID, req *Request) {
	s := g.servers.Get(req.Reference.Backend)
	if s == nil || s.coordination == nil {
		return
	}
	h := holderOf(from, req.Reference)
	if held := s.coordination.held.Get(h); held != nil {
		held.lastConfirmed = now
		return
	}
	g.dequeue(s, h)
	s.coordination.held.Put(h, &grant{request: *req, since: now, lastConfirmed: now})
	if req.Isolated {
		s.coordination.isolatedRunning = true
	}
	g.scheduleServer(s, now.Add(silenceCheckInterval))
}

// dropUnreported ends the grants and requests of a requester up to a sequence
// number that it has not reported.
func (g *Grants) dropUnreported(now time.Time, s *server, from entity.InstanceID, sequence uint32, reported *entity.Table[holder, Request]) {
	coord := s.coordination
	for _, h := range coord.held.Keys() {
		if h.requester == from && coord.held.Get(h).request.Sequence <= sequence && reported.Get(h) == nil {
			g.reclaim(now, s, h)
		}
	}
	for _, h := range coord.waiting.Keys() {
		if h.requester == from && coord.waiting.Get(h).request.Sequence <= sequence && reported.Get(h) == nil {
			g.dequeue(s, h)
		}
	}
	g.grantSlots(now, s)
}

// LoadReport applies a load report of a backend server. Only its coordinator
// uses it: requests that run there without a grant occupy slots.
func (g *Grants) LoadReport(now time.Time, id entity.BackendServerID, r Load) {
	s := g.servers.Get(id)
	if s == nil || s.coordination == nil {
		return
	}
	coord := s.coordination
	coord.external[coord.reports%loadSamples] = max(0, r.Running+r.Queued-coord.held.Len())
	coord.reports++
	if r.Slots > 0 {
		coord.slots = r.Slots
	}
	g.grantSlots(now, s)
	g.deliver(now)
}
