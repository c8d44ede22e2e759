package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// What a message costs beside its body, with the IP, UDP and QUIC headers and
// its share of packets that only acknowledge, and what a handshake costs in
// both directions together: the figures of the benchmarks of package peer.
const (
	packetOverhead = 120  // bytes
	handshakeBytes = 6900 // bytes
)

// connectionIdle is how long an unused connection stays.
const connectionIdle = 30 * time.Second

// outbound is an encoded message to an address.
type outbound struct {
	addr string
	body []byte
}

// detector is a way to keep a view of the others. The ways weighed implement
// it, so that they meet the same network.
type detector interface {
	tick(now time.Time)
	deadline() time.Time
	step(now time.Time, from entity.InstanceID, addr string, body []byte)
	drain() []outbound
	holdsAlive(id entity.InstanceID) bool
	// knownAlive counts the others held alive.
	knownAlive() int
}

// traffic is what one node has sent.
type traffic struct {
	messages, bytes, dials int
}

// node is a detector on the fake network.
type node struct {
	id      entity.InstanceID
	addr    string
	place   entity.Place
	d       detector
	crashed bool
	frozen  bool
	inbox   []delivery // held while frozen
	dueAt   time.Time
	sent    traffic
	last    map[string]time.Time // when each connection was last used
}

type delivery struct {
	at    time.Time
	order uint64
	to    *node
	from  *node
	body  []byte // nil: a tick
}

type deliveries []delivery

func (q deliveries) Len() int { return len(q) }
func (q deliveries) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q deliveries) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveries) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *deliveries) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// network passes messages between nodes in virtual time.
type network struct {
	now   time.Time
	rand  *rand.Rand
	queue deliveries
	order uint64
	nodes []*node
	byID  map[entity.InstanceID]*node
	at    map[string]*node
	loss  float64
	cut   func(a, b *node) bool // nil: none
	// afterStep, if set, is called whenever a node has run.
	afterStep func(n *node)
}

func newNetwork(seed uint64) *network {
	return &network{
		now:  time.Unix(1_700_000_000, 0),
		rand: rand.New(rand.NewPCG(seed, 1)),
		byID: make(map[entity.InstanceID]*node),
		at:   make(map[string]*node),
	}
}

// placeOf spreads nodes over data centres: three of one region for small
// fleets, seven of two regions for large ones.
func placeOf(i, n int) entity.Place {
	if n <= 9 {
		return entity.Place{Region: "west", DataCentre: entity.DataCentreID(fmt.Sprintf("west-%d", i%3))}
	}
	dc := i % 7
	region := "west"
	if dc >= 4 {
		region = "east"
	}
	return entity.Place{Region: entity.RegionID(region), DataCentre: entity.DataCentreID(fmt.Sprintf("%s-%d", region, dc))}
}

func memberOf(i, n int) Member {
	return Member{
		ID:         entity.InstanceID(fmt.Sprintf("i-%016x/%d", uint64(i+1)*0x9e3779b97f4a7c15, 1)),
		Addr:       fmt.Sprintf("10.%d.%d.%d:7400", i/65536, i/256%256, i%256),
		CallerAddr: fmt.Sprintf("10.%d.%d.%d:8080", i/65536, i/256%256, i%256),
		Place:      placeOf(i, n),
	}
}

func (w *network) add(self Member, d detector) *node {
	n := &node{id: self.ID, addr: self.Addr, place: self.Place, d: d, last: make(map[string]time.Time)}
	w.nodes = append(w.nodes, n)
	w.byID[n.id], w.at[n.addr] = n, n
	w.wake(n, w.now)
	return n
}

func (w *network) push(d delivery) {
	w.order++
	d.order = w.order
	heap.Push(&w.queue, d)
}

func (w *network) wake(n *node, at time.Time) {
	if at.Before(w.now) {
		at = w.now
	}
	n.dueAt = at
	w.push(delivery{at: at, to: n})
}

// run passes virtual time.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		w.handle(heap.Pop(&w.queue).(delivery))
	}
	w.now = end
}

// runUntil passes time until done, at most limit, and returns how long it took.
func (w *network) runUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	const step = 50 * time.Millisecond
	start := w.now
	for w.now.Sub(start) < limit {
		if done() {
			return w.now.Sub(start), true
		}
		w.run(step)
	}
	return limit, done()
}

func (w *network) handle(e delivery) {
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
		return // put off meanwhile
	case e.body == nil:
		n.d.tick(w.now)
	default:
		n.d.step(w.now, e.from.id, e.from.addr, e.body)
	}
	w.after(n)
}

// after sends what a node wants sent and arranges its next tick.
func (w *network) after(n *node) {
	for _, o := range n.d.drain() {
		w.transmit(n, o)
	}
	if w.afterStep != nil {
		w.afterStep(n)
	}
	if due := n.d.deadline(); !due.Equal(n.dueAt) || !due.After(w.now) {
		w.wake(n, later(due, w.now.Add(time.Millisecond)))
	}
}

func (w *network) transmit(from *node, o outbound) {
	to := w.at[o.addr]
	from.sent.messages++
	from.sent.bytes += len(o.body) + packetOverhead
	w.connect(from, to, o.addr)
	if to == nil || (w.cut != nil && w.cut(from, to)) || w.rand.Float64() < w.loss {
		return
	}
	w.push(delivery{at: w.now.Add(w.delay(from, to)), to: to, from: from, body: o.body})
}

// connect counts a handshake if the connection has been idle for too long.
func (w *network) connect(from, to *node, addr string) {
	used, ok := from.last[addr]
	from.last[addr] = w.now
	if ok && w.now.Sub(used) < connectionIdle {
		return
	}
	if to != nil {
		if back, ok := to.last[from.addr]; ok && w.now.Sub(back) < connectionIdle {
			return
		}
	}
	from.sent.dials++
	from.sent.bytes += handshakeBytes / 2
	if to != nil {
		to.last[from.addr] = w.now
		to.sent.bytes += handshakeBytes / 2
	}
}

func (w *network) delay(a, b *node) time.Duration {
	base := 500 * time.Microsecond
	switch {
	case a.place.Region != b.place.Region:
		base = 40 * time.Millisecond
	case a.place.DataCentre != b.place.DataCentre:
		base = 1500 * time.Microsecond
	}
	return base + time.Duration(w.rand.Int64N(int64(base)))
}

func (w *network) freeze(n *node) { n.frozen = true }

// thaw lets a node run again: what has arrived meanwhile comes first.
func (w *network) thaw(n *node) {
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		e.at = w.now
		w.push(e)
	}
	w.wake(n, w.now)
}

// resetTraffic starts counting anew.
func (w *network) resetTraffic() {
	for _, n := range w.nodes {
		n.sent = traffic{}
	}
}

// memberNode is a Membership as a detector.
type memberNode struct {
	*Membership
	changes []Change
	news    []News
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
	n.news = append(n.news, ready.News...)
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

func (n *memberNode) holdsAlive(id entity.InstanceID) bool {
	m, ok := n.Get(id)
	return ok && m.State != Dead
}

func (n *memberNode) knownAlive() int { return n.others() }

// fleet is a network of Memberships.
type fleet struct {
	*network
	members []*memberNode
}

func newFleet(n int, seed uint64, change func(*Config)) *fleet {
	f := &fleet{network: newNetwork(seed)}
	seeds := []string{memberOf(0, n).Addr, memberOf(1, n).Addr, memberOf(2, n).Addr}
	for i := range n {
		cfg := Config{Self: memberOf(i, n), Seeds: seeds, Rand: rand.New(rand.NewPCG(seed, uint64(i)))}
		if change != nil {
			change(&cfg)
		}
		m := &memberNode{Membership: New(cfg)}
		f.members = append(f.members, m)
		f.add(cfg.Self, m)
	}
	return f
}

// complete says whether every node that runs knows all of them.
func (f *fleet) complete() bool {
	running := f.running()
	for _, n := range running {
		if n.d.knownAlive() != len(running)-1 {
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

// changesTo counts the changes to a state, seen by any member.
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

func (f *fleet) forgetChanges() {
	for _, m := range f.members {
		m.changes, m.news = nil, nil
	}
}
