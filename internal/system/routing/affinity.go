package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// affinityDepth is the prefix that places a request: deep enough to tell
	// conversations with one system prompt apart, and the same for all turns.
	affinityDepth = 2
	// hintLife is how long a report counts in full.
	hintLife = time.Second
	// loadBound is how much fuller than the least loaded sampled candidate one
	// with a cached prefix may be and still go first.
	loadBound = 0.6
	// samples is how many candidates are drawn for their load.
	samples = 4
	// defaultMemory is the number of prefixes whose place is remembered.
	defaultMemory = 4096
)

// penalties order candidates of unlike kinds; loads are mostly below 2.
const (
	penaltyRegion = 0.5 // another data centre of the region
	penaltyRemote = 8   // another region
	penaltySlow   = 4
	penaltyFull   = 16
	preferPlace   = -2 // the place on which all daemons agree
	preferKnown   = -1 // where this daemon placed the prefix last
)

// Affinity places requests with a common prompt prefix on the same backend
// server unless it is much fuller than others, prefers the asker's data
// centre and passes slow backend servers over by their chance. All daemons
// agree on the place of a prefix by rendezvous hashing; what this daemon
// placed itself goes before.
type Affinity struct {
	memory *prefixMemory
}

// NewAffinity returns the policy with an empty memory.
func NewAffinity() *Affinity { return &Affinity{memory: newPrefixMemory(defaultMemory)} }

// Choose implements Policy.
func (a *Affinity) Choose(now time.Time, rng *rand.Rand, q Query, pool []Candidate, limit int) []entity.BackendServerID {
	if len(pool) == 0 {
		return nil
	}
	picked := a.pick(rng, q, pool)
	ranked := make([]rank, 0, len(picked))
	for _, i := range picked {
		c := &pool[i]
		ranked = append(ranked, rank{index: i, load: cost(now, rng, q, c), tie: rng.Uint64()})
	}
	a.prefer(now, q, pool, ranked)
	return lowest(ranked, pool, limit)
}

// Placed implements Policy.
func (a *Affinity) Placed(_ time.Time, q Query, backend entity.BackendServerID, _ int) {
	for _, p := range q.Prefix {
		a.memory.put(p, backend)
	}
}

// pick returns the indexes of the candidates to be weighed: the places of the
// prefix, and some of the near and of all others at random.
func (a *Affinity) pick(rng *rand.Rand, q Query, pool []Candidate) []int {
	picked := make([]int, 0, 2*samples+3)
	if len(q.Prefix) > 0 {
		if i := a.remembered(q, pool); i >= 0 {
			picked = append(picked, i)
		}
		picked = addIndex(picked, home(q, pool))
	}
	near := indexesNear(q, pool)
	for range min(samples, len(near)) {
		picked = addIndex(picked, near[rng.IntN(len(near))])
	}
	for range samples {
		picked = addIndex(picked, rng.IntN(len(pool)))
	}
	return picked
}

// prefer moves the places of the prefix to the front while they are not much
// fuller than the best, nor slow or far away.
func (a *Affinity) prefer(now time.Time, q Query, pool []Candidate, ranked []rank) {
	if len(q.Prefix) == 0 {
		return
	}
	least := estimate(now, &pool[ranked[0].index])
	for _, r := range ranked {
		least = min(least, estimate(now, &pool[r.index]))
	}
	place, known := home(q, pool), a.remembered(q, pool)
	for i := range ranked {
		r := &ranked[i]
		if r.load >= penaltySlow || estimate(now, &pool[r.index]) > least+loadBound {
			continue
		}
		switch r.index {
		case place:
			r.load = preferPlace
		case known:
			r.load = preferKnown
		}
	}
}

// home returns the candidate on which all daemons place the prefix. A
// conversation has one place in the whole region, since its prefix is worth
// more than the way to another data centre; a short prompt, which many share,
// has one in each data centre.
func home(q Query, pool []Candidate) int {
	if len(q.Prefix) > affinityDepth {
		return rendezvous(q, pool, q.Prefix[affinityDepth], SameRegion)
	}
	return rendezvous(q, pool, q.Prefix[len(q.Prefix)-1], SameDataCentre)
}

// remembered returns the candidate that got the longest known prefix, or -1.
func (a *Affinity) remembered(q Query, pool []Candidate) int {
	for i := len(q.Prefix) - 1; i >= 0; i-- {
		backend, ok := a.memory.get(q.Prefix[i])
		if !ok {
			continue
		}
		for j := range pool {
			if pool[j].Backend == backend {
				return j
			}
		}
	}
	return -1
}

// cost estimates how bad it is to ask a candidate.
func cost(now time.Time, rng *rand.Rand, q Query, c *Candidate) float64 {
	load := estimate(now, c)
	if load >= 1 {
		load += penaltyFull
	}
	if c.Place.Region != q.Place.Region {
		load += penaltyRemote
	} else if c.Place.DataCentre != q.Place.DataCentre {
		load += penaltyRegion
	}
	if c.Chance < 1 && rng.Float64() >= c.Chance {
		load += penaltySlow
	}
	return load
}

// estimate returns the load per slot: the report while it is fresh, fading
// into what this daemon alone knows.
func estimate(now time.Time, c *Candidate) float64 {
	own := perSlot(c.Own, c.Slots)
	if c.At.IsZero() {
		return own
	}
	age := now.Sub(c.At)
	if age >= hintLife {
		return own
	}
	weight := 1 - float64(age)/float64(hintLife)
	return max(own, weight*perSlot(c.Busy+c.Queued, c.Slots))
}

// rendezvous returns the candidate with the highest hash for the prefix, of
// the nearest place that has any (Thaler and Ravishankar, 1998). Places nearer
// than the given one count as equal.
func rendezvous(q Query, pool []Candidate, prefix uint64, nearest Proximity) int {
	best, bestNear, bestScore := 0, OtherRegion-1, uint64(0)
	for i := range pool {
		near := min(nearest, Nearness(q.Place, pool[i].Place))
		if near < bestNear {
			continue
		}
		score := Mix(prefix ^ xxhash.Sum64String(string(pool[i].Backend)))
		if near > bestNear || score > bestScore {
			best, bestNear, bestScore = i, near, score
		}
	}
	return best
}

func indexesNear(q Query, pool []Candidate) []int {
	out := make([]int, 0, len(pool))
	for i := range pool {
		if Nearness(q.Place, pool[i].Place) == SameDataCentre {
			out = append(out, i)
		}
	}
	return out
}

func addIndex(list []int, i int) []int {
	for _, have := range list {
		if have == i {
			return list
		}
	}
	return append(list, i)
}
