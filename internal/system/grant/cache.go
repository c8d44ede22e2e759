package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// prefixCache remembers which prefixes a backend server holds, from the
// grants and from the server's events. It is advice: events are late and some
// are lost, so that a prefix that is thought cached may be gone. The oldest
// are forgotten first.
type prefixCache struct {
	sequence uint64            // of the latest event
	known    map[uint64]uint64 // event or grant that stored it; looked up only
	order    []uint64          // ring
	next     int
}

func newPrefixCache(size int) prefixCache {
	return prefixCache{known: make(map[uint64]uint64), order: make([]uint64, 0, size)}
}

func (c *prefixCache) store(prefix, sequence uint64) {
	if _, known := c.known[prefix]; known {
		c.known[prefix] = max(c.known[prefix], sequence)
		return
	}
	if len(c.order) < cap(c.order) {
		c.order = append(c.order, prefix)
	} else {
		delete(c.known, c.order[c.next])
		c.order[c.next] = prefix
		c.next = (c.next + 1) % len(c.order)
	}
	c.known[prefix] = sequence
}

// remove forgets a prefix unless it was stored again after the event.
func (c *prefixCache) remove(prefix, sequence uint64) {
	if at, known := c.known[prefix]; known && at <= sequence {
		delete(c.known, prefix)
	}
}

// count returns how many of the prefixes are cached.
func (c *prefixCache) count(prefixes []uint64) int {
	n := 0
	for _, p := range prefixes {
		if _, known := c.known[p]; known {
			n++
		}
	}
	return n
}

// CacheEvent takes news of a backend server's prefix cache. Only its
// coordinator keeps it.
func (g *Grants) CacheEvent(_ time.Time, id entity.BackendServerID, e CacheEvent) {
	s := g.servers.Get(id)
	if s == nil || s.coordination == nil {
		return
	}
	c := &s.coordination.prefixes
	c.sequence = max(c.sequence, e.Seq)
	switch e.Kind {
	case PrefixStored:
		c.store(e.Prefix, e.Seq)
	case PrefixRemoved:
		c.remove(e.Prefix, e.Seq)
	}
}
