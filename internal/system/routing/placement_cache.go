package routing

import "github.com/gooseberryslip/gooseberryslip/internal/entity"

// placementCache maps prefixes to the backend servers on which they were last
// placed. Its size is bounded; the oldest prefix is evicted first.
type placementCache struct {
	backends map[uint64]entity.BackendServerID // looked up only: the order of iteration would be random
	order    []uint64                          // ring of the prefixes by age
	next     int
}

func newPlacementCache(size int) *placementCache {
	return &placementCache{backends: make(map[uint64]entity.BackendServerID), order: make([]uint64, 0, size)}
}

func (c *placementCache) get(prefix uint64) (entity.BackendServerID, bool) {
	id, ok := c.backends[prefix]
	return id, ok
}

func (c *placementCache) put(prefix uint64, id entity.BackendServerID) {
	if _, known := c.backends[prefix]; known {
		c.backends[prefix] = id
		return
	}
	if len(c.order) < cap(c.order) {
		c.order = append(c.order, prefix)
	} else {
		delete(c.backends, c.order[c.next])
		c.order[c.next] = prefix
		c.next = (c.next + 1) % len(c.order)
	}
	c.backends[prefix] = id
}
