package membership

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// syncer is the state of the comparison with others.
type syncer struct {
	lastAt   time.Time
	differAt time.Time // when digests were first seen to differ; zero: they agree
	joinAt   time.Time // next attempt to join
}

const (
	// settleTime is how long this daemon must have had no changes to pass on
	// before a difference means that something was missed.
	settleTime = time.Second
	// patience is how long a difference may last while changes go on.
	patience = 5 * time.Second
	// joinSeeds is the number of seeds asked in one attempt to join.
	joinSeeds = 3
)

// compare starts a comparison with a peer whose digest differs for longer
// than changes take to spread.
func (m *Membership) compare(now time.Time, peer entity.InstanceID, addr string, theirs uint64) {
	s := &m.syncer
	if theirs == m.digest.root() {
		s.differAt = time.Time{}
		return
	}
	if s.differAt.IsZero() {
		s.differAt = now
	}
	settled := m.gossip.dueAt.IsZero() && now.Sub(m.gossip.lastAdd) >= settleTime
	if !settled && now.Sub(s.differAt) < patience {
		return
	}
	if now.Sub(s.lastAt) < m.cfg.SyncInterval {
		return
	}
	m.startSync(now, peer, addr)
}

// startSync sends our digests, and ourselves in full, to a peer.
func (m *Membership) startSync(now time.Time, peer entity.InstanceID, addr string) {
	m.syncer.lastAt = now
	m.send(peer, addr, Message{
		Kind:    Sync,
		Buckets: append([]uint64(nil), m.digest.buckets[:]...),
		Updates: []Update{m.self.update(true)},
	})
}

// onSync answers with all that is held in the buckets that differ. Updates
// have been merged already.
func (m *Membership) onSync(now time.Time, from entity.InstanceID, addr string, msg Message) {
	reply := Message{Kind: SyncReply, Updates: m.accusation(m.rows.Get(from))}
	var want [bucketCount]bool
	for i := range want {
		if msg.Buckets[i] != m.digest.buckets[i] {
			want[i] = true
			reply.Want = append(reply.Want, uint8(i))
		}
	}
	m.rows.All(func(id entity.InstanceID, r *row) bool {
		if r.State != Dead && id != from && want[memberHash(r)%bucketCount] {
			reply.Updates = append(reply.Updates, m.updateOf(r, true))
		}
		return true
	})
	m.news.rows.All(func(k newsKey, n *newsRow) bool {
		if !n.dropped && want[newsHash(k)%bucketCount] {
			reply.News = append(reply.News, *m.newsRecord(k, now))
		}
		return true
	})
	m.send(from, addr, reply)
}

// onSyncReply sends back what the peer lacks of the buckets it wants, and
// what it holds too old.
func (m *Membership) onSyncReply(now time.Time, from entity.InstanceID, addr string, msg Message, older corrections) {
	p := newPacket(m, from, addr, SyncPush)
	told := toldBy(msg)
	var want [bucketCount]bool
	for _, i := range msg.Want {
		if i < bucketCount {
			want[i] = true
		}
	}
	m.rows.All(func(id entity.InstanceID, r *row) bool {
		lacks := r.State != Dead && id != from && want[memberHash(r)%bucketCount] && !told[itemKey{member: id}]
		if lacks {
			p.addUpdate(m.updateOf(r, true))
		}
		return true
	})
	m.news.rows.All(func(k newsKey, n *newsRow) bool {
		if !n.dropped && want[newsHash(k)%bucketCount] && !told[itemKey{news: k}] {
			p.addNews(*m.newsRecord(k, now))
		}
		return true
	})
	m.addCorrections(now, p, older)
	p.flush()
}

// toldBy returns what a message holds.
func toldBy(msg Message) map[itemKey]bool {
	told := make(map[itemKey]bool, len(msg.Updates)+len(msg.News))
	for _, u := range msg.Updates {
		told[itemKey{member: u.ID}] = true
	}
	for _, r := range msg.News {
		told[itemKey{news: newsKey{r.Topic, r.Key}}] = true
	}
	return told
}

// corrections are the entries that a peer holds older than this daemon does.
type corrections struct {
	members []entity.InstanceID
	news    []newsKey
}

func (m *Membership) addCorrections(now time.Time, p *packet, older corrections) {
	for _, id := range older.members {
		if r := m.rows.Get(id); r != nil {
			p.addUpdate(m.updateOf(r, true))
		}
	}
	for _, k := range older.news {
		if r := m.newsRecord(k, now); r != nil {
			p.addNews(*r)
		}
	}
}

// onSyncPush answers with what the peer still holds too old.
func (m *Membership) onSyncPush(now time.Time, from entity.InstanceID, addr string, older corrections) {
	p := newPacket(m, from, addr, Gossip)
	m.addCorrections(now, p, older)
	p.flush()
}

// Seed adds addresses to join through, and uses them at the next Tick if
// nobody is known.
func (m *Membership) Seed(now time.Time, addrs []string) {
	m.addSeeds(addrs)
	if m.others() == 0 {
		m.syncer.joinAt = now
	}
}

// addSeeds adds addresses; the oldest give way beyond the limit.
func (m *Membership) addSeeds(addrs []string) {
	for _, a := range addrs {
		if a != m.self.Addr && len(a) <= maxAddrBytes && !m.isSeed(a) {
			m.seeds = append(m.seeds, a)
		}
	}
	if n := len(m.seeds) - maxSeeds; n > 0 {
		m.seeds = append([]string(nil), m.seeds[n:]...)
	}
}

func (m *Membership) isSeed(addr string) bool {
	for _, s := range m.seeds {
		if s == addr {
			return true
		}
	}
	return false
}

// joinDue asks some seeds while nobody is known.
func (m *Membership) joinDue(now time.Time) {
	if m.others() > 0 || len(m.seeds) == 0 || now.Before(m.syncer.joinAt) {
		return
	}
	m.syncer.joinAt = now.Add(m.jitter(m.cfg.JoinInterval))
	first := m.cfg.Rand.IntN(len(m.seeds))
	for i := range min(joinSeeds, len(m.seeds)) {
		m.startSync(now, "", m.seeds[(first+i)%len(m.seeds)])
	}
}

// rejoinDue tries a dead member or a seed that no member holds, so that two
// parts find each other after a split.
func (m *Membership) rejoinDue(now time.Time) {
	if m.others() == 0 || now.Before(m.nextRejoin) {
		return
	}
	m.nextRejoin = now.Add(m.jitter(m.rejoinInterval()))
	var candidates []Target
	for _, r := range m.dead {
		if !r.leaving {
			candidates = append(candidates, Target{ID: r.ID, Addr: r.Addr})
		}
	}
	known := m.addresses()
	for _, s := range m.seeds {
		if !known[s] {
			candidates = append(candidates, Target{Addr: s})
		}
	}
	if len(candidates) == 0 {
		return
	}
	c := candidates[m.cfg.Rand.IntN(len(candidates))]
	m.startSync(now, c.ID, c.Addr)
}

// rejoinPerMember makes small fleets try more often: together, all daemons
// make about as many attempts a second whatever their number.
const rejoinPerMember = 250 * time.Millisecond

func (m *Membership) rejoinInterval() time.Duration {
	scaled := time.Duration(m.others()) * rejoinPerMember
	return min(m.cfg.RejoinInterval, max(scaled, m.cfg.RejoinInterval/6))
}

// addresses returns where the members that are not dead listen.
func (m *Membership) addresses() map[string]bool {
	known := make(map[string]bool, m.others())
	for _, e := range m.overlay.all() {
		known[e.row.Addr] = true
	}
	return known
}
