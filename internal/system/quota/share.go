package quota

import (
	"math"
	"time"
)

// Many daemons that all see a bucket fill up, from news that are old by the time
// in which they could spend it several times, spend it together, the more so as
// refused callers come back just then. So while a quota is exhausted each daemon
// keeps to its share of what comes in, by what it has spent lately.

const (
	// shareMemory is the time over which what was spent fades.
	shareMemory = 10 * time.Second
	// leastShare is the least share, in parts of an equal one, so that a daemon
	// whose callers have just come may spend at all.
	leastShare = 0.5
	// exhaustedFor is how long a quota counts as exhausted after it was.
	exhaustedFor = 5 * time.Second
	// exhaustedPart is the part of one second's rate below which a bucket counts as
	// exhausted.
	exhaustedPart = 0.25
	// shareBurst is the time for which a share that is not spent adds up.
	shareBurst = 300 * time.Millisecond
)

// share limits what one daemon spends of an exhausted quota.
type share struct {
	own, all  float64 // units spent lately, by this daemon and by all
	faded     time.Time
	allowance float64 // units that this daemon may spend now
	at        time.Time
	exhausted time.Time // when the bucket was last exhausted
}

// spent counts units that this daemon has spent, and those of all.
func (s *share) spent(now time.Time, own, all float64) {
	s.fade(now)
	s.own = max(s.own+own, 0)
	s.all = max(s.all+all, 0)
	s.allowance -= own
}

func (s *share) fade(now time.Time) {
	if passed := now.Sub(s.faded); passed > 0 {
		left := math.Exp(-passed.Seconds() / shareMemory.Seconds())
		s.own, s.all, s.faded = s.own*left, s.all*left, now
	}
}

// part returns this daemon's share.
func (s *share) part(daemons int) float64 {
	least := leastShare / float64(daemons)
	if s.all <= 0 {
		return least
	}
	return min(max(s.own/s.all, least), 1)
}

// wait returns after what time this daemon may spend the units, zero or less if it
// may now.
func (s *share) wait(now time.Time, units float64, limit *Limit, level float64, daemons int) time.Duration {
	s.fade(now)
	rate := limit.Rate * s.part(daemons)
	most := rate * shareBurst.Seconds()
	s.allowance = min(s.allowance+rate*now.Sub(s.at).Seconds(), most)
	s.at = now
	if level < exhaustedPart*limit.Rate {
		s.exhausted = now
	}
	if now.Sub(s.exhausted) > exhaustedFor {
		s.allowance = max(s.allowance, 0)
		return 0
	}
	return time.Duration((min(units, most) - s.allowance) / rate * float64(time.Second))
}
