package membership

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// maxPayloadBytes is the size of the updates and records in one packet, in
	// addition to the fixed fields of its message.
	maxPayloadBytes = 1000
	// maxPacketsPerNeighbour is the maximum number of packets to one neighbour
	// in one gossip round.
	maxPacketsPerNeighbour = 4
)

// item names a changed member or gossip record that is to be sent to
// neighbours. The state sent is the one at the time of sending.
type item struct {
	member     entity.InstanceID // set for a member, else empty
	record     recordKey         // set for a gossip record
	source     entity.InstanceID // the peer that sent the change; empty for a change made by this daemon
	withDetail bool              // send the member's Detail too
}

func memberItem(id, source entity.InstanceID) item { return item{member: id, source: source} }

func recordItem(k recordKey, source entity.InstanceID) item { return item{record: k, source: source} }

type itemKey struct {
	member entity.InstanceID
	record recordKey
}

func (i *item) key() itemKey { return itemKey{i.member, i.record} }

// gossiper is the queue of changes for the next gossip round. Each member or
// record is in it at most once.
type gossiper struct {
	queued       []*item
	index        map[itemKey]*item
	lastRoundAt  time.Time
	nextRoundAt  time.Time // time of the next round; zero: the queue is empty
	lastQueuedAt time.Time // when a change was last added to the queue
}

func (g *gossiper) init() { g.index = make(map[itemKey]*item) }

// add queues a change, or updates the queued change of the same member or
// record, and schedules the next round.
func (g *gossiper) add(now time.Time, interval time.Duration, i item) {
	g.lastQueuedAt = now
	if existing := g.index[i.key()]; existing != nil {
		// It has changed again while queued, so the first sender lacks the new
		// state too.
		existing.source = ""
		existing.withDetail = existing.withDetail || i.withDetail
		return
	}
	g.index[i.key()] = &i
	g.queued = append(g.queued, &i)
	if g.nextRoundAt.IsZero() {
		g.nextRoundAt = maxTime(now, g.lastRoundAt.Add(interval))
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sendGossip sends the queued changes to every neighbour except the one that
// each change came from. Changes that exceed the size limit of one round stay
// queued for the next one.
func (m *Membership) sendGossip(now time.Time) {
	g := &m.gossip
	if g.nextRoundAt.IsZero() || now.Before(g.nextRoundAt) {
		return
	}
	batch := m.dequeueBatch()
	for _, n := range m.overlay.neighbours() {
		m.sendItems(now, n, batch)
	}
	g.lastRoundAt, g.nextRoundAt = now, time.Time{}
	if len(g.queued) > 0 {
		g.nextRoundAt = now.Add(m.cfg.GossipInterval)
	}
}

// dequeueBatch removes the changes for one gossip round from the queue.
func (m *Membership) dequeueBatch() []*item {
	g := &m.gossip
	bytes, n := 0, 0
	for n < len(g.queued) && bytes < maxPacketsPerNeighbour*maxPayloadBytes {
		bytes += m.encodedSize(g.queued[n])
		delete(g.index, g.queued[n].key())
		n++
	}
	batch := g.queued[:n:n]
	g.queued = append([]*item(nil), g.queued[n:]...)
	return batch
}

func (m *Membership) encodedSize(i *item) int {
	if i.member == "" {
		if r := m.outgoingRecord(i.record, time.Time{}); r != nil {
			return r.size()
		}
		return 0
	}
	if r := m.rows.Get(i.member); r != nil {
		u := r.update(i.withDetail)
		return u.size()
	}
	return 0
}

// sendItems sends changes to one peer in as many packets as they need. It
// leaves out the changes that came from that peer.
func (m *Membership) sendItems(now time.Time, to *row, batch []*item) {
	packet := newPacket(m, to.ID, to.Addr, Gossip)
	for _, i := range batch {
		if i.source == to.ID {
			continue
		}
		if i.member != "" {
			if r := m.rows.Get(i.member); r != nil {
				packet.addUpdate(m.outgoingUpdate(r, i.withDetail))
			}
			continue
		}
		if r := m.outgoingRecord(i.record, now); r != nil {
			packet.addRecord(*r)
		}
	}
	packet.flush()
}

// packet collects member updates and gossip records for one peer and sends a
// message whenever the next entry would exceed maxPayloadBytes.
type packet struct {
	m    *Membership
	to   entity.InstanceID
	addr string
	kind MessageKind
	msg  Message
	size int
}

func newPacket(m *Membership, to entity.InstanceID, addr string, kind MessageKind) *packet {
	return &packet{m: m, to: to, addr: addr, kind: kind}
}

// reserve adds the size of the next entry to the packet. If the entry does not
// fit, the entries collected so far are sent first.
func (p *packet) reserve(size int) {
	if p.size > 0 && p.size+size > maxPayloadBytes {
		p.flush()
	}
	p.size += size
}

func (p *packet) addUpdate(u Update) {
	p.reserve(u.size())
	p.msg.Updates = append(p.msg.Updates, u)
}

func (p *packet) addRecord(r GossipRecord) {
	p.reserve(r.size())
	p.msg.Records = append(p.msg.Records, r)
}

func (p *packet) flush() {
	if p.size == 0 {
		return
	}
	p.msg.Kind = p.kind
	p.m.send(p.to, p.addr, p.msg)
	p.msg, p.size = Message{}, 0
}
