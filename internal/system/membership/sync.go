package membership

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// syncer is the state of the digest comparison with peers.
type syncer struct {
	lastSyncAt  time.Time
	differSince time.Time // when digests were first seen to differ; zero: they agree
	nextJoinAt  time.Time // time of the next attempt to join
}

const (
	// quietPeriod is how long this daemon must have queued no changes for
	// gossip before a differing digest means that one side has missed a change.
	quietPeriod = time.Second
	// maxDifferenceAge is how long digests may differ before they are compared
	// although changes still spread.
	maxDifferenceAge = 5 * time.Second
	// seedsPerJoin is the number of seeds contacted in one attempt to join.
	seedsPerJoin = 3
)

// compareDigest starts a Sync with a peer if digests have differed for longer
// than changes take to spread.
func (m *Membership) compareDigest(now time.Time, peer entity.InstanceID, addr string, peerDigest uint64) {
	s := &m.syncer
	if peerDigest == m.digest.root() {
		s.differSince = time.Time{}
		return
	}
	if s.differSince.IsZero() {
		s.differSince = now
	}
	quiet := m.gossip.nextRoundAt.IsZero() && now.Sub(m.gossip.lastQueuedAt) >= quietPeriod
	if !quiet && now.Sub(s.differSince) < maxDifferenceAge {
		return
	}
	if now.Sub(s.lastSyncAt) < m.cfg.SyncInterval {
		return
	}
	m.startSync(now, peer, addr)
}

// startSync sends this daemon's digest and its full member entry to a peer.
func (m *Membership) startSync(now time.Time, peer entity.InstanceID, addr string) {
	m.syncer.lastSyncAt = now
	m.send(peer, addr, Message{
		Kind:    Sync,
		Buckets: append([]uint64(nil), m.digest.buckets[:]...),
		Updates: []Update{m.self.update(true)},
	})
}

// onSync answers with all entries in the buckets that differ. The updates in
// the message have been merged already.
func (m *Membership) onSync(now time.Time, from entity.InstanceID, addr string, msg Message) {
	reply := Message{Kind: SyncReply, Updates: m.suspicionUpdate(m.rows.Get(from))}
	var differs [bucketCount]bool
	for i := range differs {
		if msg.Buckets[i] != m.digest.buckets[i] {
			differs[i] = true
			reply.DifferingBuckets = append(reply.DifferingBuckets, uint8(i))
		}
	}
	m.rows.All(func(id entity.InstanceID, r *row) bool {
		if r.State != Dead && id != from && differs[memberHash(r)%bucketCount] {
			reply.Updates = append(reply.Updates, m.outgoingUpdate(r, true))
		}
		return true
	})
	m.records.rows.All(func(k recordKey, record *recordRow) bool {
		if !record.dropped && differs[recordHash(k)%bucketCount] {
			reply.Records = append(reply.Records, *m.outgoingRecord(k, now))
		}
		return true
	})
	m.send(from, addr, reply)
}

// onSyncReply answers with the entries that the peer lacks in the differing
// buckets, and with those of which it holds an older version.
func (m *Membership) onSyncReply(now time.Time, from entity.InstanceID, addr string, msg Message, outdated outdatedEntries) {
	p := newPacket(m, from, addr, SyncPush)
	included := entriesIn(msg)
	var differs [bucketCount]bool
	for _, i := range msg.DifferingBuckets {
		if i < bucketCount {
			differs[i] = true
		}
	}
	m.rows.All(func(id entity.InstanceID, r *row) bool {
		lacks := r.State != Dead && id != from && differs[memberHash(r)%bucketCount] && !included[itemKey{member: id}]
		if lacks {
			p.addUpdate(m.outgoingUpdate(r, true))
		}
		return true
	})
	m.records.rows.All(func(k recordKey, record *recordRow) bool {
		if !record.dropped && differs[recordHash(k)%bucketCount] && !included[itemKey{record: k}] {
			p.addRecord(*m.outgoingRecord(k, now))
		}
		return true
	})
	m.addNewerEntries(now, p, outdated)
	p.flush()
}

// entriesIn returns the keys of the members and records in a message.
func entriesIn(msg Message) map[itemKey]bool {
	entries := make(map[itemKey]bool, len(msg.Updates)+len(msg.Records))
	for _, u := range msg.Updates {
		entries[itemKey{member: u.ID}] = true
	}
	for _, r := range msg.Records {
		entries[itemKey{record: recordKey{r.Topic, r.Key}}] = true
	}
	return entries
}

// outdatedEntries names the entries of which a peer holds an older version than
// this daemon.
type outdatedEntries struct {
	members []entity.InstanceID
	records []recordKey
}

func (m *Membership) addNewerEntries(now time.Time, p *packet, outdated outdatedEntries) {
	for _, id := range outdated.members {
		if r := m.rows.Get(id); r != nil {
			p.addUpdate(m.outgoingUpdate(r, true))
		}
	}
	for _, k := range outdated.records {
		if r := m.outgoingRecord(k, now); r != nil {
			p.addRecord(*r)
		}
	}
}

// onSyncPush answers with the entries of which the peer holds an older version.
func (m *Membership) onSyncPush(now time.Time, from entity.InstanceID, addr string, outdated outdatedEntries) {
	p := newPacket(m, from, addr, Gossip)
	m.addNewerEntries(now, p, outdated)
	p.flush()
}

// Seed adds peer addresses to join through. If no peer is known, the next Tick
// uses them.
func (m *Membership) Seed(now time.Time, addrs []string) {
	m.addSeeds(addrs)
	if m.peerCount() == 0 {
		m.syncer.nextJoinAt = now
	}
}

// addSeeds adds peer addresses; beyond maxSeeds, the oldest ones are dropped.
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

// joinIfDue sends a Sync to some of the seeds while no peer is known.
func (m *Membership) joinIfDue(now time.Time) {
	if m.peerCount() > 0 || len(m.seeds) == 0 || now.Before(m.syncer.nextJoinAt) {
		return
	}
	m.syncer.nextJoinAt = now.Add(m.jitter(m.cfg.JoinInterval))
	first := m.cfg.Rand.IntN(len(m.seeds))
	for i := range min(seedsPerJoin, len(m.seeds)) {
		m.startSync(now, "", m.seeds[(first+i)%len(m.seeds)])
	}
}

// rejoinIfDue sends a Sync to a dead member or to a seed whose address belongs
// to no live member, so that the two sides of a network partition find each
// other once it has healed.
func (m *Membership) rejoinIfDue(now time.Time) {
	if m.peerCount() == 0 || now.Before(m.nextRejoinAt) {
		return
	}
	m.nextRejoinAt = now.Add(m.jitter(m.rejoinInterval()))
	var candidates []Target
	for _, r := range m.dead {
		if !r.leaving {
			candidates = append(candidates, Target{ID: r.ID, Addr: r.Addr})
		}
	}
	known := m.liveAddresses()
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

// rejoinIntervalPerMember scales the rejoin interval with the number of
// members: small fleets try more often, so that all daemons together make about
// the same number of attempts a second whatever their number.
const rejoinIntervalPerMember = 250 * time.Millisecond

func (m *Membership) rejoinInterval() time.Duration {
	scaled := time.Duration(m.peerCount()) * rejoinIntervalPerMember
	return min(m.cfg.RejoinInterval, max(scaled, m.cfg.RejoinInterval/6))
}

// liveAddresses returns the peer addresses of the members that are not dead.
func (m *Membership) liveAddresses() map[string]bool {
	known := make(map[string]bool, m.peerCount())
	for _, e := range m.overlay.all() {
		known[e.row.Addr] = true
	}
	return known
}
