package membership

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// maxPayload is what fits into one packet beside the fixed fields.
	maxPayload = 1000 // bytes
	// maxPackets bounds the packets to one neighbour in one round.
	maxPackets = 4
)

// item is a change to be passed on: a member or a piece of news. What is sent
// is its state at that moment.
type item struct {
	member entity.InstanceID // set for a member
	news   newsKey           // set for news
	source entity.InstanceID // heard from here; empty for our own
	full   bool              // with the member's details
}

func memberItem(id, source entity.InstanceID) item { return item{member: id, source: source} }

func newsItem(k newsKey, source entity.InstanceID) item { return item{news: k, source: source} }

type itemKey struct {
	member entity.InstanceID
	news   newsKey
}

func (i *item) key() itemKey { return itemKey{i.member, i.news} }

// gossiper holds the changes that wait for the next round, each once.
type gossiper struct {
	waiting []*item
	index   map[itemKey]*item
	lastAt  time.Time
	dueAt   time.Time // zero: nothing waits
	lastAdd time.Time // when a change was last queued
}

func (g *gossiper) init() { g.index = make(map[itemKey]*item) }

func (g *gossiper) add(now time.Time, interval time.Duration, i item) {
	g.lastAdd = now
	if waiting := g.index[i.key()]; waiting != nil {
		// It has changed again since: everyone is to hear the outcome.
		waiting.source = ""
		waiting.full = waiting.full || i.full
		return
	}
	g.index[i.key()] = &i
	g.waiting = append(g.waiting, &i)
	if g.dueAt.IsZero() {
		g.dueAt = later(now, g.lastAt.Add(interval))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// passOn sends the waiting changes to every neighbour except where each came
// from. What exceeds a round's share waits for the next one.
func (m *Membership) passOn(now time.Time) {
	g := &m.gossip
	if g.dueAt.IsZero() || now.Before(g.dueAt) {
		return
	}
	batch := m.takeBatch()
	for _, n := range m.overlay.neighbours() {
		m.sendItems(now, n, batch)
	}
	g.lastAt, g.dueAt = now, time.Time{}
	if len(g.waiting) > 0 {
		g.dueAt = now.Add(m.cfg.GossipInterval)
	}
}

// takeBatch removes one round's share from the queue.
func (m *Membership) takeBatch() []*item {
	g := &m.gossip
	bytes, n := 0, 0
	for n < len(g.waiting) && bytes < maxPackets*maxPayload {
		bytes += m.sizeOf(g.waiting[n])
		delete(g.index, g.waiting[n].key())
		n++
	}
	batch := g.waiting[:n:n]
	g.waiting = append([]*item(nil), g.waiting[n:]...)
	return batch
}

func (m *Membership) sizeOf(i *item) int {
	if i.member == "" {
		if r := m.newsRecord(i.news, time.Time{}); r != nil {
			return r.size()
		}
		return 0
	}
	if r := m.rows.Get(i.member); r != nil {
		u := r.update(i.full)
		return u.size()
	}
	return 0
}

// sendItems sends changes to one peer, in as many packets as they need.
func (m *Membership) sendItems(now time.Time, to *row, batch []*item) {
	packet := newPacket(m, to.ID, to.Addr, Gossip)
	for _, i := range batch {
		if i.source == to.ID {
			continue
		}
		if i.member != "" {
			if r := m.rows.Get(i.member); r != nil {
				packet.addUpdate(m.updateOf(r, i.full))
			}
			continue
		}
		if r := m.newsRecord(i.news, now); r != nil {
			packet.addNews(*r)
		}
	}
	packet.flush()
}

// packet collects updates and news for one peer and sends them when full.
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

func (p *packet) room(size int) {
	if p.size > 0 && p.size+size > maxPayload {
		p.flush()
	}
	p.size += size
}

func (p *packet) addUpdate(u Update) {
	p.room(u.size())
	p.msg.Updates = append(p.msg.Updates, u)
}

func (p *packet) addNews(r NewsRecord) {
	p.room(r.size())
	p.msg.News = append(p.msg.News, r)
}

func (p *packet) flush() {
	if p.size == 0 {
		return
	}
	p.msg.Kind = p.kind
	p.m.send(p.to, p.addr, p.msg)
	p.msg, p.size = Message{}, 0
}
