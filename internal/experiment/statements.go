package experiment

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

// applyLeaving has engines say that they leave while a pattern is in effect. At its end they go, with
// what they have, and others start in their place.
func (s *simulation) applyLeaving(p *Pattern) {
	active := p.active(s.now)
	for _, e := range s.firstEngines(p) {
		if e.leaving && !active {
			s.end(e)
		}
		e.leaving = active
	}
}

// applyRest has engines turn requests away and want a rest while a pattern is in effect.
func (s *simulation) applyRest(p *Pattern) {
	for _, e := range s.firstEngines(p) {
		e.rest = 0
		if p.active(s.now) {
			e.rest = seconds(p.RestS)
		}
	}
}

// statement returns what an engine says of itself in an answer, or when it turns a request away.
func (s *simulation) statement(e *engine, rest time.Duration) exchange.ServerStatement {
	if s.policy == Unaware {
		return exchange.ServerStatement{Limit: e.limit}
	}
	return exchange.ServerStatement{Limit: e.limit, Brittle: e.brittle.Brittleness, Leaving: e.leaving, Rest: rest}
}
