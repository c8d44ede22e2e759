package membership

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// probe is a ping that has not been answered yet.
type probe struct {
	sequence  uint32
	target    *row
	sentAt    time.Time
	sendCount int // number of pings sent
}

// relay is a ping sent on behalf of another member, the origin.
type relay struct {
	sequence       uint32 // of the ping that this daemon sent to the target
	target         entity.InstanceID
	origin         entity.InstanceID
	originAddr     string // address of the origin
	originSequence uint32 // sequence number in the origin's PingRequest
	sentAt         time.Time
}

// prober is the state of the failure detector.
type prober struct {
	sequence    uint32
	nextProbeAt time.Time
	probes      []*probe
	relays      []relay
}

const (
	maxDirectPings = 3 // maximum pings sent directly to the target in one probe
	helperCount    = 3 // members that are asked to ping the target of an unanswered probe
	// jitterDivisor gives the fraction, one eighth, by which an interval is
	// shortened at most.
	jitterDivisor = 8
)

// jitter returns the interval, shortened at random by up to one eighth.
func (m *Membership) jitter(interval time.Duration) time.Duration {
	return interval - time.Duration(m.cfg.Rand.Int64N(int64(interval/jitterDivisor)+1))
}

// probeIfDue follows up the unanswered probes and, if the probe interval is
// over, sends the next ones.
func (m *Membership) probeIfDue(now time.Time) {
	m.checkProbes(now)
	if now.Before(m.prober.nextProbeAt) {
		return
	}
	m.prober.nextProbeAt = now.Add(m.jitter(m.cfg.ProbeInterval))
	for _, r := range m.overlay.probeTargets() {
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
	p := &probe{sequence: m.prober.sequence, target: r, sentAt: now, sendCount: 1}
	m.prober.probes = append(m.prober.probes, p)
	m.ping(r.ID, r.Addr, p.sequence, r)
}

// ping sends a Ping. If the member r is suspected or dead, the message says so,
// so that it can refute that.
func (m *Membership) ping(to entity.InstanceID, addr string, sequence uint32, r *row) {
	m.send(to, addr, Message{Kind: Ping, Sequence: sequence, Updates: m.suspicionUpdate(r)})
}

// suspicionUpdate returns the suspicion of a member, to be sent to that member
// for refutation; nil if there is none. While this daemon is cut off,
// suspicions that it raised itself are left out.
func (m *Membership) suspicionUpdate(r *row) []Update {
	if r == nil || !r.suspected || (m.cutOff && r.suspectedLocally) {
		return nil
	}
	return []Update{r.update(false)}
}

// checkProbes sends unanswered probes again, directly and through other
// members, and suspects the members whose probes have timed out.
func (m *Membership) checkProbes(now time.Time) {
	pending := m.prober.probes[:0]
	var failed []*probe
	for _, p := range m.prober.probes {
		if p.target.State == Dead {
			continue
		}
		if now.Sub(p.sentAt) >= m.cfg.ProbeTimeout {
			failed = append(failed, p)
			continue
		}
		pending = append(pending, p)
		m.retryProbe(now, p)
	}
	clear(m.prober.probes[len(pending):])
	m.prober.probes = pending
	for _, p := range failed {
		m.suspect(now, m.self.ID, p.target)
	}
	m.expireRelays(now)
}

func (m *Membership) retryProbe(now time.Time, p *probe) {
	if p.sendCount >= maxDirectPings || now.Sub(p.sentAt) < time.Duration(p.sendCount)*m.cfg.ProbeRetry {
		return
	}
	p.sendCount++
	m.ping(p.target.ID, p.target.Addr, p.sequence, p.target)
	if p.sendCount == maxDirectPings {
		m.requestIndirectPings(p)
	}
}

// requestIndirectPings asks other members to ping the target of a probe: one in
// the target's location, which most likely reaches it, and others in neither
// location, so that their pings avoid a broken link between the two data
// centres.
func (m *Membership) requestIndirectPings(p *probe) {
	selfLocation, targetLocation := m.self.Location, p.target.Location
	var helpers []*row
	for i := range helperCount {
		isNear := func(r *row) bool { return r.Location == targetLocation }
		isElsewhere := func(r *row) bool { return r.Location != selfLocation && r.Location != targetLocation }
		fits := isElsewhere
		if i == 0 {
			fits = isNear
		}
		isUnused := func(r *row) bool { return r != p.target && !containsRow(helpers, r) }
		h := m.pickHelper(func(r *row) bool { return fits(r) && isUnused(r) })
		if h == nil {
			h = m.pickHelper(isUnused)
		}
		if h == nil {
			continue
		}
		helpers = append(helpers, h)
		m.send(h.ID, h.Addr, Message{
			Kind: PingRequest, Sequence: p.sequence,
			Target: Target{ID: p.target.ID, Addr: p.target.Addr},
		})
	}
}

// pickHelper returns a member that the function accepts: a neighbour if
// possible, since a connection to it exists already, otherwise any peer.
func (m *Membership) pickHelper(accepts func(*row) bool) *row {
	neighbours := m.overlay.neighbours()
	first := m.cfg.Rand.IntN(len(neighbours) + 1)
	for i := range neighbours {
		r := neighbours[(first+i)%len(neighbours)]
		if !r.suspected && accepts(r) {
			return r
		}
	}
	return m.randomPeer(accepts)
}

func containsRow(rows []*row, r *row) bool {
	for _, x := range rows {
		if x == r {
			return true
		}
	}
	return false
}

func (m *Membership) expireRelays(now time.Time) {
	kept := m.prober.relays[:0]
	for _, r := range m.prober.relays {
		if now.Sub(r.sentAt) < m.cfg.ProbeTimeout {
			kept = append(kept, r)
		}
	}
	m.prober.relays = kept
}

// onPing answers with an Ack, which also reports whether the sender is unknown
// or suspected.
func (m *Membership) onPing(from entity.InstanceID, addr string, msg Message) {
	r := m.rows.Get(from)
	m.send(from, addr, Message{
		Kind: Ack, Sequence: msg.Sequence, ReceiverUnknown: r == nil, Updates: m.suspicionUpdate(r),
	})
}

func (m *Membership) onPingRequest(now time.Time, from entity.InstanceID, addr string, msg Message) {
	if len(m.prober.relays) >= maxRelays || msg.Target.ID == "" || msg.Target.Addr == "" {
		return
	}
	m.prober.sequence++
	m.prober.relays = append(m.prober.relays, relay{
		sequence: m.prober.sequence, target: msg.Target.ID,
		origin: from, originAddr: addr, originSequence: msg.Sequence, sentAt: now,
	})
	m.ping(msg.Target.ID, msg.Target.Addr, m.prober.sequence, m.rows.Get(msg.Target.ID))
}

// onAck completes the probe or forwards the answer to the origin of a relay. An
// answer that matches neither is late or forged and has no effect.
func (m *Membership) onAck(now time.Time, from entity.InstanceID, addr string, msg Message) {
	if m.completeProbe(msg.Sequence, from) {
		m.recordContact(now)
		m.compareDigest(now, from, addr, msg.Digest)
	}
	for i, r := range m.prober.relays {
		if r.sequence == msg.Sequence && r.target == from {
			m.prober.relays = append(m.prober.relays[:i], m.prober.relays[i+1:]...)
			m.send(r.origin, r.originAddr, Message{Kind: IndirectAck, Sequence: r.originSequence, Target: Target{ID: from}})
			break
		}
	}
	if msg.ReceiverUnknown {
		m.send(from, addr, Message{Kind: Gossip, Updates: []Update{m.self.update(true)}})
	}
}

func (m *Membership) onIndirectAck(now time.Time, msg Message) {
	if m.completeProbe(msg.Sequence, msg.Target.ID) {
		m.recordContact(now)
	}
}

func (m *Membership) completeProbe(sequence uint32, target entity.InstanceID) bool {
	for i, p := range m.prober.probes {
		if p.sequence == sequence && p.target.ID == target {
			m.prober.probes = append(m.prober.probes[:i], m.prober.probes[i+1:]...)
			return true
		}
	}
	return false
}

// recordContact records that a peer has answered. If this daemon was cut off,
// it withdraws the suspicions that it has raised since the previous contact:
// they were most likely caused by its own lack of connectivity.
func (m *Membership) recordContact(now time.Time) {
	previousContact := m.lastContact
	m.lastContact = now
	if !m.cutOff {
		return
	}
	m.cutOff = false
	m.prober.probes = nil
	m.emit(now, event.PeersFound, "", "")
	for _, r := range append([]*row(nil), m.suspects...) {
		if r.suspectedLocally && r.suspectedAt.After(previousContact) {
			m.withdrawSuspicion(now, r)
		}
	}
	for _, r := range append([]*row(nil), m.dead...) {
		if r.suspectedLocally && r.suspectedAt.After(previousContact) {
			m.withdrawDeath(now, r)
		}
	}
}

// withdrawSuspicion clears a suspicion that this daemon raised itself.
func (m *Membership) withdrawSuspicion(now time.Time, r *row) {
	old := r.State
	m.digest.xorMember(r)
	m.clearSuspicion(r)
	m.digest.xorMember(r)
	m.updateState(now, r, old)
}

// withdrawDeath makes a member count as alive again that died of a suspicion
// that this daemon raised itself.
func (m *Membership) withdrawDeath(now time.Time, r *row) {
	m.removeFromDead(r)
	r.suspected, r.suspectedLocally = false, false
	m.markLive(now, "", r, event.MemberReturned)
}

// expireSuspicions marks the suspects dead whose suspicion timeout is over.
// While no peer answers, the timeout is longer, since the fault is more likely
// on this daemon's side.
func (m *Membership) expireSuspicions(now time.Time) {
	if len(m.suspects) == 0 {
		return
	}
	timeout := m.suspicionTimeout()
	for _, r := range append([]*row(nil), m.suspects...) {
		if now.Sub(r.suspectedAt) >= timeout {
			m.markDead(now, r)
		}
	}
}

// cutOffTimeoutFactor multiplies the suspicion timeout while no peer answers.
const cutOffTimeoutFactor = 8

func (m *Membership) suspicionTimeout() time.Duration {
	if m.cutOff {
		return cutOffTimeoutFactor * m.cfg.SuspicionTimeout
	}
	return m.cfg.SuspicionTimeout
}
