package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowRatio to the pool's median is where passing over begins.
	slowRatio = 1.5
	// minChance keeps a little work on slow backend servers, so that their
	// recovery is seen.
	minChance = 1.0 / 32
	// passedOverPart of a pool, at most, is passed over at once.
	passedOverPart = 4
	// minKnown backend servers make a median.
	minKnown = 3
)

// SetChances sets the chance of each candidate from its time between tokens:
// 1 up to a bounded ratio to the median, then falling with the square of the
// ratio. At most a quarter of the pool, the slowest, gets less than 1.
func SetChances(pool []Candidate) {
	known := make([]int, 0, len(pool))
	for i := range pool {
		pool[i].Chance = 1
		if pool[i].Between > 0 {
			known = append(known, i)
		}
	}
	if len(known) < minKnown {
		return
	}
	slices.SortFunc(known, func(a, b int) int {
		return cmp.Or(cmp.Compare(pool[b].Between, pool[a].Between), cmp.Compare(pool[a].Backend, pool[b].Backend))
	})
	median := pool[known[len(known)/2]].Between
	for _, i := range known[:min(max(len(pool)/passedOverPart, 1), len(known))] {
		pool[i].Chance = chance(pool[i].Between, median)
	}
}

func chance(between, median time.Duration) float64 {
	ratio := float64(between) / (slowRatio * float64(median))
	if ratio <= 1 {
		return 1
	}
	return max(minChance, 1/(ratio*ratio))
}
