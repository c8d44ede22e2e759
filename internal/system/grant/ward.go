package grant

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
)

// wardPart is the part of a pool, one in so many, on which suspect content
// runs alone. All daemons choose the same servers.
const wardPart = 4

// living returns the servers that have not died lately, or all if none is left.
func (g *Grants) living(now time.Time, pool []routing.Candidate) []routing.Candidate {
	var out []routing.Candidate
	for i := range pool {
		if !g.suspects.Dead(now, pool[i].Backend) {
			out = append(out, pool[i])
		}
	}
	if len(out) == 0 {
		return pool
	}
	return out
}

// ward returns the server on which suspect content may run; none if the pool
// is empty. It depends on the content, so that copies of it wait for each other.
func ward(pool []routing.Candidate, d entity.Digest) []routing.Candidate {
	all := wards(pool)
	if len(all) == 0 {
		return nil
	}
	i := binary.BigEndian.Uint64(d[:]) % uint64(len(all))
	return all[i : i+1]
}

// wards returns the servers on which any suspect content may run.
func wards(pool []routing.Candidate) []routing.Candidate {
	slices.SortFunc(pool, func(a, b routing.Candidate) int {
		return cmp.Or(cmp.Compare(wardHash(a), wardHash(b)), cmp.Compare(a.Backend, b.Backend))
	})
	return pool[:min(len(pool), max(1, len(pool)/wardPart))]
}

func wardHash(c routing.Candidate) uint64 { return routing.Mix(xxhash.Sum64String(string(c.Backend))) }

// spread returns the few servers of a pool on which watched content may run.
// They depend on the content, so that contents that have seen the death of one
// server together seldom meet again.
func spread(pool []routing.Candidate, d entity.Digest) []routing.Candidate {
	seed := binary.BigEndian.Uint64(d[:])
	slices.SortFunc(pool, func(a, b routing.Candidate) int {
		return cmp.Or(cmp.Compare(routing.Mix(seed^wardHash(a)), routing.Mix(seed^wardHash(b))), cmp.Compare(a.Backend, b.Backend))
	})
	const choices = 2
	return pool[:min(len(pool), choices)]
}
