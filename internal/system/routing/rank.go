package routing

import (
	"cmp"
	"slices"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// rank is the sort key of a candidate: its load, then a random tie-breaker.
type rank struct {
	index int // in the pool
	load  float64
	tie   uint64
}

func (r rank) compare(o rank) int {
	if c := cmp.Compare(r.load, o.load); c != 0 {
		return c
	}
	return cmp.Compare(r.tie, o.tie)
}

// firstRanked sorts the candidates by rank and returns the first ones.
func firstRanked(ranked []rank, pool []Candidate, limit int) []entity.BackendServerID {
	slices.SortFunc(ranked, rank.compare)
	out := make([]entity.BackendServerID, 0, limit)
	for _, r := range ranked[:min(limit, len(ranked))] {
		out = append(out, pool[r.index].Backend)
	}
	return out
}
