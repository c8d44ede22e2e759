package routing

import "github.com/gooseberryslip/gooseberryslip/internal/entity"

// prefixMemory remembers where prefixes were placed, up to a number of them;
// the oldest placement is forgotten first.
type prefixMemory struct {
	places map[uint64]entity.BackendServerID // looked up only, never ranged over
	order  []uint64                          // ring
	next   int
}

func newPrefixMemory(size int) *prefixMemory {
	return &prefixMemory{places: make(map[uint64]entity.BackendServerID), order: make([]uint64, 0, size)}
}

func (m *prefixMemory) get(prefix uint64) (entity.BackendServerID, bool) {
	id, ok := m.places[prefix]
	return id, ok
}

func (m *prefixMemory) put(prefix uint64, id entity.BackendServerID) {
	if _, known := m.places[prefix]; known {
		m.places[prefix] = id
		return
	}
	if len(m.order) < cap(m.order) {
		m.order = append(m.order, prefix)
	} else {
		delete(m.places, m.order[m.next])
		m.order[m.next] = prefix
		m.next = (m.next + 1) % len(m.order)
	}
	m.places[prefix] = id
}
