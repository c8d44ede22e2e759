package grant

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
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

// spread returns the few servers of a pool on which watched content may run.
// They depend on the content, so that contents that have seen the death of one
// server together seldom meet again.
func spread(pool []routing.Candidate, d entity.Digest) []routing.Candidate {
	seed := binary.BigEndian.Uint64(d[:])
	slices.SortFunc(pool, func(a, b routing.Candidate) int {
		return cmp.Or(cmp.Compare(mix(seed^wardHash(a)), mix(seed^wardHash(b))), cmp.Compare(a.Backend, b.Backend))
	})
	const choices = 2
	return pool[:min(len(pool), choices)]
}
