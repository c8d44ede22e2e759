package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowThreshold is the ratio to the pool's median time between tokens above
	// which a backend server counts as slow.
	slowThreshold = 1.5
	// minChance keeps a little work on slow backend servers, so that their
	// recovery is noticed.
	minChance = 1.0 / 32
	// slowShareDivisor bounds the slow backend servers of a pool: at most the
	// size of the pool divided by it, and at least 1.
	slowShareDivisor = 4
	// minMedianServers is the number of backend servers with a known time
	// between tokens from which a median is computed.
	minMedianServers = 3
)

// SetChances sets the chance of each candidate from its time between tokens:
// 1 up to slowThreshold times the median, then falling with the square of the
// ratio. At most a quarter of the pool, the slowest, gets less than 1.
func SetChances(pool []Candidate) {
	known := make([]int, 0, len(pool))
	for i := range pool {
		pool[i].Chance = 1
		if pool[i].BetweenTokens > 0 {
			known = append(known, i)
		}
	}
	if len(known) < minMedianServers {
		return
	}
	slices.SortFunc(known, func(a, b int) int {
		return cmp.Or(cmp.Compare(pool[b].BetweenTokens, pool[a].BetweenTokens), cmp.Compare(pool[a].Backend, pool[b].Backend))
	})
	median := pool[known[len(known)/2]].BetweenTokens
	for _, i := range known[:min(max(len(pool)/slowShareDivisor, 1), len(known))] {
		pool[i].Chance = chance(pool[i].BetweenTokens, median)
	}
}

func chance(between, median time.Duration) float64 {
	ratio := float64(between) / (slowThreshold * float64(median))
	if ratio <= 1 {
		return 1
	}
	return max(minChance, 1/(ratio*ratio))
}
