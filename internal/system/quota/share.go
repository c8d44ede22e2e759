package quota

import (
	"math"
	"time"
)

// When a bucket refills, many daemons would see the same units and spend them
// several times, because their reports of use are older than the time that it takes
// to spend the units. Refused callers that retry at that moment make it worse.
// Therefore, while a quota is exhausted, each daemon spends only its share of the
// rate, in proportion to what it has spent lately. What the daemons leave of the rate
// fills the bucket, since requests come in pieces and not evenly: each daemon also
// spends its share of what is in the bucket, which all shares together do not exceed.
// A request that is refused while the bucket holds its units is refused wrongly.

const (
	// spendingTimeConstant is the time constant of the exponential decay of what
	// was spent.
	spendingTimeConstant = 10 * time.Second
	// minShareRatio is the minimum share in multiples of an equal one, so that a
	// daemon whose callers have just arrived may spend at all.
	minShareRatio = 0.5
	// exhaustedTTL is how long a quota counts as exhausted after its bucket was
	// last nearly empty.
	exhaustedTTL = 5 * time.Second
	// exhaustedLevelSeconds is the level, in seconds of the rate, below which a
	// bucket counts as exhausted.
	exhaustedLevelSeconds = 0.25
	// shareBurstDuration is the time over which a share that is not spent
	// accumulates while the bucket is nearly empty.
	shareBurstDuration = 500 * time.Millisecond
	// levelSpendingTime is the time in which the shares would spend what is in the bucket.
	levelSpendingTime = 500 * time.Millisecond
)

// share limits what one daemon spends of an exhausted quota.
type share struct {
	localSpent, fleetSpent float64   // units spent lately, by this daemon and by all; decaying
	decayedAt              time.Time // when the decay was last applied
	allowance              float64   // units that this daemon may spend now; negative: overspent
	refilledAt             time.Time // when the allowance was last refilled
	exhaustedAt            time.Time // when the bucket was last below exhaustedLevelSeconds
}

// recordSpent counts units that were spent by this daemon (local) and by all
// daemons (fleet).
func (s *share) recordSpent(now time.Time, local, fleet float64) {
	s.decay(now)
	s.localSpent = max(s.localSpent+local, 0)
	s.fleetSpent = max(s.fleetSpent+fleet, 0)
	s.allowance -= local
}

// decay applies the exponential decay since the last call.
func (s *share) decay(now time.Time) {
	if elapsed := now.Sub(s.decayedAt); elapsed > 0 {
		remaining := math.Exp(-elapsed.Seconds() / spendingTimeConstant.Seconds())
		s.localSpent, s.fleetSpent, s.decayedAt = s.localSpent*remaining, s.fleetSpent*remaining, now
	}
}

// ratio returns this daemon's share of the rate, from 0 to 1.
func (s *share) ratio(daemons int) float64 {
	minRatio := minShareRatio / float64(daemons)
	if s.fleetSpent <= 0 {
		return minRatio
	}
	return min(max(s.localSpent/s.fleetSpent, minRatio), 1)
}

// wait returns the time until this daemon may spend the units. Zero or less means
// now.
func (s *share) wait(now time.Time, units float64, limit *Limit, level float64, daemons int) time.Duration {
	s.decay(now)
	ratio := s.ratio(daemons)
	rate := ratio * spendingRate(limit, level)
	maxAllowance := ratio * max(limit.Rate*shareBurstDuration.Seconds(), level)
	s.allowance = min(s.allowance+rate*now.Sub(s.refilledAt).Seconds(), maxAllowance)
	s.refilledAt = now
	if level < exhaustedLevelSeconds*limit.Rate {
		s.exhaustedAt = now
	}
	if now.Sub(s.exhaustedAt) > exhaustedTTL {
		s.allowance = max(s.allowance, 0)
		return 0
	}
	return time.Duration((min(units, maxAllowance) - s.allowance) / rate * float64(time.Second))
}

// spendingRate returns the rate, in units per second, at which all daemons together may
// spend a bucket with the given level.
func spendingRate(limit *Limit, level float64) float64 {
	return limit.Rate + max(level, 0)/levelSpendingTime.Seconds()
}
