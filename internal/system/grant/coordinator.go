package grant

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// startCoordination starts to coordinate a server. Other daemons may hold grants
// of a previous coordinator, so nothing is granted until they have had the time
// to report them.
func (g *Grants) startCoordination(now time.Time, s *server) {
	if s.coordination != nil {
		return
	}
	s.coordination = newCoordination(s)
	if len(g.members.all) > 1 {
		s.coordination.opensAt = now.Add(g.cfg.RebuildWindow)
		g.scheduleServer(s, s.coordination.opensAt)
	}
}

// stopCoordination stops coordinating a server and rejects the waiting requests.
func (g *Grants) stopCoordination(now time.Time, s *server, reason Reason) {
	if s.coordination == nil {
		return
	}
	g.rejectWaiting(now, s, reason)
	s.coordination = nil
}

// rejectWaiting rejects all waiting requests of a server.
func (g *Grants) rejectWaiting(now time.Time, s *server, reason Reason) {
	coord := s.coordination
	waiting := coord.queue.Drain()
	waiting = append(waiting, coord.isolatedQueue...)
	coord.isolatedQueue = nil
	for _, h := range waiting {
		w := coord.waiting.Get(h)
		coord.waiting.Delete(h)
		if w != nil {
			g.sendReply(now, s, h, &w.request, Reply{Kind: Rejected, Reason: reason})
		}
	}
}

// sendReply replies to a request. It fills in the reply's reference, sequence
// and hint.
func (g *Grants) sendReply(now time.Time, s *server, h holder, req *Request, r Reply) {
	r.Reference, r.Sequence = req.Reference, req.Sequence
	if s != nil && s.coordination != nil {
		r.Hint = s.coordination.hint(req, r.Kind)
	}
	m := g.messageTo(now, h.requester, true)
	m.Replies = append(m.Replies, r)
}

// handleRequest handles a grant request as the coordinator.
func (g *Grants) handleRequest(now time.Time, from entity.InstanceID, req *Request) {
	h := holderOf(from, req.Reference)
	s := g.servers.Get(req.Reference.Backend)
	if reason := g.rejectReason(now, s, req); reason != 0 {
		g.sendReply(now, s, h, req, Reply{Kind: Rejected, Reason: reason})
		return
	}
	if s.coordination == nil {
		g.startCoordination(now, s)
	}
	coord := s.coordination
	if held := coord.held.Get(h); held != nil {
		held.lastConfirmed = now
		g.sendReply(now, s, h, req, Reply{Kind: Granted, Cached: coord.prefixes.count(req.Prefix)})
		return
	}
	if coord.waiting.Get(h) != nil {
		g.sendReply(now, s, h, req, Reply{Kind: Queued})
		return
	}
	if req.Resume {
		g.transferSlot(now, s, h, req)
		return
	}
	if req.Priority == 0 {
		coord.lastUrgent = now
	}
	g.enqueue(now, s, h, req)
	g.grantSlots(now, s)
	if coord.waiting.Get(h) != nil {
		g.queueOrReject(now, s, h, req)
	}
}

// transferSlot moves the slot of a running attempt to the daemon that has taken
// over its request. If the previous holder is unknown, the grant may exceed the
// slots, since the attempt is running in any case.
func (g *Grants) transferSlot(now time.Time, s *server, h holder, req *Request) {
	coord := s.coordination
	for _, other := range coord.held.Keys() {
		if other.request == h.request && other != h {
			coord.releaseSlot(other)
		}
	}
	coord.waiting.Put(h, &waiter{request: *req, arrived: now})
	coord.isolatedRunning = coord.isolatedRunning || req.Isolated
	g.grantSlot(now, s, h)
}

// rejectReason returns why a request cannot be served here; 0: it can.
func (g *Grants) rejectReason(now time.Time, s *server, req *Request) Reason {
	switch {
	case s == nil:
		return ReasonUnknown
	case s.draining && !req.Resume:
		return ReasonDraining
	case s.coordinator.id != g.cfg.Self && !req.Insist:
		return ReasonCoordinator
	case s.coordination != nil && now.Before(s.coordination.deadUntil):
		return ReasonDead
	case s.coordination != nil && s.coordination.trial && req.Isolated:
		return ReasonDead
	default:
		return 0
	}
}

func (g *Grants) enqueue(now time.Time, s *server, h holder, req *Request) {
	coord := s.coordination
	w := &waiter{request: *req, arrived: now}
	if req.TimeLeft > 0 {
		w.deadline = now.Add(time.Duration(req.TimeLeft) * time.Microsecond)
	}
	coord.waiting.Put(h, w)
	g.scheduleServer(s, now.Add(queryInterval))
	if req.Isolated {
		coord.isolatedQueue = append(coord.isolatedQueue, h)
		coord.isolatedTurn = true
		return
	}
	coord.queue.Push(coord.queueEntry(h, w))
	if at := coord.queue.NextExpiry(); !at.IsZero() {
		g.scheduleServer(s, futureTime(now, at))
	}
}

// queueOrReject replies to a request that found no free slot: it stays in the
// queue or is sent back.
func (g *Grants) queueOrReject(now time.Time, s *server, h holder, req *Request) {
	coord := s.coordination
	timeLeft := time.Duration(req.TimeLeft) * time.Microsecond
	wait := coord.estimateWait(req)
	unreachable := req.TimeLeft > 0 && wait+coord.estimateRun(req) > timeLeft
	cached := coord.prefixes.count(req.Prefix) > 0 && wait <= maxCacheWait
	switch {
	case req.Isolated:
		g.sendReply(now, s, h, req, Reply{Kind: Queued})
	case unreachable && !now.Before(coord.opensAt):
		g.dequeue(s, h)
		g.sendReply(now, s, h, req, Reply{Kind: DeadlineUnreachable})
	case req.Wait || cached:
		g.sendReply(now, s, h, req, Reply{Kind: Queued})
	default:
		g.dequeue(s, h)
		g.sendReply(now, s, h, req, Reply{Kind: Busy})
	}
}

func (g *Grants) dequeue(s *server, h holder) {
	coord := s.coordination
	coord.waiting.Delete(h)
	coord.queue.Remove(h)
	coord.isolatedQueue = slices.DeleteFunc(coord.isolatedQueue, func(o holder) bool { return o == h })
}

// grantSlots grants free slots to waiting requests. A request to run in isolation
// waits until no grant is held; meanwhile no other is granted if it is its turn.
func (g *Grants) grantSlots(now time.Time, s *server) {
	coord := s.coordination
	for coord.mayGrant(now) && !s.draining {
		if coord.isolatedRunning {
			return
		}
		if len(coord.isolatedQueue) > 0 && (coord.isolatedTurn || coord.queue.Len() == 0) {
			if coord.held.Len() > 0 {
				return
			}
			g.grantIsolated(now, s)
			return
		}
		if !g.grantNext(now, s) {
			return
		}
	}
}

// mayGrant reports whether anything may be granted now.
func (coord *coordination) mayGrant(now time.Time) bool {
	return !now.Before(coord.opensAt) && !now.Before(coord.deadUntil) && !now.Before(coord.pausedUntil)
}

// grantNext grants a slot to the next request in the queue that may have one, and
// reports whether there was one.
func (g *Grants) grantNext(now time.Time, s *server) bool {
	coord := s.coordination
	free := coord.freeSlots()
	if free <= 0 {
		coord.isolatedTurn = len(coord.isolatedQueue) > 0
		return false
	}
	lowest := entity.Priority(entity.PriorityCount - 1)
	if free <= coord.reservedSlots(now) {
		lowest = 0
	}
	e, ok := coord.queue.Pop(lowest)
	if !ok {
		coord.isolatedTurn = len(coord.isolatedQueue) > 0
		return false
	}
	g.grantSlot(now, s, e.Key)
	return true
}

func (g *Grants) grantIsolated(now time.Time, s *server) {
	coord := s.coordination
	h := coord.isolatedQueue[0]
	coord.isolatedQueue = coord.isolatedQueue[1:]
	coord.isolatedRunning, coord.isolatedTurn = true, false
	g.grantSlot(now, s, h)
}

func (g *Grants) grantSlot(now time.Time, s *server, h holder) {
	coord := s.coordination
	w := coord.waiting.Get(h)
	coord.waiting.Delete(h)
	coord.held.Put(h, &grant{request: w.request, since: now, lastConfirmed: now})
	g.sendReply(now, s, h, &w.request, Reply{Kind: Granted, Cached: coord.prefixes.count(w.request.Prefix)})
	g.scheduleServer(s, now.Add(silenceCheckInterval))
	g.emit(event.Event{
		Number: event.GrantGiven, At: now, Service: s.backend.Service, Request: h.request, Attempt: h.attempt,
		Backend: s.backend.ID, Peer: h.requester,
	})
}
