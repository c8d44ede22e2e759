package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// affinityPrefixIndex is the index of the prefix that decides on which
	// backend server a conversation is placed: long enough to tell apart
	// conversations with the same system prompt, and the same in all turns.
	affinityPrefixIndex = 2
	// reportTTL is the age at which a load report no longer counts. Until then
	// its weight falls linearly.
	reportTTL = time.Second
	// maxExcessLoad is by how much load per slot a candidate with a cached
	// prefix may exceed the least loaded sampled one and still be preferred.
	maxExcessLoad = 0.6
	// loadSamples is how many candidates are drawn to compare their loads, from
	// the local data centre and again from the whole pool.
	loadSamples = 4
	// maxPlacements is the number of prefixes whose last backend server is
	// remembered.
	maxPlacements = 4096
)

// Penalties are added to the load per slot, which is mostly below 2, so that
// they order candidates of different kinds. The two negative values replace the
// load, so that these candidates come before every other.
const (
	penaltyDataCentre = 0.5 // another data centre of the region
	penaltyRemote     = 8   // another region
	penaltySlow       = 4
	penaltyFull       = 16
	rankRendezvous    = -2 // the backend server that all daemons compute for the prefix
	rankLastPlacement = -1 // the backend server on which this daemon placed the prefix last
)

// Affinity places requests with a common prompt prefix on the same backend
// server unless it is much more loaded than others, prefers the local data
// centre and skips slow backend servers at random according to their chance.
// All daemons compute the same backend server for a prefix by rendezvous
// hashing. The one on which this daemon placed the prefix last ranks second.
type Affinity struct {
	placements *placementCache
}

// NewAffinity returns the policy without any remembered placement.
func NewAffinity() *Affinity { return &Affinity{placements: newPlacementCache(maxPlacements)} }

// Choose implements Policy.
func (a *Affinity) Choose(now time.Time, rng *rand.Rand, q Query, pool []Candidate, limit int) []entity.BackendServerID {
	if len(pool) == 0 {
		return nil
	}
	sampled := a.sample(rng, q, pool)
	ranked := make([]rank, 0, len(sampled))
	for _, i := range sampled {
		c := &pool[i]
		ranked = append(ranked, rank{index: i, load: loadWithPenalties(now, rng, q, c), tie: rng.Uint64()})
	}
	a.preferCached(now, q, pool, ranked)
	return firstRanked(ranked, pool, limit)
}

// Record implements Policy.
func (a *Affinity) Record(_ time.Time, q Query, backend entity.BackendServerID, _ int) {
	for _, p := range q.Prefix {
		a.placements.put(p, backend)
	}
}

// sample returns the indexes of the candidates to compare: the two preferred
// ones for the prefix, and random ones of the local data centre and of the whole
// pool.
func (a *Affinity) sample(rng *rand.Rand, q Query, pool []Candidate) []int {
	sampled := make([]int, 0, 2*loadSamples+3)
	if len(q.Prefix) > 0 {
		if i := a.lastPlacement(q, pool); i >= 0 {
			sampled = append(sampled, i)
		}
		sampled = appendUnique(sampled, rendezvousChoice(q, pool))
	}
	nearby := sameDataCentre(q, pool)
	for range min(loadSamples, len(nearby)) {
		sampled = appendUnique(sampled, nearby[rng.IntN(len(nearby))])
	}
	for range loadSamples {
		sampled = appendUnique(sampled, rng.IntN(len(pool)))
	}
	return sampled
}

// preferCached moves the two preferred candidates for the prefix to the front,
// unless they are full, slow, in another region or much more loaded than the
// least loaded candidate.
func (a *Affinity) preferCached(now time.Time, q Query, pool []Candidate, ranked []rank) {
	if len(q.Prefix) == 0 {
		return
	}
	minLoad := estimateLoad(now, &pool[ranked[0].index])
	for _, r := range ranked {
		minLoad = min(minLoad, estimateLoad(now, &pool[r.index]))
	}
	chosen, last := rendezvousChoice(q, pool), a.lastPlacement(q, pool)
	for i := range ranked {
		r := &ranked[i]
		if r.load >= penaltySlow || estimateLoad(now, &pool[r.index]) > minLoad+maxExcessLoad {
			continue
		}
		switch r.index {
		case chosen:
			r.load = rankRendezvous
		case last:
			r.load = rankLastPlacement
		}
	}
}

// rendezvousChoice returns the candidate on which all daemons place the
// prefix. A conversation has one in the whole region, since its cached prefix
// saves more than the distance to another data centre costs. A short prompt,
// which many callers share, has one in each data centre.
func rendezvousChoice(q Query, pool []Candidate) int {
	if len(q.Prefix) > affinityPrefixIndex {
		return rendezvous(q, pool, q.Prefix[affinityPrefixIndex], SameRegion)
	}
	return rendezvous(q, pool, q.Prefix[len(q.Prefix)-1], SameDataCentre)
}

// lastPlacement returns the index of the candidate on which this daemon last
// placed the longest remembered prefix, or -1.
func (a *Affinity) lastPlacement(q Query, pool []Candidate) int {
	for i := len(q.Prefix) - 1; i >= 0; i-- {
		backend, ok := a.placements.get(q.Prefix[i])
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

// loadWithPenalties returns the load per slot of a candidate plus its
// penalties; the lowest is best.
func loadWithPenalties(now time.Time, rng *rand.Rand, q Query, c *Candidate) float64 {
	load := estimateLoad(now, c)
	if load >= 1 {
		load += penaltyFull
	}
	if c.Location.Region != q.Location.Region {
		load += penaltyRemote
	} else if c.Location.DataCentre != q.Location.DataCentre {
		load += penaltyDataCentre
	}
	if c.Chance < 1 && rng.Float64() >= c.Chance {
		load += penaltySlow
	}
	return load
}

// estimateLoad returns the load per slot: the reported one, with a weight that
// falls to 0 within reportTTL, or that of this daemon's outstanding requests if
// it is higher.
func estimateLoad(now time.Time, c *Candidate) float64 {
	outstanding := perSlot(c.Outstanding, c.Slots)
	if c.ReportedAt.IsZero() {
		return outstanding
	}
	age := now.Sub(c.ReportedAt)
	if age >= reportTTL {
		return outstanding
	}
	weight := 1 - float64(age)/float64(reportTTL)
	return max(outstanding, weight*perSlot(c.Busy+c.Queued, c.Slots))
}

// rendezvous returns the index of the candidate with the highest hash for the
// prefix among the nearest ones (rendezvous hashing, Thaler and Ravishankar,
// 1998). Candidates nearer than the given proximity count as equally near.
func rendezvous(q Query, pool []Candidate, prefix uint64, nearest Proximity) int {
	best, bestProximity, bestScore := 0, OtherRegion-1, uint64(0)
	for i := range pool {
		proximity := min(nearest, ProximityOf(q.Location, pool[i].Location))
		if proximity < bestProximity {
			continue
		}
		score := Mix(prefix ^ xxhash.Sum64String(string(pool[i].Backend)))
		if proximity > bestProximity || score > bestScore {
			best, bestProximity, bestScore = i, proximity, score
		}
	}
	return best
}

func sameDataCentre(q Query, pool []Candidate) []int {
	out := make([]int, 0, len(pool))
	for i := range pool {
		if ProximityOf(q.Location, pool[i].Location) == SameDataCentre {
			out = append(out, i)
		}
	}
	return out
}

func appendUnique(list []int, i int) []int {
	for _, known := range list {
		if known == i {
			return list
		}
	}
	return append(list, i)
}
