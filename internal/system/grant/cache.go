package grant

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// prefixCache records which prompt prefixes a backend server has cached, from
// completed grants and from the server's events. It is only a hint: events are
// late and some are lost, so that a recorded prefix may be gone. The oldest
// prefixes are dropped first.
type prefixCache struct {
	sequence uint64            // of the latest event
	storedBy map[uint64]uint64 // sequence of the event that stored the prefix; looked up only
	order    []uint64          // ring of the prefixes by age
	next     int
}

func newPrefixCache(size int) prefixCache {
	return prefixCache{storedBy: make(map[uint64]uint64), order: make([]uint64, 0, size)}
}

func (c *prefixCache) store(prefix, sequence uint64) {
	if _, known := c.storedBy[prefix]; known {
		c.storedBy[prefix] = max(c.storedBy[prefix], sequence)
		return
	}
	if len(c.order) < cap(c.order) {
		c.order = append(c.order, prefix)
	} else {
		delete(c.storedBy, c.order[c.next])
		c.order[c.next] = prefix
		c.next = (c.next + 1) % len(c.order)
	}
	c.storedBy[prefix] = sequence
}

// remove drops a prefix unless it was stored again after the event.
func (c *prefixCache) remove(prefix, sequence uint64) {
	if at, known := c.storedBy[prefix]; known && at <= sequence {
		delete(c.storedBy, prefix)
	}
}

// count returns how many of the prefixes are cached.
func (c *prefixCache) count(prefixes []uint64) int {
	n := 0
	for _, p := range prefixes {
		if _, known := c.storedBy[p]; known {
			n++
		}
	}
	return n
}

// CacheEvent applies a change of a backend server's prefix cache. Only the
// coordinator of the backend server keeps it.
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
