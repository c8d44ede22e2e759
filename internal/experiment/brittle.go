package experiment

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

const (
	// brittleGrace is the time from when an engine says that it is brittle until it has less room.
	brittleGrace = 3 * time.Second
	// fallDuration is how long an engine that has fallen is away.
	fallDuration = 3 * time.Second
	// maxSends limits the sends of a request that engines turn away.
	maxSends = 4
)

// brittleness is the state of an engine that falls over when it has to turn away too many requests
// within a second.
type brittleness struct {
	exchange.Brittleness
	since      time.Duration   // when it became brittle
	queue      int             // requests that may wait then
	turnedAway []time.Duration // in the last second
	fallen     bool            // or it has ended as it left
	backAt     time.Duration   // when it is back then
}

// applyBrittle has engines be brittle while a pattern is in effect.
func (s *simulation) applyBrittle(p *Pattern) {
	active := p.active(s.now)
	for _, e := range s.firstEngines(p) {
		if active && !e.brittle.Stated {
			e.brittle.since = s.now
		}
		e.brittle.Brittleness = exchange.Brittleness{}
		if active {
			e.brittle.Brittleness = exchange.Brittleness{Stated: true, MaxRejections: p.Rejections}
		}
		e.brittle.queue = p.Queue
	}
}

// returnFallen returns the engines that have ended and are back.
func (s *simulation) returnFallen() {
	for _, e := range s.engines {
		if e.brittle.fallen && s.now >= e.brittle.backAt {
			e.brittle.fallen = false
			s.setAway([]*engine{e}, false)
		}
	}
}

// turnsAway reports whether an engine wants a rest or has no room for a request, and has it fall if it
// has turned away too many.
func (s *simulation) turnsAway(e *engine) bool {
	if e.rest > 0 {
		return true
	}
	b := &e.brittle
	if !b.Stated || s.now-b.since < brittleGrace || len(e.running)+len(e.waiting) < e.model.Slots+b.queue {
		return false
	}
	b.turnedAway = slices.DeleteFunc(append(b.turnedAway, s.now), func(at time.Duration) bool { return s.now-at > time.Second })
	if len(b.turnedAway) > b.MaxRejections {
		s.fall(e)
	}
	return true
}

// fall has an engine fall over.
func (s *simulation) fall(e *engine) {
	s.result.Falls++
	s.end(e)
}

// end ends an engine with all that it has. It is back after a while.
func (s *simulation) end(e *engine) {
	lost := append(e.running, e.waiting...)
	e.running, e.waiting, e.usedTokens, e.brittle.turnedAway = nil, nil, 0, nil
	clear(e.cachedParts)
	clear(e.lastUsedStep)
	e.cachedTokens = 0
	for _, j := range lost {
		s.outstanding[j.daemon][s.indexOf(e)]--
		s.result.recordRefusal(j.request)
		if t := s.tickets[j.request]; t != nil {
			s.cores[j.daemon].Ended(virtualTime(s.now), t, exchange.Broken)
			s.cores[j.daemon].Finish(virtualTime(s.now), t)
			delete(s.tickets, j.request)
		}
	}
	e.brittle.fallen, e.brittle.backAt = true, s.now+fallDuration
	s.setAway([]*engine{e}, true)
}

// chooseWithRoom chooses an engine that has room for a request. Those that turn it away are told to
// the daemon that has sent it; a caller whose daemon knows none gets a refusal.
func (s *simulation) chooseWithRoom(r *request) (engineIndex, priority int, refusal *exchange.Refusal) {
	for range maxSends {
		engineIndex, priority, refusal = s.chooseEngine(r)
		if refusal != nil || !s.turnsAway(s.engines[engineIndex]) {
			return engineIndex, priority, refusal
		}
		refusal = exchange.Refuse(exchange.Unavailable, "rejected")
		t := s.tickets[r]
		if t == nil {
			return 0, 0, refusal // the policy sends it once
		}
		core := s.cores[r.daemon]
		core.RecordStatement(virtualTime(s.now), t, s.statement(s.engines[engineIndex], s.engines[engineIndex].rest), false)
		final := core.Ended(virtualTime(s.now), t, exchange.Rejected)
		core.Finish(virtualTime(s.now), t)
		delete(s.tickets, r)
		if final != nil {
			return 0, 0, final
		}
	}
	return 0, 0, refusal
}
