package membership

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// merge takes in what a peer holds of a member. It returns false if this
// daemon holds something newer, which the peer should hear.
func (m *Membership) merge(now time.Time, from entity.InstanceID, u Update) bool {
	if !u.valid() {
		return true
	}
	if u.ID == m.self.ID {
		m.mergeSelf(now, u)
		return true
	}
	r := m.rows.Get(u.ID)
	if r == nil {
		m.meet(now, from, u)
		return true
	}
	switch {
	case u.Incarnation > r.Incarnation:
		m.adopt(now, from, r, u)
		return true
	case u.Incarnation < r.Incarnation:
		return false
	case r.State == Dead || r.suspected:
		// Own doubts count for nothing while this daemon is cut off.
		return u.Suspected || (m.cutOff && r.bySelf)
	case u.Suspected:
		m.suspect(now, from, r)
	}
	return true
}

// updateOf returns what this daemon tells others of a member. While it takes
// itself for cut off, it keeps its own suspicions to itself.
func (m *Membership) updateOf(r *row, full bool) Update {
	u := r.update(full)
	if m.cutOff && r.bySelf {
		u.Suspected = false
	}
	return u
}

// mergeSelf refutes what a peer holds against this daemon.
func (m *Membership) mergeSelf(now time.Time, u Update) {
	if u.Incarnation < m.self.Incarnation || (u.Incarnation == m.self.Incarnation && !u.Suspected) {
		return
	}
	if u.Incarnation >= maxIncarnation-1 {
		return
	}
	m.digest.toggle(m.self)
	m.self.Incarnation = u.Incarnation + 1
	m.digest.toggle(m.self)
	m.stale = true
	m.gossip.add(now, m.cfg.GossipInterval, memberItem(m.self.ID, ""))
	m.emit(now, event.SelfRefuted, "", "")
}

// meet adds a member that was not known. Without its details there is
// nothing to add.
func (m *Membership) meet(now time.Time, from entity.InstanceID, u Update) {
	if u.Detail == nil || m.rows.Len() >= maxMembers {
		return
	}
	r := &row{Member: Member{
		ID: u.ID, Addr: u.Detail.Addr, CallerAddr: u.Detail.CallerAddr, AdminAddr: u.Detail.AdminAddr,
		Place: u.Detail.Place, Incarnation: u.Incarnation,
	}}
	m.rows.Put(r.ID, r)
	r.leaving = u.Leaving
	m.revive(now, from, r, event.MemberJoined)
	if u.Suspected {
		m.suspect(now, from, r)
	}
}

// adopt takes over a newer incarnation of a known member.
func (m *Membership) adopt(now time.Time, from entity.InstanceID, r *row, u Update) {
	if r.State == Dead {
		m.forgetDeath(r)
		r.Incarnation, r.leaving, r.suspected = u.Incarnation, u.Leaving, false
		m.revive(now, from, r, event.MemberReturned)
	} else {
		old := r.State
		m.digest.toggle(r)
		m.endSuspicion(r)
		r.Incarnation, r.leaving = u.Incarnation, u.Leaving
		m.digest.toggle(r)
		m.setState(now, r, old)
		m.gossip.add(now, m.cfg.GossipInterval, memberItem(r.ID, from))
	}
	if u.Suspected {
		m.suspect(now, from, r)
	}
}

// revive puts a row that is in no list among the living.
func (m *Membership) revive(now time.Time, from entity.InstanceID, r *row, n event.Number) {
	old := r.State
	m.digest.toggle(r)
	m.overlay.insert(r)
	m.setState(now, r, old)
	item := memberItem(r.ID, from)
	item.full = true
	m.gossip.add(now, m.cfg.GossipInterval, item)
	m.emit(now, n, r.ID, "")
}

// setState derives the state anew and reports it if it has changed.
func (m *Membership) setState(now time.Time, r *row, old State) {
	r.refreshState()
	m.stale = true
	if r.State == old {
		return
	}
	m.ready.Changes = append(m.ready.Changes, Change{Member: r.Member, Old: old})
	switch {
	case r.State == Leaving:
		m.emit(now, event.MemberLeaving, r.ID, "")
	case r.State == Suspect:
		m.emit(now, event.MemberSuspected, r.ID, "")
	case old == Suspect:
		m.emit(now, event.MemberCleared, r.ID, "")
	}
}

// suspect starts this daemon's own timer for a suspicion, whoever raised it.
func (m *Membership) suspect(now time.Time, from entity.InstanceID, r *row) {
	if r.suspected || r.State == Dead {
		return
	}
	old := r.State
	m.digest.toggle(r)
	r.suspected, r.suspectedAt, r.bySelf = true, now, from == m.self.ID
	m.digest.toggle(r)
	m.suspects = append(m.suspects, r)
	m.overlay.touched()
	m.setState(now, r, old)
	if !m.cutOff || !r.bySelf {
		m.gossip.add(now, m.cfg.GossipInterval, memberItem(r.ID, from))
	}
}

// endSuspicion clears the flags; the caller reports the state.
func (m *Membership) endSuspicion(r *row) {
	if !r.suspected {
		return
	}
	r.suspected, r.bySelf = false, false
	m.suspects = without(m.suspects, r)
	m.overlay.touched()
}

// die holds a suspect dead. The row stays as a tombstone: its incarnation
// must be exceeded before the member counts as alive again.
func (m *Membership) die(now time.Time, r *row) {
	old := r.State
	m.digest.toggle(r)
	m.suspects = without(m.suspects, r)
	m.overlay.remove(r)
	r.State, r.diedAt = Dead, now
	m.dead = append(m.dead, r)
	m.stale = true
	m.ready.Changes = append(m.ready.Changes, Change{Member: r.Member, Old: old})
	m.emit(now, event.MemberDied, r.ID, "")
	if len(m.dead) > maxDead {
		m.bury(m.dead[0])
	}
}

// bury forgets a tombstone.
func (m *Membership) bury(r *row) {
	m.forgetDeath(r)
	m.rows.Delete(r.ID)
}

func (m *Membership) forgetDeath(r *row) { m.dead = without(m.dead, r) }

func without(rows []*row, r *row) []*row {
	for i := range rows {
		if rows[i] == r {
			return append(rows[:i], rows[i+1:]...)
		}
	}
	return rows
}
