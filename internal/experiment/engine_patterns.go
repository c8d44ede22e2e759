package experiment

import "github.com/gooseberryslip/gooseberryslip/internal/exchange"

// applyEnginePatterns applies the patterns that change engines.
func (s *simulation) applyEnginePatterns() {
	for i := range s.cfg.Patterns {
		switch p := &s.cfg.Patterns[i]; p.Kind {
		case "reclaim":
			s.setAway(s.firstEngines(p), p.active(s.now))
		case "start":
			s.setAway(s.lastEngines(p), s.now < seconds(p.StartS))
		case "limit":
			s.applyLimit(p)
		case "leave":
			s.applyLeaving(p)
		case "rest":
			s.applyRest(p)
		case "brittle":
			s.applyBrittle(p)
		}
	}
	s.returnFallen()
	s.applySlowPeriods()
}

func (s *simulation) patternEngines(p *Pattern) int {
	return min(int(p.Share*float64(s.cfg.Engines)), len(s.engines))
}

func (s *simulation) firstEngines(p *Pattern) []*engine { return s.engines[:s.patternEngines(p)] }

func (s *simulation) lastEngines(p *Pattern) []*engine {
	return s.engines[len(s.engines)-s.patternEngines(p):]
}

// setAway removes engines or returns them. Removed engines finish the requests that they
// have. Those that return, or start, have nothing cached.
func (s *simulation) setAway(engines []*engine, away bool) {
	for _, e := range engines {
		if away != e.reclaimed {
			e.reclaimed = away
			s.announceState(s.indexOf(e), e)
		}
	}
}

// applyLimit has engines state limits while a limit pattern is in effect.
func (s *simulation) applyLimit(p *Pattern) {
	for _, e := range s.firstEngines(p) {
		e.limit = exchange.RateLimit{Stated: p.active(s.now), PerSecond: p.PerSecond}
	}
}

// applySlowPeriods slows down the engines that have a slow period. Each period of a pattern has
// the next engines in turn.
func (s *simulation) applySlowPeriods() {
	for _, e := range s.engines {
		e.slowFactor = 1
	}
	for i := range s.cfg.Patterns {
		p := &s.cfg.Patterns[i]
		number, active := p.slowPeriod(s.now)
		if p.Kind != "slow" || !active {
			continue
		}
		count := s.patternEngines(p)
		for n := range count {
			s.engines[(number*count+n)%len(s.engines)].slowFactor *= p.TimeFactor
		}
	}
}
