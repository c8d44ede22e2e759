package placement

import (
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Engines can copy from each other what they have cached of a prompt, which takes much
// less time than reading it again. So requests with a common beginning may go to the
// engine with the least load instead of the one that has it cached: a hot beginning does
// not fill one engine while the others wait, and a new engine is of use at once.

const (
	// maxCopyRatio is the largest time to copy tokens, as a ratio of the time to read
	// them, at which they are copied.
	maxCopyRatio = 0.5
	// copyWeight is the cost of a token to be copied, as a ratio of one to be read.
	// Copies wait for each other at the engine that is copied from, and with many daemons
	// it may not have the tokens any more, so that requests should not scatter for little.
	copyWeight = 0.5
	// minCopyTokens is the least number of tokens that are worth a copy, which has a cost
	// of its own.
	minCopyTokens = 256
)

// cachedSource is an engine that has a part of a prompt cached.
type cachedSource struct {
	server   entity.BackendServerID // "": none
	uncached entity.Tokens          // of the prompt there
}

// findSource returns the usable engine that has most of a prompt cached.
func (p *Placer) findSource(q *Query, usable func(entity.BackendServerID) bool) cachedSource {
	best := cachedSource{uncached: max(q.Prompt, 1)}
	if len(q.partKeys) == 0 {
		return best
	}
	p.servers.All(func(id entity.BackendServerID, r *serverRow) bool {
		if r.Service != q.Service || r.CopyMillisPerToken == 0 || !usable(id) {
			return true
		}
		if n := r.cache.uncached(q.Prompt, q.partKeys); n < best.uncached {
			best = cachedSource{server: id, uncached: n}
		}
		return true
	})
	return best
}

// uncached returns how many tokens of a prompt a backend server must read, where those
// that it copies instead count by copyWeight, and the server to copy from.
func (p *Placer) uncached(r *serverRow, q *Query) (entity.Tokens, entity.BackendServerID) {
	local := r.cache.uncached(q.Prompt, q.partKeys)
	copied := local - q.source.uncached
	if q.source.server == "" || q.source.server == r.ID || copied < minCopyTokens {
		return local, ""
	}
	ratio := r.CopyMillisPerToken / p.speed(r.Service).firstEvent.millisPerToken()
	if r.CopyMillisPerToken == 0 || ratio > maxCopyRatio {
		return local, ""
	}
	return q.source.uncached + entity.Tokens(float64(copied)*copyWeight), q.source.server
}
