package gateway

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// orderSet holds the operator's orders as this daemon knows them. It performs no input or output
// and is not safe for concurrent use.
//
// A restore of the table service gives the row of an order a version of another generation, and
// may lose the row until the operator writes it again. An order of a later generation that says
// the same as a known one therefore is the known one and keeps its identity.
type orderSet struct {
	entries  map[entity.ServiceName]orderEntry
	past     map[entity.ServiceName][]orderEntry  // replaced or withdrawn, oldest first
	unusable map[entity.ServiceName]uint64        // versions of the rows that were ignored
	states   map[entity.ServiceName]rollout.State // as read from their rows
	position uint64                               // version of the table service up to which orders are known; 0: not read
}

// orderEntry is an order that stands.
type orderEntry struct {
	order      rollout.Order
	rowVersion uint64 // of its row, which differs from the order's identity after a restore
}

// orderChange is what a change of the operator's table means.
type orderChange struct {
	service   entity.ServiceName
	order     rollout.Order // unless withdrawn or err is set
	withdrawn bool
	err       error // why the order is ignored
}

func newOrderSet() *orderSet {
	return &orderSet{
		entries:  make(map[entity.ServiceName]orderEntry),
		past:     make(map[entity.ServiceName][]orderEntry),
		unusable: make(map[entity.ServiceName]uint64),
		states:   make(map[entity.ServiceName]rollout.State),
	}
}

// addState records a state as read from its row.
func (b *orderSet) addState(s rollout.State) { b.states[s.Service] = s }

// apply applies what a read returned and returns what it changes. A complete list that is older
// than what is known changes nothing.
func (b *orderSet) apply(r *orderRead) []orderChange {
	if r.complete && r.position < b.position {
		return nil
	}
	var out []orderChange
	listed := make(map[entity.ServiceName]bool, len(r.changes))
	for i := range r.changes {
		listed[r.changes[i].Value.OrderOf] = true
		if !r.complete && r.changes[i].Version <= b.position {
			continue // known already, from another daemon
		}
		if change, changed := b.applyRow(&r.changes[i]); changed {
			out = append(out, change)
		}
	}
	if r.complete {
		out = append(out, b.withdrawUnlisted(listed, r.position)...)
	}
	b.position = max(b.position, r.position)
	return out
}

func (b *orderSet) applyRow(c *provider.Change[OperatorEntry]) (orderChange, bool) {
	service := c.Value.OrderOf
	known, stands := b.entries[service]
	switch {
	case stands && c.Version <= known.rowVersion || b.isPast(service, c):
		return orderChange{}, false
	case c.Removed:
		b.drop(service)
		delete(b.unusable, service)
		delete(b.states, service) // an equal order that follows is another one
		return orderChange{service: service, withdrawn: true}, stands
	case c.Err != nil:
		return b.ignore(service, c)
	}
	delete(b.unusable, service)
	entry := orderEntry{order: b.identify(c.Value.Order), rowVersion: c.Version}
	if stands && entry.order != known.order {
		b.drop(service)
	}
	b.entries[service] = entry
	return orderChange{service: service, order: entry.order}, !stands || entry.order != known.order
}

// maxPastOrders bounds the orders of a service that are kept after their end.
const maxPastOrders = 16

// drop ends the order of a service that stands, if there is one.
func (b *orderSet) drop(service entity.ServiceName) {
	entry, stands := b.entries[service]
	if !stands {
		return
	}
	delete(b.entries, service)
	past := append(b.past[service], entry)
	b.past[service] = past[max(0, len(past)-maxPastOrders):]
}

// isPast reports whether a row is that of an earlier order, which a restore of the table service
// has brought back: it has the number and the content that it had before.
func (b *orderSet) isPast(service entity.ServiceName, c *provider.Change[OperatorEntry]) bool {
	if c.Removed || c.Err != nil {
		return false
	}
	_, number := provider.SplitVersion(c.Version)
	return slices.ContainsFunc(b.past[service], func(e orderEntry) bool {
		_, pastNumber := provider.SplitVersion(e.rowVersion)
		return number == pastNumber && isRestored(&c.Value.Order, &e.order)
	})
}

// ignore records an order that cannot be used. The order before it stays in force; a daemon that
// did not know it finds it in the state of the roll-out.
func (b *orderSet) ignore(service entity.ServiceName, c *provider.Change[OperatorEntry]) (orderChange, bool) {
	if b.unusable[service] == c.Version {
		return orderChange{}, false
	}
	b.unusable[service] = c.Version
	s, stored := b.states[service]
	if _, stands := b.entries[service]; stored && !stands {
		order := rollout.Order{Service: service, To: s.To, Duration: s.Duration, Version: s.Order}
		b.entries[service] = orderEntry{order: order, rowVersion: s.Order}
		return orderChange{service: service, order: order, err: c.Err}, true
	}
	return orderChange{service: service, err: c.Err}, true
}

// identify returns an order with its identity: that of a known order if it is the same.
func (b *orderSet) identify(o rollout.Order) rollout.Order {
	if known, stands := b.entries[o.Service]; stands && isRestored(&o, &known.order) {
		return known.order
	}
	if s, stored := b.states[o.Service]; stored {
		known := rollout.Order{Service: s.Service, To: s.To, Duration: s.Duration, Version: s.Order}
		if isRestored(&o, &known) {
			return known
		}
	}
	return o
}

// isRestored reports whether an order is a known one whose row has got another version by a
// restore of the table service.
func isRestored(o, known *rollout.Order) bool {
	return o.To == known.To && o.Duration == known.Duration && provider.Generation(o.Version) > provider.Generation(known.Version)
}

// withdrawUnlisted withdraws the orders that a complete list lacks, except those whose rows a
// restore of the table service may have lost.
func (b *orderSet) withdrawUnlisted(listed map[entity.ServiceName]bool, position uint64) []orderChange {
	var out []orderChange
	for service, entry := range b.entries {
		if listed[service] || provider.Generation(entry.rowVersion) != provider.Generation(position) {
			continue
		}
		b.drop(service)
		out = append(out, orderChange{service: service, withdrawn: true})
	}
	return out
}

// list returns the orders that stand, by service.
func (b *orderSet) list() []rollout.Order {
	out := make([]rollout.Order, 0, len(b.entries))
	for _, service := range slices.Sorted(maps.Keys(b.entries)) {
		out = append(out, b.entries[service].order)
	}
	return out
}

// digest returns a hash of the orders that stand. It is the same at all daemons that know the
// same ones.
func (b *orderSet) digest() uint64 {
	h := fnv.New64a()
	for _, o := range b.list() {
		_, _ = h.Write([]byte(o.Service)) // never fails
		_, _ = h.Write(binary.BigEndian.AppendUint64([]byte{0}, o.Version))
	}
	return cmp.Or(h.Sum64(), 1)
}
