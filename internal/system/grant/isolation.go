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

// isolationDivisor is the ratio of the size of a pool to the number of its servers
// on which suspect content runs in isolation. All daemons choose the same servers.
const isolationDivisor = 4

// liveCandidates returns the servers that have not died recently, or all if none
// is left.
func (g *Grants) liveCandidates(now time.Time, pool []routing.Candidate) []routing.Candidate {
	var out []routing.Candidate
	for i := range pool {
		if !g.suspects.RecentlyDied(now, pool[i].Backend) {
			out = append(out, pool[i])
		}
	}
	if len(out) == 0 {
		return pool
	}
	return out
}

// isolationServer returns the server on which suspect content may run; none if
// the pool is empty. It depends on the content, so that requests with the same
// content wait for each other.
func isolationServer(pool []routing.Candidate, d entity.Digest) []routing.Candidate {
	all := isolationPool(pool)
	if len(all) == 0 {
		return nil
	}
	i := binary.BigEndian.Uint64(d[:]) % uint64(len(all))
	return all[i : i+1]
}

// isolationPool returns the servers on which any suspect content may run.
func isolationPool(pool []routing.Candidate) []routing.Candidate {
	slices.SortFunc(pool, func(a, b routing.Candidate) int {
		return cmp.Or(cmp.Compare(serverHash(a), serverHash(b)), cmp.Compare(a.Backend, b.Backend))
	})
	return pool[:min(len(pool), max(1, len(pool)/isolationDivisor))]
}

func serverHash(c routing.Candidate) uint64 {
	return routing.Mix(xxhash.Sum64String(string(c.Backend)))
}

// watchedPool returns the few servers of a pool on which watched content may
// run. They depend on the content, so that contents that were running on the same
// server when it died seldom share a server again.
func watchedPool(pool []routing.Candidate, d entity.Digest) []routing.Candidate {
	seed := binary.BigEndian.Uint64(d[:])
	slices.SortFunc(pool, func(a, b routing.Candidate) int {
		return cmp.Or(cmp.Compare(routing.Mix(seed^serverHash(a)), routing.Mix(seed^serverHash(b))), cmp.Compare(a.Backend, b.Backend))
	})
	const choices = 2
	return pool[:min(len(pool), choices)]
}
