package routing

import (
	"cmp"
	"slices"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// rank is the position of a candidate in an order by load.
type rank struct {
	index int
	load  float64
	tie   uint64
}

func (r rank) compare(o rank) int {
	if c := cmp.Compare(r.load, o.load); c != 0 {
		return c
	}
	return cmp.Compare(r.tie, o.tie)
}

// lowest returns the first candidates of the order.
func lowest(ranked []rank, pool []Candidate, limit int) []entity.BackendServerID {
	slices.SortFunc(ranked, rank.compare)
	out := make([]entity.BackendServerID, 0, limit)
	for _, r := range ranked[:min(limit, len(ranked))] {
		out = append(out, pool[r.index].Backend)
	}
	return out
}
