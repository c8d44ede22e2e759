package routing

import (
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// RoundRobin chooses the candidates in turn. It is a baseline for comparisons.
type RoundRobin struct {
	next int
}

// Choose implements Policy.
func (r *RoundRobin) Choose(_ time.Time, _ *rand.Rand, _ Query, pool []Candidate, limit int) []entity.BackendServerID {
	out := make([]entity.BackendServerID, 0, limit)
	for i := range min(limit, len(pool)) {
		out = append(out, pool[(r.next+i)%len(pool)].Backend)
	}
	r.next++
	return out
}

// Record implements Policy.
func (*RoundRobin) Record(time.Time, Query, entity.BackendServerID, int) {}

// LeastOutstanding chooses the candidates with the fewest outstanding requests
// of this daemon. It is a baseline for comparisons.
type LeastOutstanding struct{}

// Choose implements Policy.
func (LeastOutstanding) Choose(_ time.Time, rng *rand.Rand, _ Query, pool []Candidate, limit int) []entity.BackendServerID {
	return leastLoaded(rng, pool, limit, func(c *Candidate) float64 { return perSlot(c.Outstanding, c.Slots) })
}

// Record implements Policy.
func (LeastOutstanding) Record(time.Time, Query, entity.BackendServerID, int) {}

// PowerOfTwo draws two candidates and chooses the one with the lower reported
// load (Mitzenmacher, 2001). It is a baseline for comparisons.
type PowerOfTwo struct{}

// Choose implements Policy.
func (PowerOfTwo) Choose(_ time.Time, rng *rand.Rand, _ Query, pool []Candidate, limit int) []entity.BackendServerID {
	out := make([]entity.BackendServerID, 0, limit)
	for len(out) < min(limit, len(pool)) {
		a, b := &pool[rng.IntN(len(pool))], &pool[rng.IntN(len(pool))]
		if perSlot(b.Busy+b.Queued, b.Slots) < perSlot(a.Busy+a.Queued, a.Slots) {
			a = b
		}
		out = append(out, a.Backend)
	}
	return out
}

// Record implements Policy.
func (PowerOfTwo) Record(time.Time, Query, entity.BackendServerID, int) {}

func perSlot(n, slots int) float64 { return float64(n) / float64(max(slots, 1)) }

// leastLoaded returns the candidates with the lowest loads, ties in random
// order.
func leastLoaded(rng *rand.Rand, pool []Candidate, limit int, load func(*Candidate) float64) []entity.BackendServerID {
	ranked := make([]rank, len(pool))
	for i := range pool {
		ranked[i] = rank{index: i, load: load(&pool[i]), tie: rng.Uint64()}
	}
	return firstRanked(ranked, pool, limit)
}
