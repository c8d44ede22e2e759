package membership

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// probe is a ping that waits for its answer.
type probe struct {
	sequence uint32
	target   *row
	sentAt   time.Time
	stage    int // how many times it has been sent
}

// relay is a ping sent on behalf of another member.
type relay struct {
	sequence uint32 // of our ping
	target   entity.InstanceID
	origin   entity.InstanceID
	addr     string // of the origin
	original uint32 // the origin's sequence number
	sentAt   time.Time
}

// prober is the state of the failure detector.
type prober struct {
	sequence uint32
	nextAt   time.Time
	probes   []*probe
	relays   []relay
}

const (
	directTries = 3 // pings sent directly by one probe
	helpers     = 3 // members asked to ping on our behalf
	// jitterParts is the part of an interval by which it varies.
	jitterParts = 8
)

// jitter returns the interval, shortened at random by up to an eighth.
func (m *Membership) jitter(interval time.Duration) time.Duration {
	return interval - time.Duration(m.cfg.Rand.Int64N(int64(interval/jitterParts)+1))
}

// probeDue sends the next probes and repeats or gives up those on their way.
func (m *Membership) probeDue(now time.Time) {
	m.followUp(now)
	if now.Before(m.prober.nextAt) {
		return
	}
	m.prober.nextAt = now.Add(m.jitter(m.cfg.ProbeInterval))
	for _, r := range m.overlay.targets() {
		m.startProbe(now, r)
	}
}

func (m *Membership) startProbe(now time.Time, r *row) {
	for _, p := range m.prober.probes {
		if p.target == r {
			return
		}
	}
	m.prober.sequence++
	p := &probe{sequence: m.prober.sequence, target: r, sentAt: now, stage: 1}
	m.prober.probes = append(m.prober.probes, p)
	m.ping(r.ID, r.Addr, p.sequence, r)
}

// ping asks a member for an answer and tells it if it is suspected or held
// dead, so that it can refute.
func (m *Membership) ping(to entity.InstanceID, addr string, sequence uint32, r *row) {
	m.send(to, addr, Message{Kind: Ping, Sequence: sequence, Updates: m.accusation(r)})
}

// accusation returns what is held against a member, for it to refute. While
// this daemon takes itself for cut off, its own suspicions are not counted.
func (m *Membership) accusation(r *row) []Update {
	if r == nil || !r.suspected || (m.cutOff && r.bySelf) {
		return nil
	}
	return []Update{r.update(false)}
}

// followUp repeats probes without answer, directly and through others, and
// suspects the members whose probes have failed.
func (m *Membership) followUp(now time.Time) {
	waiting := m.prober.probes[:0]
	var failed []*probe
	for _, p := range m.prober.probes {
		if p.target.State == Dead {
			continue
		}
		if now.Sub(p.sentAt) >= m.cfg.ProbeTimeout {
			failed = append(failed, p)
			continue
		}
		waiting = append(waiting, p)
		m.repeat(now, p)
	}
	clear(m.prober.probes[len(waiting):])
	m.prober.probes = waiting
	for _, p := range failed {
		m.suspect(now, m.self.ID, p.target)
	}
	m.dropOldRelays(now)
}

func (m *Membership) repeat(now time.Time, p *probe) {
	if p.stage >= directTries || now.Sub(p.sentAt) < time.Duration(p.stage)*m.cfg.ProbeRetry {
		return
	}
	p.stage++
	m.ping(p.target.ID, p.target.Addr, p.sequence, p.target)
	if p.stage == directTries {
		m.askHelpers(p)
	}
}

// askHelpers asks members to ping the target: one near the target, since it
// most likely reaches it, and others that are near neither, so that the way
// round avoids a broken link between two data centres.
func (m *Membership) askHelpers(p *probe) {
	here, there := m.self.Place, p.target.Place
	var asked []*row
	for i := range helpers {
		isNear := func(r *row) bool { return r.Place == there }
		isElsewhere := func(r *row) bool { return r.Place != here && r.Place != there }
		fits := isElsewhere
		if i == 0 {
			fits = isNear
		}
		isFree := func(r *row) bool { return r != p.target && !holds(asked, r) }
		h := m.helper(func(r *row) bool { return fits(r) && isFree(r) })
		if h == nil {
			h = m.helper(isFree)
		}
		if h == nil {
			continue
		}
		asked = append(asked, h)
		m.send(h.ID, h.Addr, Message{
			Kind: PingRequest, Sequence: p.sequence,
			Target: Target{ID: p.target.ID, Addr: p.target.Addr},
		})
	}
}

// helper returns a member that fits: a neighbour if possible, since there is
// a connection to it already, otherwise any.
func (m *Membership) helper(fits func(*row) bool) *row {
	neighbours := m.overlay.neighbours()
	first := m.cfg.Rand.IntN(len(neighbours) + 1)
	for i := range neighbours {
		r := neighbours[(first+i)%len(neighbours)]
		if !r.suspected && fits(r) {
			return r
		}
	}
	return m.randomPeer(fits)
}

func holds(rows []*row, r *row) bool {
	for _, x := range rows {
		if x == r {
			return true
		}
	}
	return false
}

func (m *Membership) dropOldRelays(now time.Time) {
	kept := m.prober.relays[:0]
	for _, r := range m.prober.relays {
		if now.Sub(r.sentAt) < m.cfg.ProbeTimeout {
			kept = append(kept, r)
		}
	}
	m.prober.relays = kept
}

// onPing answers. A sender that is not known or is held against something is
// told.
func (m *Membership) onPing(from entity.InstanceID, addr string, msg Message) {
	r := m.rows.Get(from)
	m.send(from, addr, Message{
		Kind: Ack, Sequence: msg.Sequence, Stranger: r == nil, Updates: m.accusation(r),
	})
}

func (m *Membership) onPingRequest(now time.Time, from entity.InstanceID, addr string, msg Message) {
	if len(m.prober.relays) >= maxRelays || msg.Target.ID == "" || msg.Target.Addr == "" {
		return
	}
	m.prober.sequence++
	m.prober.relays = append(m.prober.relays, relay{
		sequence: m.prober.sequence, target: msg.Target.ID,
		origin: from, addr: addr, original: msg.Sequence, sentAt: now,
	})
	m.ping(msg.Target.ID, msg.Target.Addr, m.prober.sequence, m.rows.Get(msg.Target.ID))
}

// onAck ends the probe or passes the answer on. An answer that matches
// neither is late or made up; it changes nothing.
func (m *Membership) onAck(now time.Time, from entity.InstanceID, addr string, msg Message) {
	if m.endProbe(msg.Sequence, from) {
		m.contact(now)
		m.compare(now, from, addr, msg.Digest)
	}
	for i, r := range m.prober.relays {
		if r.sequence == msg.Sequence && r.target == from {
			m.prober.relays = append(m.prober.relays[:i], m.prober.relays[i+1:]...)
			m.send(r.origin, r.addr, Message{Kind: IndirectAck, Sequence: r.original, Target: Target{ID: from}})
			break
		}
	}
	if msg.Stranger {
		m.send(from, addr, Message{Kind: Gossip, Updates: []Update{m.self.update(true)}})
	}
}

func (m *Membership) onIndirectAck(now time.Time, msg Message) {
	if m.endProbe(msg.Sequence, msg.Target.ID) {
		m.contact(now)
	}
}

func (m *Membership) endProbe(sequence uint32, target entity.InstanceID) bool {
	for i, p := range m.prober.probes {
		if p.sequence == sequence && p.target.ID == target {
			m.prober.probes = append(m.prober.probes[:i], m.prober.probes[i+1:]...)
			return true
		}
	}
	return false
}

// contact notes that a peer has answered. Suspicions that this daemon raised
// while nobody answered say more about itself than about others.
func (m *Membership) contact(now time.Time) {
	before := m.lastContact
	m.lastContact = now
	if !m.cutOff {
		return
	}
	m.cutOff = false
	m.prober.probes = nil
	m.emit(now, event.PeersFound, "", "")
	for _, r := range append([]*row(nil), m.suspects...) {
		if r.bySelf && r.suspectedAt.After(before) {
			m.withdraw(now, r)
		}
	}
	for _, r := range append([]*row(nil), m.dead...) {
		if r.bySelf && r.suspectedAt.After(before) {
			m.withdrawDeath(now, r)
		}
	}
}

// withdraw takes back an own suspicion.
func (m *Membership) withdraw(now time.Time, r *row) {
	old := r.State
	m.digest.toggle(r)
	m.endSuspicion(r)
	m.digest.toggle(r)
	m.setState(now, r, old)
}

func (m *Membership) withdrawDeath(now time.Time, r *row) {
	m.forgetDeath(r)
	r.suspected, r.bySelf = false, false
	m.revive(now, "", r, event.MemberReturned)
}

// suspicionsDue holds dead the suspects whose time is over. While no peer
// answers, that time is longer: the fault is more likely here.
func (m *Membership) suspicionsDue(now time.Time) {
	if len(m.suspects) == 0 {
		return
	}
	timeout := m.suspicionTimeout()
	for _, r := range append([]*row(nil), m.suspects...) {
		if now.Sub(r.suspectedAt) >= timeout {
			m.die(now, r)
		}
	}
}

// cutOffFactor prolongs suspicions while no peer answers.
const cutOffFactor = 8

func (m *Membership) suspicionTimeout() time.Duration {
	if m.cutOff {
		return cutOffFactor * m.cfg.SuspicionTimeout
	}
	return m.cfg.SuspicionTimeout
}
