package membership

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// Step takes in a message from a peer. What is malformed, stale or repeated
// changes nothing.
func (m *Membership) Step(now time.Time, from entity.InstanceID, fromAddr string, msg Message) {
	m.notePause(now)
	if from == "" || from == m.self.ID || !msg.valid() {
		m.emit(now, event.MembershipDamage, from, "")
		return
	}
	if msg.Kind == SyncReply || msg.Kind == SyncPush {
		m.contact(now) // both answer a message of ours
	}
	m.merge(now, from, Update{ID: from, Incarnation: msg.Incarnation, Leaving: msg.Leaving})
	older := m.mergeAll(now, from, msg)
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
		m.onSyncReply(now, from, fromAddr, msg, older)
	case SyncPush:
		m.onSyncPush(now, from, fromAddr, older)
	}
}

// mergeAll takes in the entries of a message and returns those that the
// sender holds older than this daemon.
func (m *Membership) mergeAll(now time.Time, from entity.InstanceID, msg Message) corrections {
	var older corrections
	for _, u := range msg.Updates {
		if !m.merge(now, from, u) {
			older.members = append(older.members, u.ID)
		}
	}
	for _, r := range msg.News {
		if !m.mergeNews(now, from, r) {
			older.news = append(older.news, newsKey{r.Topic, r.Key})
		}
	}
	return older
}

// Tick does what is due. It may be called at any time.
func (m *Membership) Tick(now time.Time) {
	m.notePause(now)
	if !m.started {
		m.start(now)
	}
	m.noteContact(now)
	m.joinDue(now)
	m.probeDue(now)
	m.suspicionsDue(now)
	m.rejoinDue(now)
	m.leaveDue(now)
	m.sweepDue(now)
	m.passOn(now)
}

// start spreads the first probes, and attempts to rejoin, of daemons that
// start together.
func (m *Membership) start(now time.Time) {
	m.started = true
	m.prober.nextAt = now.Add(time.Duration(m.cfg.Rand.Int64N(int64(m.cfg.ProbeInterval))))
	m.nextRejoin = now.Add(time.Duration(m.cfg.Rand.Int64N(int64(m.cfg.RejoinInterval))))
	m.nextSweep = now.Add(sweepInterval)
	m.lastContact = now
}

// Deadline returns when Tick is next due. Before the first Tick, that is a
// time long past.
func (m *Membership) Deadline() time.Time {
	if !m.started {
		return time.Unix(0, 0)
	}
	due := m.prober.nextAt
	sooner := func(t time.Time) {
		if !t.IsZero() && t.Before(due) {
			due = t
		}
	}
	for _, p := range m.prober.probes {
		sooner(p.dueAt(&m.cfg))
	}
	for _, r := range m.suspects {
		sooner(r.suspectedAt.Add(m.suspicionTimeout()))
	}
	sooner(m.gossip.dueAt)
	if m.others() == 0 && len(m.seeds) > 0 {
		sooner(m.syncer.joinAt)
	}
	if len(m.leaveAgain) > 0 {
		sooner(m.leaveAgain[0])
	}
	return due
}

// dueAt returns when the probe is to be repeated or given up.
func (p *probe) dueAt(cfg *Config) time.Time {
	if p.stage < directTries {
		return p.sentAt.Add(time.Duration(p.stage) * cfg.ProbeRetry)
	}
	return p.sentAt.Add(cfg.ProbeTimeout)
}

// pauseFactor: a run that comes this many probe timeouts after the last one
// shows that the process did not run, since probes are more frequent.
const pauseFactor = 1

// notePause makes a pause of this process count as no time: what others did
// meanwhile is unknown, so probes start anew and suspicions last longer.
func (m *Membership) notePause(now time.Time) {
	gap := now.Sub(m.lastRun)
	paused := m.started && gap > pauseFactor*m.cfg.ProbeTimeout
	m.lastRun = now
	if !paused {
		return
	}
	m.emit(now, event.PauseNoticed, "", gap.String())
	m.prober.probes, m.prober.relays = nil, nil
	for _, r := range m.suspects {
		r.suspectedAt = r.suspectedAt.Add(gap)
	}
}

// cutOffTimeouts is the number of probe timeouts without any answer after
// which this daemon takes itself for cut off.
const cutOffTimeouts = 2

func (m *Membership) noteContact(now time.Time) {
	if m.alone() {
		m.lastContact = now
		return
	}
	if m.cutOff || now.Sub(m.lastContact) < cutOffTimeouts*m.cfg.ProbeTimeout {
		return
	}
	m.cutOff = true
	m.emit(now, event.PeersLost, "", "")
}

// alone says whether there is nobody who should answer.
func (m *Membership) alone() bool {
	if m.others() > 0 || len(m.seeds) > 0 {
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
	leaveRepeats  = 3
	leaveInterval = 500 * time.Millisecond
	leaveExtra    = 4 // random members told beside the neighbours
)

// Leave says that this daemon will stop. It tells several members at once and
// again a few times; until it stops, it answers as before.
func (m *Membership) Leave(now time.Time) {
	if m.self.leaving {
		return
	}
	m.digest.toggle(m.self)
	m.self.leaving = true
	m.self.Incarnation++
	m.digest.toggle(m.self)
	m.setState(now, m.self, Alive)
	m.gossip.add(now, m.cfg.GossipInterval, memberItem(m.self.ID, ""))
	m.tellLeaving()
	for i := range leaveRepeats {
		m.leaveAgain = append(m.leaveAgain, now.Add(time.Duration(i+1)*leaveInterval))
	}
}

func (m *Membership) leaveDue(now time.Time) {
	for len(m.leaveAgain) > 0 && !now.Before(m.leaveAgain[0]) {
		m.leaveAgain = m.leaveAgain[1:]
		m.tellLeaving()
	}
}

func (m *Membership) tellLeaving() {
	told := append([]*row(nil), m.overlay.neighbours()...)
	for range leaveExtra {
		r := m.randomPeer(func(r *row) bool { return !r.leaving && !holds(told, r) })
		if r != nil {
			told = append(told, r)
		}
	}
	for _, r := range told {
		m.send(r.ID, r.Addr, Message{Kind: Gossip, Updates: []Update{m.self.update(false)}})
	}
}

const sweepInterval = 5 * time.Second

// sweepDue forgets old tombstones and drops old news.
func (m *Membership) sweepDue(now time.Time) {
	if now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = now.Add(sweepInterval)
	for len(m.dead) > 0 && now.Sub(m.dead[0].diedAt) >= m.cfg.DeadRetention {
		m.bury(m.dead[0])
	}
	m.sweepNews(now)
}
