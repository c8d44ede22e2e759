package membership

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// overlay decides whom a daemon watches and whom it passes changes on to.
type overlay interface {
	insert(r *row)
	remove(r *row)
	// touched says that the state of a row has changed.
	touched()
	// targets returns whom to probe next.
	targets() []*row
	// neighbours returns whom to pass changes on to.
	neighbours() []*row
	// all returns every row in it, in a fixed order.
	all() []ringEntry
}

// ringEntry is a member's place on a ring.
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

// ring is a set of members in the order of a hash of their IDs.
type ring struct {
	number  uint64
	local   bool // only members of the own data centre
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

// walk visits the other members from the owner on, in steps of +1 or -1,
// until visit returns false.
func (g *ring) walk(owner *row, step int, visit func(*row) bool) {
	n := len(g.entries)
	at := g.search(g.entry(owner))
	for k := 1; k < n; k++ {
		i := ((at+step*k)%n + n) % n
		if !visit(g.entries[i].row) {
			return
		}
	}
}

// rings is the overlay in use: the successors on each ring are watched; both
// neighbours on each ring are passed changes.
type rings struct {
	self  *row
	place entity.DataCentreID
	rings []*ring
	next  int
	known []*row // neighbours; nil when they must be found anew
}

func newRings(cfg Config) *rings {
	o := &rings{place: cfg.Self.Place.DataCentre}
	for i := range cfg.GlobalRings {
		o.rings = append(o.rings, &ring{number: uint64(i)})
	}
	for i := range cfg.LocalRings {
		o.rings = append(o.rings, &ring{number: uint64(cfg.GlobalRings + i), local: true})
	}
	return o
}

func (o *rings) holds(g *ring, r *row) bool {
	return !g.local || r.Place.DataCentre == o.place
}

func (o *rings) insert(r *row) {
	if o.self == nil {
		o.self = r
	}
	for _, g := range o.rings {
		if o.holds(g, r) {
			g.insert(r)
		}
	}
	o.touched()
}

func (o *rings) remove(r *row) {
	for _, g := range o.rings {
		if o.holds(g, r) {
			g.remove(r)
		}
	}
	o.touched()
}

func (o *rings) touched() { o.known = nil }

func (o *rings) all() []ringEntry { return o.rings[0].entries }

// maxWidening bounds how many members are probed at once on one ring.
const maxWidening = 8

// targets takes the next ring and returns the successors on it up to the
// first that is not suspected, and the direct successor in any case, so that
// a suspect hears that it is one. For each suspect that this daemon has found
// itself, one more is taken, so that a long run of dead members is found in
// few steps.
func (o *rings) targets() []*row {
	g := o.rings[o.next%len(o.rings)]
	o.next++
	var out []*row
	want, passed := 1, 0
	g.walk(o.self, +1, func(r *row) bool {
		passed++
		if r.suspected {
			if passed == 1 {
				out = append(out, r)
			}
			if r.bySelf && want < maxWidening {
				want++
			}
			return true
		}
		out = append(out, r)
		want--
		return want > 0
	})
	return out
}

// neighbours returns, for each direction on each ring, the next member that
// is not suspected, and the very next one unless this daemon itself has found
// it silent: when many are suspected on hearsay, changes still reach
// everybody, the suspects included.
func (o *rings) neighbours() []*row {
	if o.known != nil {
		return o.known
	}
	o.known = []*row{}
	for _, g := range o.rings {
		for _, step := range []int{+1, -1} {
			o.addNeighbours(g, step)
		}
	}
	return o.known
}

func (o *rings) addNeighbours(g *ring, step int) {
	passed := 0
	g.walk(o.self, step, func(r *row) bool {
		passed++
		if (passed == 1 && !r.bySelf || !r.suspected) && !holds(o.known, r) {
			o.known = append(o.known, r)
		}
		return r.suspected
	})
}
