package routing

import (
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// RoundRobin takes the candidates in turn. It is a baseline.
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

// Placed implements Policy.
func (*RoundRobin) Placed(time.Time, Query, entity.BackendServerID, int) {}

// LeastOutstanding takes the candidates on which this daemon itself has the
// fewest requests. It is a baseline.
type LeastOutstanding struct{}

// Choose implements Policy.
func (LeastOutstanding) Choose(_ time.Time, rng *rand.Rand, _ Query, pool []Candidate, limit int) []entity.BackendServerID {
	return least(rng, pool, limit, func(c *Candidate) float64 { return perSlot(c.Own, c.Slots) })
}

// Placed implements Policy.
func (LeastOutstanding) Placed(time.Time, Query, entity.BackendServerID, int) {}

// PowerOfTwo draws two candidates and takes the one whose lagging report
// tells the lower load (Mitzenmacher, 2001). It is a baseline.
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

// Placed implements Policy.
func (PowerOfTwo) Placed(time.Time, Query, entity.BackendServerID, int) {}

func perSlot(n, slots int) float64 { return float64(n) / float64(max(slots, 1)) }

// least returns the candidates with the lowest loads, ties in random order.
func least(rng *rand.Rand, pool []Candidate, limit int, load func(*Candidate) float64) []entity.BackendServerID {
	ranked := make([]rank, len(pool))
	for i := range pool {
		ranked[i] = rank{index: i, load: load(&pool[i]), tie: rng.Uint64()}
	}
	return lowest(ranked, pool, limit)
}
