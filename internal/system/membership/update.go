package membership

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// mergeUpdate merges a peer's view of a member. It returns false if this daemon
// has a newer one, which should be sent to the peer.
func (m *Membership) mergeUpdate(now time.Time, from entity.InstanceID, u Update) bool {
	if !u.valid() {
		return true
	}
	if u.ID == m.self.ID {
		m.mergeSelf(now, u)
		return true
	}
	r := m.rows.Get(u.ID)
	if r == nil {
		m.addMember(now, from, u)
		return true
	}
	switch {
	case u.Incarnation > r.Incarnation:
		m.adoptIncarnation(now, from, r, u)
		return true
	case u.Incarnation < r.Incarnation:
		return false
	case r.State == Dead || r.suspected:
		// While this daemon is cut off, a suspicion that it raised itself does
		// not count as newer.
		return u.Suspected || (m.cutOff && r.suspectedLocally)
	case u.Suspected:
		m.suspect(now, from, r)
	}
	return true
}

// outgoingUpdate returns the update of a member that is sent to peers. While
// this daemon is cut off, suspicions that it raised itself are left out.
func (m *Membership) outgoingUpdate(r *row, withDetail bool) Update {
	u := r.update(withDetail)
	if m.cutOff && r.suspectedLocally {
		u.Suspected = false
	}
	return u
}

// mergeSelf refutes a peer's suspicion of this daemon by raising this daemon's
// incarnation above the peer's. It also does so if the peer knows a higher
// incarnation.
func (m *Membership) mergeSelf(now time.Time, u Update) {
	if u.Incarnation < m.self.Incarnation || (u.Incarnation == m.self.Incarnation && !u.Suspected) {
		return
	}
	if u.Incarnation >= maxIncarnation-1 {
		return
	}
	m.digest.xorMember(m.self)
	m.self.Incarnation = u.Incarnation + 1
	m.digest.xorMember(m.self)
	m.sortedStale = true
	m.gossip.add(now, m.cfg.GossipInterval, memberItem(m.self.ID, ""))
	m.emit(now, event.SelfRefuted, "", "")
}

// addMember adds a member that was unknown. An update without Detail is
// ignored.
func (m *Membership) addMember(now time.Time, from entity.InstanceID, u Update) {
	if u.Detail == nil || m.rows.Len() >= maxMembers {
		return
	}
	r := &row{Member: Member{
		ID: u.ID, Addr: u.Detail.Addr, CallerAddr: u.Detail.CallerAddr, AdminAddr: u.Detail.AdminAddr,
		Location: u.Detail.Location, Incarnation: u.Incarnation,
	}}
	m.rows.Put(r.ID, r)
	r.leaving = u.Leaving
	m.markLive(now, from, r, event.MemberJoined)
	if u.Suspected {
		m.suspect(now, from, r)
	}
}

// adoptIncarnation applies an update with a higher incarnation to a known
// member.
func (m *Membership) adoptIncarnation(now time.Time, from entity.InstanceID, r *row, u Update) {
	if r.State == Dead {
		m.removeFromDead(r)
		r.Incarnation, r.leaving, r.suspected = u.Incarnation, u.Leaving, false
		m.markLive(now, from, r, event.MemberReturned)
	} else {
		old := r.State
		m.digest.xorMember(r)
		m.clearSuspicion(r)
		r.Incarnation, r.leaving = u.Incarnation, u.Leaving
		m.digest.xorMember(r)
		m.updateState(now, r, old)
		m.gossip.add(now, m.cfg.GossipInterval, memberItem(r.ID, from))
	}
	if u.Suspected {
		m.suspect(now, from, r)
	}
}

// markLive adds a new row, or one just removed from the dead, to the live
// members.
func (m *Membership) markLive(now time.Time, from entity.InstanceID, r *row, n event.Number) {
	old := r.State
	m.digest.xorMember(r)
	m.overlay.insert(r)
	m.updateState(now, r, old)
	item := memberItem(r.ID, from)
	item.withDetail = true
	m.gossip.add(now, m.cfg.GossipInterval, item)
	m.emit(now, n, r.ID, "")
}

// updateState derives the state of a row from its flags and reports it if it
// differs from old.
func (m *Membership) updateState(now time.Time, r *row, old State) {
	r.refreshState()
	m.sortedStale = true
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

// suspect marks a member suspected and starts this daemon's timer for the
// suspicion, whoever raised it.
func (m *Membership) suspect(now time.Time, from entity.InstanceID, r *row) {
	if r.suspected || r.State == Dead {
		return
	}
	old := r.State
	m.digest.xorMember(r)
	r.suspected, r.suspectedAt, r.suspectedLocally = true, now, from == m.self.ID
	m.digest.xorMember(r)
	m.suspects = append(m.suspects, r)
	m.overlay.rowChanged()
	m.updateState(now, r, old)
	if !m.cutOff || !r.suspectedLocally {
		m.gossip.add(now, m.cfg.GossipInterval, memberItem(r.ID, from))
	}
}

// clearSuspicion clears the flags of a suspicion; the caller reports the new
// state.
func (m *Membership) clearSuspicion(r *row) {
	if !r.suspected {
		return
	}
	r.suspected, r.suspectedLocally = false, false
	m.suspects = removeRow(m.suspects, r)
	m.overlay.rowChanged()
}

// markDead marks a suspect dead. Its row is retained as a tombstone: only an
// update with a higher incarnation makes the member count as alive again.
func (m *Membership) markDead(now time.Time, r *row) {
	old := r.State
	m.digest.xorMember(r)
	m.suspects = removeRow(m.suspects, r)
	m.overlay.remove(r)
	r.State, r.diedAt = Dead, now
	m.dead = append(m.dead, r)
	m.sortedStale = true
	m.ready.Changes = append(m.ready.Changes, Change{Member: r.Member, Old: old})
	m.emit(now, event.MemberDied, r.ID, "")
	if len(m.dead) > maxDeadMembers {
		m.forgetMember(m.dead[0])
	}
}

// forgetMember removes a dead member's row.
func (m *Membership) forgetMember(r *row) {
	m.removeFromDead(r)
	m.rows.Delete(r.ID)
}

func (m *Membership) removeFromDead(r *row) { m.dead = removeRow(m.dead, r) }

func removeRow(rows []*row, r *row) []*row {
	for i := range rows {
		if rows[i] == r {
			return append(rows[:i], rows[i+1:]...)
		}
	}
	return rows
}
