package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// randomOverlay probes members in a random order, each once a round, and
// passes changes on to random members: random partial probing.
type randomOverlay struct {
	rand    *rand.Rand
	self    *row
	ring    ring // only for a fixed order of all members
	round   []*row
	fanout  int
	current []*row
}

func newRandomOverlay(cfg Config) *randomOverlay {
	return &randomOverlay{rand: cfg.Rand, fanout: 2 * (cfg.LocalRings + cfg.GlobalRings)}
}

func (o *randomOverlay) insert(r *row) {
	if o.self == nil {
		o.self = r
	}
	o.ring.insert(r)
	if r != o.self {
		at := o.rand.IntN(len(o.round) + 1)
		o.round = append(o.round, r)
		o.round[at], o.round[len(o.round)-1] = o.round[len(o.round)-1], o.round[at]
	}
}

func (o *randomOverlay) remove(r *row) {
	o.ring.remove(r)
	o.round = without(o.round, r)
}

func (o *randomOverlay) touched() {}

func (o *randomOverlay) all() []ringEntry { return o.ring.entries }

func (o *randomOverlay) targets() []*row {
	if len(o.round) == 0 {
		for _, e := range o.ring.entries {
			if e.row != o.self {
				o.round = append(o.round, e.row)
			}
		}
		o.rand.Shuffle(len(o.round), func(i, j int) { o.round[i], o.round[j] = o.round[j], o.round[i] })
	}
	if len(o.round) == 0 {
		return nil
	}
	last := len(o.round) - 1
	r := o.round[last]
	o.round = o.round[:last]
	return []*row{r}
}

func (o *randomOverlay) neighbours() []*row {
	o.current = o.current[:0]
	entries := o.ring.entries
	for range 2 * o.fanout {
		r := entries[o.rand.IntN(len(entries))].row
		if r != o.self && !holds(o.current, r) {
			o.current = append(o.current, r)
		}
		if len(o.current) == o.fanout {
			break
		}
	}
	return o.current
}

// heartbeatInterval and heartbeatTimeout of the baselines that keep a time of
// the last heartbeat for each member.
const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 5 * time.Second
)

// listener holds when each member's heartbeat was last seen to move.
type listener struct {
	now  time.Time
	last map[entity.InstanceID]time.Time
}

func (l *listener) holdsAlive(id entity.InstanceID) bool {
	at, ok := l.last[id]
	return ok && l.now.Sub(at) < heartbeatTimeout
}

func (l *listener) knownAlive() int {
	n := 0
	for id := range l.last {
		if l.holdsAlive(id) {
			n++
		}
	}
	return n
}

// allToAll sends a heartbeat to every member each interval.
type allToAll struct {
	listener
	self  entity.InstanceID
	peers []Member
	due   time.Time
	out   []outbound
	count uint32
}

func newAllToAll(self Member, peers []Member, r *rand.Rand, start time.Time) *allToAll {
	return &allToAll{
		listener: listener{now: start, last: make(map[entity.InstanceID]time.Time)},
		self:     self.ID, peers: peers,
		due: start.Add(time.Duration(r.Int64N(int64(heartbeatInterval)))),
	}
}

func (d *allToAll) deadline() time.Time { return d.due }

func (d *allToAll) tick(now time.Time) {
	d.now = now
	if now.Before(d.due) {
		return
	}
	d.due = now.Add(heartbeatInterval)
	d.count++
	for _, p := range d.peers {
		if p.ID != d.self {
			d.out = append(d.out, outbound{p.Addr, binary.BigEndian.AppendUint32(nil, d.count)})
		}
	}
}

func (d *allToAll) step(now time.Time, from entity.InstanceID, _ string, _ []byte) {
	d.now = now
	d.last[from] = now
}

func (d *allToAll) drain() []outbound {
	out := d.out
	d.out = nil
	return out
}

// heartbeatTable stands for the table service: a counter per member, and the
// operations on it.
type heartbeatTable struct {
	counters      map[entity.InstanceID]uint32
	reads, writes int
}

// rowsPerRead is how many rows one query of the table returns.
const rowsPerRead = 100

// throughTable writes its own heartbeat to the table and reads all.
type throughTable struct {
	listener
	self  entity.InstanceID
	table *heartbeatTable
	seen  map[entity.InstanceID]uint32
	due   time.Time
}

func newThroughTable(self Member, table *heartbeatTable, r *rand.Rand, start time.Time) *throughTable {
	return &throughTable{
		listener: listener{now: start, last: make(map[entity.InstanceID]time.Time)},
		self:     self.ID, table: table, seen: make(map[entity.InstanceID]uint32),
		due: start.Add(time.Duration(r.Int64N(int64(heartbeatInterval)))),
	}
}

func (d *throughTable) deadline() time.Time { return d.due }

func (d *throughTable) tick(now time.Time) {
	d.now = now
	if now.Before(d.due) {
		return
	}
	d.due = now.Add(heartbeatInterval)
	d.table.counters[d.self]++
	d.table.writes++
	d.table.reads += (len(d.table.counters) + rowsPerRead - 1) / rowsPerRead
	for id, count := range d.table.counters {
		if id != d.self && d.seen[id] != count {
			d.seen[id], d.last[id] = count, now
		}
	}
}

func (d *throughTable) step(time.Time, entity.InstanceID, string, []byte) {}

func (d *throughTable) drain() []outbound { return nil }

func newHeartbeatTable() *heartbeatTable {
	return &heartbeatTable{counters: make(map[entity.InstanceID]uint32)}
}
