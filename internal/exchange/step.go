package exchange

import "time"

// A daemon that has stood still, or that no other daemon reaches, does not know what the others
// have recorded meanwhile. What it knows of the recorded versions is complete again when it has
// read their row since.

const (
	// standstillTime is the time between two periodic tasks from which on a daemon has stood
	// still.
	standstillTime = time.Second
	// maxVersionAge is the age of a read of the recorded versions that a daemon goes by which
	// hears of no other one.
	maxVersionAge = time.Second
)

// stepState is what a daemon knows of how far it is behind the others.
type stepState struct {
	tickedAt    time.Time // when the periodic tasks were last run; zero: never
	stoodStill  time.Time // when they were first run after a standstill; zero: there was none
	readBegunAt time.Time // when the last read of the recorded versions began
	readAt      time.Time // when the last one began that has succeeded
}

// tick records that the periodic tasks are run.
func (s *stepState) tick(now time.Time) {
	if s.standsStill(now) {
		s.stoodStill = now
	}
	s.tickedAt = now
}

// standsStill reports whether this daemon has just stood still.
func (s *stepState) standsStill(now time.Time) bool {
	return !s.tickedAt.IsZero() && now.Sub(s.tickedAt) > standstillTime
}

// outOfStep reports whether others may have recorded versions of which this daemon has not heard.
func (c *Core) outOfStep(now time.Time) bool {
	switch {
	case c.step.standsStill(now):
		return true
	case !c.step.stoodStill.IsZero() && !c.step.readAt.After(c.step.stoodStill):
		return true
	default:
		return c.peers.Len() > 0 && c.cutOff(now) && now.Sub(c.step.readAt) > maxVersionAge
	}
}
