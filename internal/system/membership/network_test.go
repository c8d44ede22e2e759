package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Costs of the peer transport, as measured by the benchmarks of package peer.
const (
	// packetOverheadBytes is what a message costs in addition to its body: the
	// IP, UDP and QUIC headers and its share of packets that only acknowledge.
	packetOverheadBytes = 120
	// handshakeBytes is what a handshake costs in both directions together.
	handshakeBytes = 6900
)

// connectionIdleTimeout is how long an unused connection stays open.
const connectionIdleTimeout = 30 * time.Second

// outbound is an encoded message and the address to send it to.
type outbound struct {
	addr string
	body []byte
}

// detector is an approach to failure detection. All compared approaches
// implement it, so that they run on the same fake network.
type detector interface {
	tick(now time.Time)
	deadline() time.Time
	step(now time.Time, from entity.InstanceID, addr string, body []byte)
	drain() []outbound
	considersAlive(id entity.InstanceID) bool
	// livePeerCount counts the peers that the detector considers alive.
	livePeerCount() int
}

// traffic counts what one node has sent.
type traffic struct {
	messages, bytes, dials int
}

// node is a daemon on the fake network that runs a detector.
type node struct {
	id       entity.InstanceID
	addr     string
	location entity.Location
	detector detector
	crashed  bool
	frozen   bool
	inbox    []delivery // messages that arrived while the node was frozen
	dueAt    time.Time
	sent     traffic
	lastUsed map[string]time.Time // when each connection was last used, by the peer's address
}

type delivery struct {
	at       time.Time
	sequence uint64
	to       *node
	from     *node
	body     []byte // nil: a tick
}

type deliveries []delivery

func (q deliveries) Len() int { return len(q) }
func (q deliveries) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q deliveries) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveries) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *deliveries) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// network delivers messages between nodes in virtual time.
type network struct {
	now          time.Time
	rand         *rand.Rand
	queue        deliveries
	lastSequence uint64
	nodes        []*node
	byID         map[entity.InstanceID]*node
	byAddr       map[string]*node
	loss         float64               // fraction of messages that are lost
	cut          func(a, b *node) bool // whether two nodes are disconnected; nil: none are
	// afterStep, if set, is called whenever a node has processed a message or a
	// tick.
	afterStep func(n *node)
}

func newNetwork(seed uint64) *network {
	return &network{
		now:    time.Unix(1_700_000_000, 0),
		rand:   rand.New(rand.NewPCG(seed, 1)),
		byID:   make(map[entity.InstanceID]*node),
		byAddr: make(map[string]*node),
	}
}

// locationOf distributes nodes over data centres: three in one region for small
// fleets, seven in two regions for large ones.
func locationOf(i, n int) entity.Location {
	if n <= 9 {
		return entity.Location{Region: "west", DataCentre: entity.DataCentreID(fmt.Sprintf("west-%d", i%3))}
	}
	dc := i % 7
	region := "west"
	if dc >= 4 {
		region = "east"
	}
	return entity.Location{Region: entity.RegionID(region), DataCentre: entity.DataCentreID(fmt.Sprintf("%s-%d", region, dc))}
}

func memberOf(i, n int) Member {
	return Member{
		ID:         entity.InstanceID(fmt.Sprintf("i-%016x/%d", uint64(i+1)*0x9e3779b97f4a7c15, 1)),
		Addr:       fmt.Sprintf("10.%d.%d.%d:7400", i/65536, i/256%256, i%256),
		CallerAddr: fmt.Sprintf("10.%d.%d.%d:8080", i/65536, i/256%256, i%256),
		Location:   locationOf(i, n),
	}
}

func (w *network) add(self Member, d detector) *node {
	n := &node{id: self.ID, addr: self.Addr, location: self.Location, detector: d, lastUsed: make(map[string]time.Time)}
	w.nodes = append(w.nodes, n)
	w.byID[n.id], w.byAddr[n.addr] = n, n
	w.scheduleTick(n, w.now)
	return n
}

func (w *network) push(d delivery) {
	w.lastSequence++
	d.sequence = w.lastSequence
	heap.Push(&w.queue, d)
}

func (w *network) scheduleTick(n *node, at time.Time) {
	if at.Before(w.now) {
		at = w.now
	}
	n.dueAt = at
	w.push(delivery{at: at, to: n})
}

// runFor advances virtual time.
func (w *network) runFor(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		w.deliver(heap.Pop(&w.queue).(delivery))
	}
	w.now = end
}

// runUntil advances virtual time until done returns true or the limit is over.
// It returns the time it took and the last result of done.
func (w *network) runUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	const step = 50 * time.Millisecond
	start := w.now
	for w.now.Sub(start) < limit {
		if done() {
			return w.now.Sub(start), true
		}
		w.runFor(step)
	}
	return limit, done()
}

func (w *network) deliver(e delivery) {
	w.now = e.at
	n := e.to
	switch {
	case n.crashed:
		return
	case n.frozen:
		if e.body != nil {
			n.inbox = append(n.inbox, e)
		}
		return
	case e.body == nil && !e.at.Equal(n.dueAt):
		return // rescheduled since
	case e.body == nil:
		n.detector.tick(w.now)
	default:
		n.detector.step(w.now, e.from.id, e.from.addr, e.body)
	}
	w.processOutput(n)
}

// processOutput sends a node's messages and schedules its next tick.
func (w *network) processOutput(n *node) {
	for _, o := range n.detector.drain() {
		w.transmit(n, o)
	}
	if w.afterStep != nil {
		w.afterStep(n)
	}
	if due := n.detector.deadline(); !due.Equal(n.dueAt) || !due.After(w.now) {
		w.scheduleTick(n, maxTime(due, w.now.Add(time.Millisecond)))
	}
}

func (w *network) transmit(from *node, o outbound) {
	to := w.byAddr[o.addr]
	from.sent.messages++
	from.sent.bytes += len(o.body) + packetOverheadBytes
	w.countHandshake(from, to, o.addr)
	if to == nil || (w.cut != nil && w.cut(from, to)) || w.rand.Float64() < w.loss {
		return
	}
	w.push(delivery{at: w.now.Add(w.latency(from, to)), to: to, from: from, body: o.body})
}

// countHandshake counts a dial and the bytes of its handshake if the connection
// between two nodes has been idle for too long.
func (w *network) countHandshake(from, to *node, addr string) {
	used, ok := from.lastUsed[addr]
	from.lastUsed[addr] = w.now
	if ok && w.now.Sub(used) < connectionIdleTimeout {
		return
	}
	if to != nil {
		if reverse, ok := to.lastUsed[from.addr]; ok && w.now.Sub(reverse) < connectionIdleTimeout {
			return
		}
	}
	from.sent.dials++
	from.sent.bytes += handshakeBytes / 2
	if to != nil {
		to.lastUsed[from.addr] = w.now
		to.sent.bytes += handshakeBytes / 2
	}
}

func (w *network) latency(a, b *node) time.Duration {
	base := 500 * time.Microsecond
	switch {
	case a.location.Region != b.location.Region:
		base = 40 * time.Millisecond
	case a.location.DataCentre != b.location.DataCentre:
		base = 1500 * time.Microsecond
	}
	return base + time.Duration(w.rand.Int64N(int64(base)))
}

func (w *network) freeze(n *node) { n.frozen = true }

// thaw lets a node run again. It processes the messages that arrived meanwhile
// before its next tick.
func (w *network) thaw(n *node) {
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		e.at = w.now
		w.push(e)
	}
	w.scheduleTick(n, w.now)
}

// resetTraffic sets the traffic counters of all nodes to zero.
func (w *network) resetTraffic() {
	for _, n := range w.nodes {
		n.sent = traffic{}
	}
}

// memberNode is a Membership as a detector.
type memberNode struct {
	*Membership
	changes []Change
	records []Record
}

func (n *memberNode) tick(now time.Time)  { n.Tick(now) }
func (n *memberNode) deadline() time.Time { return n.Deadline() }

func (n *memberNode) step(now time.Time, from entity.InstanceID, addr string, body []byte) {
	var msg Message
	if err := codec.Decode(body, &msg); err != nil {
		panic(err)
	}
	n.Step(now, from, addr, msg)
}

func (n *memberNode) drain() []outbound {
	ready := n.Ready()
	n.changes = append(n.changes, ready.Changes...)
	n.records = append(n.records, ready.Records...)
	var out []outbound
	for _, e := range ready.Send {
		body, err := codec.Encode(e.Message)
		if err != nil {
			panic(err)
		}
		out = append(out, outbound{e.Addr, body})
	}
	return out
}

func (n *memberNode) considersAlive(id entity.InstanceID) bool {
	m, ok := n.Get(id)
	return ok && m.State != Dead
}

func (n *memberNode) livePeerCount() int { return n.peerCount() }

// fleet is a network of Memberships.
type fleet struct {
	*network
	members []*memberNode
}

func newFleet(n int, seed uint64, configure func(*Config)) *fleet {
	f := &fleet{network: newNetwork(seed)}
	seeds := []string{memberOf(0, n).Addr, memberOf(1, n).Addr, memberOf(2, n).Addr}
	for i := range n {
		cfg := Config{Self: memberOf(i, n), Seeds: seeds, Rand: rand.New(rand.NewPCG(seed, uint64(i)))}
		if configure != nil {
			configure(&cfg)
		}
		m := &memberNode{Membership: New(cfg)}
		f.members = append(f.members, m)
		f.add(cfg.Self, m)
	}
	return f
}

// converged reports whether every running node considers as many peers alive as
// are running.
func (f *fleet) converged() bool {
	running := f.running()
	for _, n := range running {
		if n.detector.livePeerCount() != len(running)-1 {
			return false
		}
	}
	return true
}

func (f *fleet) running() []*node {
	var out []*node
	for _, n := range f.nodes {
		if !n.crashed {
			out = append(out, n)
		}
	}
	return out
}

// changesTo counts the changes to a state that all members have reported.
func (f *fleet) changesTo(s State) int {
	count := 0
	for _, m := range f.members {
		for _, c := range m.changes {
			if c.Member.State == s {
				count++
			}
		}
	}
	return count
}

func (f *fleet) resetChanges() {
	for _, m := range f.members {
		m.changes, m.records = nil, nil
	}
}
