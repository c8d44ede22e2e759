package membership

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// Step processes a message from a peer. Malformed, stale and repeated messages
// change no state.
func (m *Membership) Step(now time.Time, from entity.InstanceID, fromAddr string, msg Message) {
	m.adjustForPause(now)
	if from == "" || from == m.self.ID || !msg.valid() {
		m.emit(now, event.MembershipMessageMalformed, from, "")
		return
	}
	if msg.Kind == SyncReply || msg.Kind == SyncPush {
		m.recordContact(now) // both answer a message of this daemon
	}
	m.mergeUpdate(now, from, Update{ID: from, Incarnation: msg.Incarnation, Leaving: msg.Leaving})
	outdated := m.mergeAll(now, from, msg)
	switch msg.Kind {
	case Ping:
		m.onPing(from, fromAddr, msg)
	case Ack:
		m.onAck(now, from, fromAddr, msg)
	case PingRequest:
		m.onPingRequest(now, from, fromAddr, msg)
	case IndirectAck:
		m.onIndirectAck(now, msg)
	case Sync:
		m.onSync(now, from, fromAddr, msg)
	case SyncReply:
		m.onSyncReply(now, from, fromAddr, msg, outdated)
	case SyncPush:
		m.onSyncPush(now, from, fromAddr, outdated)
	}
}

// mergeAll merges the updates and records of a message and returns the ones of
// which this daemon has a newer version.
func (m *Membership) mergeAll(now time.Time, from entity.InstanceID, msg Message) outdatedEntries {
	var outdated outdatedEntries
	for _, u := range msg.Updates {
		if !m.mergeUpdate(now, from, u) {
			outdated.members = append(outdated.members, u.ID)
		}
	}
	for _, r := range msg.Records {
		if !m.mergeRecord(now, from, r) {
			outdated.records = append(outdated.records, recordKey{r.Topic, r.Key})
		}
	}
	return outdated
}

// Tick performs all work that is due. It may be called at any time.
func (m *Membership) Tick(now time.Time) {
	m.adjustForPause(now)
	if !m.started {
		m.start(now)
	}
	m.checkContactLost(now)
	m.joinIfDue(now)
	m.probeIfDue(now)
	m.expireSuspicions(now)
	m.rejoinIfDue(now)
	m.repeatLeaveIfDue(now)
	m.sweepIfDue(now)
	m.sendGossip(now)
}

// start picks random times for the first probe and the first attempt to rejoin,
// so that daemons that start together do not send them together.
func (m *Membership) start(now time.Time) {
	m.started = true
	m.prober.nextProbeAt = now.Add(time.Duration(m.cfg.Rand.Int64N(int64(m.cfg.ProbeInterval))))
	m.nextRejoinAt = now.Add(time.Duration(m.cfg.Rand.Int64N(int64(m.cfg.RejoinInterval))))
	m.nextSweepAt = now.Add(sweepInterval)
	m.lastContact = now
}

// Deadline returns when Tick is next due. Before the first Tick, it is a time
// long past.
func (m *Membership) Deadline() time.Time {
	if !m.started {
		return time.Unix(0, 0)
	}
	due := m.prober.nextProbeAt
	dueBy := func(t time.Time) {
		if !t.IsZero() && t.Before(due) {
			due = t
		}
	}
	for _, p := range m.prober.probes {
		dueBy(p.dueAt(&m.cfg))
	}
	for _, r := range m.suspects {
		dueBy(r.suspectedAt.Add(m.suspicionTimeout()))
	}
	dueBy(m.gossip.nextRoundAt)
	if m.peerCount() == 0 && len(m.seeds) > 0 {
		dueBy(m.syncer.nextJoinAt)
	}
	if len(m.leaveRepeatAt) > 0 {
		dueBy(m.leaveRepeatAt[0])
	}
	return due
}

// dueAt returns when the probe is to be sent again or has failed.
func (p *probe) dueAt(cfg *Config) time.Time {
	if p.sendCount < maxDirectPings {
		return p.sentAt.Add(time.Duration(p.sendCount) * cfg.ProbeRetry)
	}
	return p.sentAt.Add(cfg.ProbeTimeout)
}

// pauseProbeTimeouts is the number of probe timeouts after which a call of Tick
// or Step shows that the process was paused since the last call. Without a
// pause, calls are more frequent, because probes are.
const pauseProbeTimeouts = 1

// adjustForPause checks whether this process was paused. If so, the pause does
// not count as time in which peers failed to answer: probes in flight are
// dropped and suspicions last longer by the pause.
func (m *Membership) adjustForPause(now time.Time) {
	pause := now.Sub(m.lastRunAt)
	paused := m.started && pause > pauseProbeTimeouts*m.cfg.ProbeTimeout
	m.lastRunAt = now
	if !paused {
		return
	}
	m.emit(now, event.ProcessPaused, "", pause.String())
	m.prober.probes, m.prober.relays = nil, nil
	for _, r := range m.suspects {
		r.suspectedAt = r.suspectedAt.Add(pause)
	}
}

// cutOffProbeTimeouts is the number of probe timeouts without any answer after
// which this daemon considers itself cut off.
const cutOffProbeTimeouts = 2

func (m *Membership) checkContactLost(now time.Time) {
	if m.withoutPeers() {
		m.lastContact = now
		return
	}
	if m.cutOff || now.Sub(m.lastContact) < cutOffProbeTimeouts*m.cfg.ProbeTimeout {
		return
	}
	m.cutOff = true
	m.emit(now, event.PeersLost, "", "")
}

// withoutPeers reports whether there is no peer that could be expected to
// answer: no live member, no seed and no dead member that had not announced
// that it leaves.
func (m *Membership) withoutPeers() bool {
	if m.peerCount() > 0 || len(m.seeds) > 0 {
		return false
	}
	for _, r := range m.dead {
		if !r.leaving {
			return false
		}
	}
	return true
}

const (
	leaveRepeats         = 3
	leaveRepeatInterval  = 500 * time.Millisecond
	leaveExtraRecipients = 4 // random members that are notified in addition to the neighbours
)

// Leave announces that this daemon will stop. It notifies several members
// immediately and repeats that leaveRepeats times; until it stops, this daemon
// answers as before.
func (m *Membership) Leave(now time.Time) {
	if m.self.leaving {
		return
	}
	m.digest.xorMember(m.self)
	m.self.leaving = true
	m.self.Incarnation++
	m.digest.xorMember(m.self)
	m.updateState(now, m.self, Alive)
	m.gossip.add(now, m.cfg.GossipInterval, memberItem(m.self.ID, ""))
	m.sendLeaving()
	for i := range leaveRepeats {
		m.leaveRepeatAt = append(m.leaveRepeatAt, now.Add(time.Duration(i+1)*leaveRepeatInterval))
	}
}

func (m *Membership) repeatLeaveIfDue(now time.Time) {
	for len(m.leaveRepeatAt) > 0 && !now.Before(m.leaveRepeatAt[0]) {
		m.leaveRepeatAt = m.leaveRepeatAt[1:]
		m.sendLeaving()
	}
}

func (m *Membership) sendLeaving() {
	recipients := append([]*row(nil), m.overlay.neighbours()...)
	for range leaveExtraRecipients {
		r := m.randomPeer(func(r *row) bool { return !r.leaving && !containsRow(recipients, r) })
		if r != nil {
			recipients = append(recipients, r)
		}
	}
	for _, r := range recipients {
		m.send(r.ID, r.Addr, Message{Kind: Gossip, Updates: []Update{m.self.update(false)}})
	}
}

const sweepInterval = 5 * time.Second

// sweepIfDue forgets members that have been dead for DeadRetention and drops
// expired gossip records.
func (m *Membership) sweepIfDue(now time.Time) {
	if now.Before(m.nextSweepAt) {
		return
	}
	m.nextSweepAt = now.Add(sweepInterval)
	for len(m.dead) > 0 && now.Sub(m.dead[0].diedAt) >= m.cfg.DeadRetention {
		m.forgetMember(m.dead[0])
	}
	m.expireRecords(now)
}
