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

func (m *placementCache) get(prefix uint64) (entity.BackendServerID, bool) {
	id, ok := m.backends[prefix]
	return id, ok
}

func (m *placementCache) put(prefix uint64, id entity.BackendServerID) {
	if _, known := m.backends[prefix]; known {
		m.backends[prefix] = id
		return
	}
	if len(m.order) < cap(m.order) {
		m.order = append(m.order, prefix)
	} else {
		delete(m.backends, m.order[m.next])
		m.order[m.next] = prefix
		m.next = (m.next + 1) % len(m.order)
	}
	m.backends[prefix] = id
}
