package membership

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// overlay decides which members this daemon probes and to which it gossips
// changes.
type overlay interface {
	insert(r *row)
	remove(r *row)
	// rowChanged reports that the state of a row has changed.
	rowChanged()
	// probeTargets returns the members to probe next.
	probeTargets() []*row
	// neighbours returns the members to gossip changes to.
	neighbours() []*row
	// all returns every row of the overlay, in a fixed order.
	all() []ringEntry
}

// ringEntry is a member at its position on a ring.
type ringEntry struct {
	position uint64
	row      *row
}

func (e ringEntry) before(o ringEntry) bool {
	if e.position != o.position {
		return e.position < o.position
	}
	return e.row.ID < o.row.ID
}

// ring is a set of members in the order of a hash of their IDs. The hash
// depends on the ring's number.
type ring struct {
	number  uint64
	local   bool // only members of this daemon's data centre
	entries []ringEntry
}

func (g *ring) entry(r *row) ringEntry {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], g.number)
	return ringEntry{position: xxhash.Sum64(append(b[:], r.ID...)), row: r}
}

func (g *ring) search(e ringEntry) int {
	return sort.Search(len(g.entries), func(i int) bool { return !g.entries[i].before(e) })
}

func (g *ring) insert(r *row) {
	e := g.entry(r)
	i := g.search(e)
	g.entries = append(g.entries, ringEntry{})
	copy(g.entries[i+1:], g.entries[i:])
	g.entries[i] = e
}

func (g *ring) remove(r *row) {
	i := g.search(g.entry(r))
	if i < len(g.entries) && g.entries[i].row == r {
		g.entries = append(g.entries[:i], g.entries[i+1:]...)
	}
}

// visitFrom visits the other members, starting beside the owner, in steps of +1
// or -1 until visit returns false.
func (g *ring) visitFrom(owner *row, step int, visit func(*row) bool) {
	n := len(g.entries)
	at := g.search(g.entry(owner))
	for k := 1; k < n; k++ {
		i := ((at+step*k)%n + n) % n
		if !visit(g.entries[i].row) {
			return
		}
	}
}

// rings is the overlay used in production: this daemon probes the successors on
// each ring and gossips changes to the neighbours in both directions on each
// ring.
type rings struct {
	self             *row
	dataCentre       entity.DataCentreID
	rings            []*ring
	nextRing         int
	cachedNeighbours []*row // nil when neighbours must compute them anew
}

func newRings(cfg Config) *rings {
	o := &rings{dataCentre: cfg.Self.Location.DataCentre}
	for i := range cfg.GlobalRings {
		o.rings = append(o.rings, &ring{number: uint64(i)})
	}
	for i := range cfg.LocalRings {
		o.rings = append(o.rings, &ring{number: uint64(cfg.GlobalRings + i), local: true})
	}
	return o
}

func (o *rings) belongsTo(g *ring, r *row) bool {
	return !g.local || r.Location.DataCentre == o.dataCentre
}

func (o *rings) insert(r *row) {
	if o.self == nil {
		o.self = r
	}
	for _, g := range o.rings {
		if o.belongsTo(g, r) {
			g.insert(r)
		}
	}
	o.rowChanged()
}

func (o *rings) remove(r *row) {
	for _, g := range o.rings {
		if o.belongsTo(g, r) {
			g.remove(r)
		}
	}
	o.rowChanged()
}

func (o *rings) rowChanged() { o.cachedNeighbours = nil }

func (o *rings) all() []ringEntry { return o.rings[0].entries }

// maxRemainingTargets is the maximum number of live successors that
// probeTargets still looks for at any time on a ring.
const maxRemainingTargets = 8

// probeTargets moves to the next ring and returns the successors on it up to
// the first that is not suspected. The direct successor is included even if it
// is suspected, so that it receives the suspicion and can refute it. For each
// suspect that this daemon has found itself, one more live successor is
// included, so that a long run of dead members is found in few calls.
func (o *rings) probeTargets() []*row {
	g := o.rings[o.nextRing%len(o.rings)]
	o.nextRing++
	var out []*row
	remaining, visited := 1, 0
	g.visitFrom(o.self, +1, func(r *row) bool {
		visited++
		if r.suspected {
			if visited == 1 {
				out = append(out, r)
			}
			if r.suspectedLocally && remaining < maxRemainingTargets {
				remaining++
			}
			return true
		}
		out = append(out, r)
		remaining--
		return remaining > 0
	})
	return out
}

// neighbours returns, for each direction on each ring, the next member that is
// not suspected, and the adjacent one unless this daemon itself suspects it.
// Members suspected only by others are included, so that changes still reach
// everybody, the suspects included, when many are suspected.
func (o *rings) neighbours() []*row {
	if o.cachedNeighbours != nil {
		return o.cachedNeighbours
	}
	o.cachedNeighbours = []*row{}
	for _, g := range o.rings {
		for _, step := range []int{+1, -1} {
			o.addNeighbours(g, step)
		}
	}
	return o.cachedNeighbours
}

func (o *rings) addNeighbours(g *ring, step int) {
	visited := 0
	g.visitFrom(o.self, step, func(r *row) bool {
		visited++
		if (visited == 1 && !r.suspectedLocally || !r.suspected) && !containsRow(o.cachedNeighbours, r) {
			o.cachedNeighbours = append(o.cachedNeighbours, r)
		}
		return r.suspected
	})
}
