package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const targetLoss = 0.05 // of messages, as in the target for configuration

func TestMembership_LossRaisesNoFalseDeath(t *testing.T) {
	f := joined(t, 100, 3)
	f.loss = targetLoss
	f.run(5 * time.Minute)
	if dead := f.changesTo(Dead); dead != 0 {
		t.Fatalf("%d live members were held dead", dead)
	}
	t.Logf("%d suspicions seen", f.changesTo(Suspect))
}

// Two data centres lose each other while a third reaches both: probes go
// round, and nobody is suspected.
func TestMembership_PartlyCutIsNoDeath(t *testing.T) {
	f := joined(t, 30, 11)
	a, b := placeOf(0, 30).DataCentre, placeOf(1, 30).DataCentre
	f.cut = func(x, y *node) bool {
		p, q := x.place.DataCentre, y.place.DataCentre
		return (p == a && q == b) || (p == b && q == a)
	}
	f.run(time.Minute)
	if n := f.changesTo(Suspect); n != 0 {
		t.Fatalf("%d suspicions", n)
	}
}

// A member that was frozen is held dead; woken, it learns of that, refutes it
// and suspects nobody for its own pause.
func TestMembership_FrozenMemberRefutes(t *testing.T) {
	f := joined(t, 100, 4)
	frozen := f.nodes[42]
	f.freeze(frozen)
	f.run(60 * time.Second)
	for _, n := range f.nodes {
		if n != frozen && n.d.holdsAlive(frozen.id) {
			t.Fatalf("%s still holds the frozen member alive", n.id)
		}
	}
	f.forgetChanges()
	f.thaw(frozen)
	took, ok := f.runUntil(30*time.Second, f.complete)
	if !ok {
		t.Fatal("the woken member is not back")
	}
	t.Logf("back everywhere after %v", took)
	f.run(30 * time.Second)
	if n := f.changesTo(Dead) + f.changesTo(Suspect); n != 0 {
		t.Fatalf("%d members suspected or held dead after the pause", n)
	}
}

// Three quarters leave at once: survivors hold the leavers dead after they
// have stopped. They never suspect each other; where messages are lost, a
// suspicion may come from that, but no death.
func TestMembership_ThreeQuartersLeave(t *testing.T) {
	for _, c := range []struct {
		loss     float64
		unwanted State
	}{{0, Suspect}, {targetLoss, Dead}} {
		t.Run(fmt.Sprint("loss=", c.loss), func(t *testing.T) { threeQuartersLeave(t, c.loss, c.unwanted) })
	}
}

func threeQuartersLeave(t *testing.T, loss float64, unwanted State) {
	f := joined(t, 100, 5)
	f.loss = loss
	survivor := func(i int) bool { return i%4 == 0 }
	for i, m := range f.members {
		if !survivor(i) {
			m.Leave(f.now)
			f.after(f.nodes[i])
		}
	}
	f.run(3 * time.Second)
	for i, m := range f.members {
		if survivor(i) {
			wantLeaving(t, m, 75)
		}
	}
	for i, n := range f.nodes {
		n.crashed = !survivor(i)
	}
	took, ok := f.runUntil(time.Minute, f.complete)
	if !ok {
		t.Fatal("survivors still hold stopped members alive")
	}
	t.Logf("all survivors agree %v after the stop", took)
	for i, m := range f.members {
		if survivor(i) {
			wantNone(t, m, unwanted, func(id entity.InstanceID) bool { return !f.byID[id].crashed })
		}
	}
}

func wantLeaving(t *testing.T, m *memberNode, want int) {
	t.Helper()
	leaving := 0
	for _, x := range m.Members() {
		if x.State == Leaving {
			leaving++
		}
	}
	if leaving != want {
		t.Fatalf("%s knows of %d leaving, want %d", m.self.ID, leaving, want)
	}
}

// wantNone fails if a member has held any of some members in a state.
func wantNone(t *testing.T, m *memberNode, state State, some func(entity.InstanceID) bool) {
	t.Helper()
	for _, c := range m.changes {
		if some(c.Member.ID) && c.Member.State == state {
			t.Fatalf("%s held the live %s %v", m.self.ID, c.Member.ID, state)
		}
	}
}

// Leave tells several members at once, without a tick, and repeats it.
func TestMembership_LeaveIsToldAtOnce(t *testing.T) {
	f := joined(t, 100, 10)
	m := f.members[7]
	m.Leave(f.now)
	if told := leavingTold(m); told < leaveExtra {
		t.Fatalf("%d members told at once", told)
	}
	now := f.now
	for i := range leaveRepeats {
		now = now.Add(leaveInterval)
		m.Tick(now)
		if told := leavingTold(m); told < leaveExtra {
			t.Fatalf("%d members told at repeat %d", told, i)
		}
	}
}

// leavingTold counts the members that are sent m's own leaving.
func leavingTold(m *memberNode) int {
	told := make(map[entity.InstanceID]bool)
	for _, e := range m.Ready().Send {
		for _, u := range e.Message.Updates {
			if u.ID == m.self.ID && u.Leaving {
				told[e.To] = true
			}
		}
	}
	return len(told)
}

// A data centre's worth and more dies without a word.
func TestMembership_ThreeQuartersCrash(t *testing.T) {
	f := joined(t, 100, 6)
	for i, n := range f.nodes {
		n.crashed = i%4 != 0
	}
	took, ok := f.runUntil(2*time.Minute, f.complete)
	if !ok {
		t.Fatal("survivors still hold crashed members alive")
	}
	t.Logf("all survivors agree after %v", took)
	for i, m := range f.members {
		if i%4 == 0 {
			wantNone(t, m, Dead, func(id entity.InstanceID) bool { return !f.byID[id].crashed })
		}
	}
}

// Regions lose each other for an hour; both sides go on and find each other
// again, without holding any of their own side dead.
func TestMembership_RegionsSplitAndHeal(t *testing.T) {
	for _, n := range []int{14, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := joined(t, n, 7)
			f.cut = func(a, b *node) bool { return a.place.Region != b.place.Region }
			f.run(time.Hour)
			for _, x := range f.nodes {
				for _, y := range f.nodes {
					if x != y && x.d.holdsAlive(y.id) == f.cut(x, y) {
						t.Fatalf("during the split, %s holds %s alive: %v", x.id, y.id, !f.cut(x, y))
					}
				}
			}
			f.forgetChanges()
			f.cut = nil
			took, ok := f.runUntil(2*time.Minute, f.complete)
			if !ok {
				t.Fatal("the regions have not found each other again")
			}
			t.Logf("whole again after %v", took)
			f.run(time.Minute)
			if dead := f.changesTo(Dead); dead != 0 {
				t.Fatalf("%d members held dead after the split", dead)
			}
		})
	}
}

// At the size of the target and with messages lost, the wave of suspicions
// that healing brings is refuted in time.
func TestMembership_HealingOutrunsSuspicion(t *testing.T) {
	f := joined(t, fleetSize, 12)
	f.cut = func(a, b *node) bool { return a.place.Region != b.place.Region }
	f.run(time.Minute)
	f.forgetChanges()
	f.cut = nil
	f.loss = targetLoss
	took, ok := f.runUntil(time.Minute, f.complete)
	if !ok {
		t.Fatal("the regions have not found each other again")
	}
	t.Logf("whole again after %v", took)
	f.run(10 * time.Second)
	if dead := f.changesTo(Dead); dead != 0 {
		t.Fatalf("%d members held dead after the split", dead)
	}
}

// A pause that ends before anyone was held dead: the woken daemon's timers
// fire before it has read what arrived, and yet it suspects nobody and holds
// no suspect dead.
func TestMembership_ShortPauseRaisesNoDoubt(t *testing.T) {
	m := New(Config{Self: memberOf(0, 9)})
	now := idle(m, epoch, time.Second)
	suspect, live := memberOf(1, 9), memberOf(2, 9)
	for _, x := range []Member{suspect, live} {
		m.Step(now, x.ID, x.Addr, Message{Kind: Gossip, Updates: []Update{{
			ID: x.ID, Detail: &Detail{Addr: x.Addr, Place: x.Place}, Suspected: x.ID == suspect.ID,
		}}})
	}
	now = now.Add(m.cfg.ProbeInterval)
	m.Tick(now)
	if len(m.prober.probes) == 0 {
		t.Fatal("no probe is on its way")
	}
	m.Ready()
	m.Tick(now.Add(m.cfg.SuspicionTimeout))
	if got := m.Ready().Changes; len(got) != 0 {
		t.Fatalf("after the pause: %v", got)
	}
}

// One daemon alone is cut off: on its return, it does not make others doubt
// each other.
func TestMembership_CutOffDaemonComesBackQuietly(t *testing.T) {
	for _, lasts := range []time.Duration{10 * time.Second, 10 * time.Minute} {
		t.Run(lasts.String(), func(t *testing.T) {
			f := joined(t, 100, 8)
			alone := f.nodes[5]
			f.cut = func(a, b *node) bool { return a == alone || b == alone }
			f.run(lasts)
			f.forgetChanges()
			f.cut = nil
			if _, ok := f.runUntil(time.Minute, f.complete); !ok {
				t.Fatal("the daemon is not back")
			}
			f.run(30 * time.Second)
			for i, m := range f.members {
				if f.nodes[i] == alone {
					continue
				}
				for _, c := range m.changes {
					if c.Member.ID != alone.id {
						t.Fatalf("%s: %s is %v", m.self.ID, c.Member.ID, c.Member.State)
					}
				}
			}
		})
	}
}

func TestMembership_RestartedDaemonIsANewOne(t *testing.T) {
	f := joined(t, 9, 9)
	f.nodes[3].crashed = true
	self := memberOf(3, 9)
	self.ID += "b"
	m := &memberNode{Membership: New(Config{Self: self, Seeds: []string{memberOf(0, 9).Addr}})}
	f.members = append(f.members, m)
	f.add(self, m)
	if _, ok := f.runUntil(30*time.Second, f.complete); !ok {
		t.Fatal("the restarted daemon has not replaced the former one")
	}
}

func TestMembership_LastContact(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	alone := New(Config{Self: memberOf(0, 9)})
	seeded := New(Config{Self: memberOf(0, 9), Seeds: []string{memberOf(1, 9).Addr}})
	for range 100 {
		now = now.Add(time.Second)
		alone.Tick(now)
		seeded.Tick(now)
	}
	if !alone.LastContact().Equal(now) {
		t.Error("a daemon that is alone is its own contact")
	}
	if now.Sub(seeded.LastContact()) < 90*time.Second {
		t.Error("a seed that does not answer counts as a contact")
	}
}

// Repeated and outdated messages change nothing.
func TestMembership_StaleMessagesAreHarmless(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := New(Config{Self: memberOf(0, 9)})
	m.Tick(now)
	peer := memberOf(1, 9)
	old := Message{Kind: Gossip, Updates: []Update{{
		ID: peer.ID, Suspected: true, Detail: &Detail{Addr: peer.Addr, Place: peer.Place},
	}}}
	m.Step(now, peer.ID, peer.Addr, Message{Kind: Gossip, Incarnation: 1, Updates: []Update{{
		ID: peer.ID, Incarnation: 1, Detail: &Detail{Addr: peer.Addr, Place: peer.Place},
	}}})
	m.Ready()
	for range 3 {
		m.Step(now, memberOf(2, 9).ID, memberOf(2, 9).Addr, old)
		m.Step(now, peer.ID, peer.Addr, Message{Kind: Ack, Sequence: 12345})
		m.Step(now, peer.ID, peer.Addr, Message{Kind: IndirectAck, Sequence: 1, Target: Target{ID: peer.ID}})
	}
	if got := m.Ready(); len(got.Changes) != 0 || len(got.Send) != 0 {
		t.Fatalf("changes %v, sent %v", got.Changes, got.Send)
	}
	if got, _ := m.Get(peer.ID); got.State != Alive || got.Incarnation != 1 {
		t.Fatalf("got %v", got)
	}
}
