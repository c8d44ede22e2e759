package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// randomOverlay implements random partial probing: it probes members in random
// order, each once a round, and gossips changes to random members.
type randomOverlay struct {
	rand      *rand.Rand
	self      *row
	ring      ring // gives a fixed order of all members
	remaining []*row
	fanout    int
	current   []*row
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
		at := o.rand.IntN(len(o.remaining) + 1)
		o.remaining = append(o.remaining, r)
		o.remaining[at], o.remaining[len(o.remaining)-1] = o.remaining[len(o.remaining)-1], o.remaining[at]
	}
}

func (o *randomOverlay) remove(r *row) {
	o.ring.remove(r)
	o.remaining = removeRow(o.remaining, r)
}

func (o *randomOverlay) rowChanged() {}

func (o *randomOverlay) all() []ringEntry { return o.ring.entries }

func (o *randomOverlay) probeTargets() []*row {
	if len(o.remaining) == 0 {
		for _, e := range o.ring.entries {
			if e.row != o.self {
				o.remaining = append(o.remaining, e.row)
			}
		}
		o.rand.Shuffle(len(o.remaining), func(i, j int) { o.remaining[i], o.remaining[j] = o.remaining[j], o.remaining[i] })
	}
	if len(o.remaining) == 0 {
		return nil
	}
	last := len(o.remaining) - 1
	r := o.remaining[last]
	o.remaining = o.remaining[:last]
	return []*row{r}
}

func (o *randomOverlay) neighbours() []*row {
	o.current = o.current[:0]
	entries := o.ring.entries
	for range 2 * o.fanout {
		r := entries[o.rand.IntN(len(entries))].row
		if r != o.self && !containsRow(o.current, r) {
			o.current = append(o.current, r)
		}
		if len(o.current) == o.fanout {
			break
		}
	}
	return o.current
}

// Parameters of the baselines that keep the time of each member's last
// heartbeat.
const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 5 * time.Second
)

// heartbeatListener records when a new heartbeat of each member was last seen.
type heartbeatListener struct {
	now           time.Time
	lastHeartbeat map[entity.InstanceID]time.Time
}

func (l *heartbeatListener) considersAlive(id entity.InstanceID) bool {
	at, ok := l.lastHeartbeat[id]
	return ok && l.now.Sub(at) < heartbeatTimeout
}

func (l *heartbeatListener) livePeerCount() int {
	n := 0
	for id := range l.lastHeartbeat {
		if l.considersAlive(id) {
			n++
		}
	}
	return n
}

// allToAll sends a heartbeat to every member each interval.
type allToAll struct {
	heartbeatListener
	self            entity.InstanceID
	peers           []Member
	nextHeartbeatAt time.Time
	output          []outbound
	heartbeats      uint32
}

func newAllToAll(self Member, peers []Member, r *rand.Rand, start time.Time) *allToAll {
	return &allToAll{
		heartbeatListener: heartbeatListener{now: start, lastHeartbeat: make(map[entity.InstanceID]time.Time)},
		self:              self.ID, peers: peers,
		nextHeartbeatAt: start.Add(time.Duration(r.Int64N(int64(heartbeatInterval)))),
	}
}

func (d *allToAll) deadline() time.Time { return d.nextHeartbeatAt }

func (d *allToAll) tick(now time.Time) {
	d.now = now
	if now.Before(d.nextHeartbeatAt) {
		return
	}
	d.nextHeartbeatAt = now.Add(heartbeatInterval)
	d.heartbeats++
	for _, p := range d.peers {
		if p.ID != d.self {
			d.output = append(d.output, outbound{p.Addr, binary.BigEndian.AppendUint32(nil, d.heartbeats)})
		}
	}
}

func (d *allToAll) step(now time.Time, from entity.InstanceID, _ string, _ []byte) {
	d.now = now
	d.lastHeartbeat[from] = now
}

func (d *allToAll) drain() []outbound {
	out := d.output
	d.output = nil
	return out
}

// heartbeatTable simulates the table service: it stores a heartbeat counter per
// member and counts the operations.
type heartbeatTable struct {
	counters      map[entity.InstanceID]uint32
	reads, writes int
}

// rowsPerRead is the number of rows that one query of the table returns.
const rowsPerRead = 100

// throughTable writes its daemon's heartbeat to the table and reads those of
// all others.
type throughTable struct {
	heartbeatListener
	self            entity.InstanceID
	table           *heartbeatTable
	seen            map[entity.InstanceID]uint32
	nextHeartbeatAt time.Time
}

func newThroughTable(self Member, table *heartbeatTable, r *rand.Rand, start time.Time) *throughTable {
	return &throughTable{
		heartbeatListener: heartbeatListener{now: start, lastHeartbeat: make(map[entity.InstanceID]time.Time)},
		self:              self.ID, table: table, seen: make(map[entity.InstanceID]uint32),
		nextHeartbeatAt: start.Add(time.Duration(r.Int64N(int64(heartbeatInterval)))),
	}
}

func (d *throughTable) deadline() time.Time { return d.nextHeartbeatAt }

func (d *throughTable) tick(now time.Time) {
	d.now = now
	if now.Before(d.nextHeartbeatAt) {
		return
	}
	d.nextHeartbeatAt = now.Add(heartbeatInterval)
	d.table.counters[d.self]++
	d.table.writes++
	d.table.reads += (len(d.table.counters) + rowsPerRead - 1) / rowsPerRead
	for id, count := range d.table.counters {
		if id != d.self && d.seen[id] != count {
			d.seen[id], d.lastHeartbeat[id] = count, now
		}
	}
}

func (d *throughTable) step(time.Time, entity.InstanceID, string, []byte) {}

func (d *throughTable) drain() []outbound { return nil }

func newHeartbeatTable() *heartbeatTable {
	return &heartbeatTable{counters: make(map[entity.InstanceID]uint32)}
}
