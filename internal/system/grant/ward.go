package grant

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
)

// wardPart is the part of a pool, one in so many, on which suspect content
// runs alone. All daemons choose the same servers.
const wardPart = 4

// wards returns the servers on which suspect content may run.
func wards(pool []routing.Candidate) []routing.Candidate {
	slices.SortFunc(pool, func(a, b routing.Candidate) int {
		return cmp.Or(cmp.Compare(wardHash(a), wardHash(b)), cmp.Compare(a.Backend, b.Backend))
	})
	return pool[:min(len(pool), max(1, len(pool)/wardPart))]
}

func wardHash(c routing.Candidate) uint64 { return mix(xxhash.Sum64String(string(c.Backend))) }
