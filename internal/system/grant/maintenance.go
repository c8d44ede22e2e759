package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// maintain does what is due for a server's coordination and schedules the next
// time.
func (g *Grants) maintain(now time.Time, s *server) {
	coord := s.coordination
	if coord.trial || !coord.deadUntil.IsZero() && !now.Before(coord.deadUntil) {
		g.startTrial(now, s)
	}
	for _, h := range coord.queue.Expire(now) {
		w := coord.waiting.Get(h)
		coord.waiting.Delete(h)
		g.sendReply(now, s, h, &w.request, Reply{Kind: DeadlineUnreachable})
	}
	if now.Sub(coord.lastSilenceCheck) >= silenceCheckInterval {
		coord.lastSilenceCheck = now
		g.reclaimSilent(now, s)
	}
	g.queryHolders(now, s)
	g.grantSlots(now, s)
	if s.coordinator.id != g.cfg.Self && coord.held.Len()+coord.waiting.Len() == 0 {
		s.coordination = nil
		return
	}
	g.scheduleServer(s, coord.queue.NextExpiry())
	if now.Before(coord.opensAt) {
		g.scheduleServer(s, coord.opensAt)
	}
	if now.Before(coord.pausedUntil) {
		g.scheduleServer(s, coord.pausedUntil)
	}
	if now.Before(coord.deadUntil) {
		g.scheduleServer(s, coord.deadUntil)
	}
	if coord.waiting.Len() > 0 {
		g.scheduleServer(s, now.Add(queryInterval))
	}
	if coord.held.Len() > 0 {
		g.scheduleServer(s, now.Add(silenceCheckInterval))
	}
}

// queryHolders asks the holders of old grants whether they still hold them, while
// requests wait: a release may have been lost.
func (g *Grants) queryHolders(now time.Time, s *server) {
	coord := s.coordination
	if coord.waiting.Len() == 0 {
		return
	}
	minAge := max(queryInterval, queryAgeRuns*coord.meanRun)
	coord.held.All(func(h holder, held *grant) bool {
		if h.requester == g.cfg.Self || now.Sub(held.since) < minAge || now.Sub(held.lastQueried) < queryInterval {
			return true
		}
		held.lastQueried = now
		m := g.messageTo(now, h.requester, true)
		m.Queries = append(m.Queries, held.request.Reference)
		return true
	})
}

// handleConfirmation records that a grant is still held.
func (g *Grants) handleConfirmation(now time.Time, from entity.InstanceID, r Reference) {
	s := g.servers.Get(r.Backend)
	if s == nil || s.coordination == nil {
		return
	}
	if held := s.coordination.held.Get(holderOf(from, r)); held != nil {
		held.lastConfirmed = now
	}
}

// reclaimSilent reclaims the grants that their requesters no longer confirm.
func (g *Grants) reclaimSilent(now time.Time, s *server) {
	coord := s.coordination
	for _, h := range coord.held.Keys() {
		if h.requester != g.cfg.Self && now.Sub(coord.held.Get(h).lastConfirmed) > g.cfg.SilenceTimeout {
			g.reclaim(now, s, h)
		}
	}
}

func (g *Grants) reclaim(now time.Time, s *server, h holder) {
	s.coordination.releaseSlot(h)
	g.emit(event.Event{
		Number: event.GrantReclaimed, At: now, Service: s.backend.Service, Request: h.request, Attempt: h.attempt,
		Backend: s.backend.ID, Peer: h.requester,
	})
}

// releaseSlot frees the slot of a holder.
func (coord *coordination) releaseSlot(h holder) {
	held := coord.held.Get(h)
	if held == nil {
		return
	}
	if held.request.Isolated {
		coord.isolatedRunning = false
	}
	coord.held.Delete(h)
}

// dropRequester ends the grants and requests of a dead daemon.
func (g *Grants) dropRequester(now time.Time, id entity.InstanceID) {
	for _, sid := range g.servers.Keys() {
		s := g.servers.Get(sid)
		if s.coordination == nil {
			continue
		}
		for _, h := range s.coordination.held.Keys() {
			if h.requester == id {
				g.reclaim(now, s, h)
			}
		}
		for _, h := range s.coordination.waiting.Keys() {
			if h.requester == id {
				g.dequeue(s, h)
			}
		}
		g.grantSlots(now, s)
	}
}
