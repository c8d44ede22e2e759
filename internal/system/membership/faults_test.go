package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const targetLossRatio = 0.05 // ratio of lost messages, as in the design target for spreading the configuration

func TestMembership_LossRaisesNoFalseDeath(t *testing.T) {
	f := newJoinedFleet(t, 100, 3)
	f.loss = targetLossRatio
	f.runFor(5 * time.Minute)
	if dead := f.changesTo(Dead); dead != 0 {
		t.Fatalf("live members were marked dead %d times, want 0", dead)
	}
	t.Logf("%d suspicions reported", f.changesTo(Suspect))
}

// Two data centres lose their connection while a third reaches both: indirect
// probes are routed through the third one, and nobody is suspected.
func TestMembership_PartlyCutIsNoDeath(t *testing.T) {
	f := newJoinedFleet(t, 30, 11)
	a, b := locationOf(0, 30).DataCentre, locationOf(1, 30).DataCentre
	f.cut = func(x, y *node) bool {
		p, q := x.location.DataCentre, y.location.DataCentre
		return (p == a && q == b) || (p == b && q == a)
	}
	f.runFor(time.Minute)
	if n := f.changesTo(Suspect); n != 0 {
		t.Fatalf("%d suspicions reported, want 0", n)
	}
}

// A frozen member is marked dead. When it runs again, it is notified of that,
// refutes it and does not suspect its peers because of its own pause.
func TestMembership_FrozenMemberRefutes(t *testing.T) {
	f := newJoinedFleet(t, 100, 4)
	frozen := f.nodes[42]
	f.freeze(frozen)
	f.runFor(60 * time.Second)
	for _, n := range f.nodes {
		if n != frozen && n.detector.considersAlive(frozen.id) {
			t.Fatalf("%s still considers the frozen member alive", n.id)
		}
	}
	f.resetChanges()
	f.thaw(frozen)
	took, ok := f.runUntil(30*time.Second, f.converged)
	if !ok {
		t.Fatal("the thawed member is not known to all members again")
	}
	t.Logf("known to all members again after %v", took)
	f.runFor(30 * time.Second)
	if n := f.changesTo(Dead) + f.changesTo(Suspect); n != 0 {
		t.Fatalf("members suspected or marked dead %d times after the pause, want 0", n)
	}
}

// Three quarters of the fleet leave at once: the survivors mark them dead after
// they have stopped. Survivors never suspect each other without message loss;
// with message loss they may, but they never mark each other dead.
func TestMembership_ThreeQuartersLeave(t *testing.T) {
	for _, c := range []struct {
		loss      float64
		forbidden State
	}{{0, Suspect}, {targetLossRatio, Dead}} {
		t.Run(fmt.Sprint("loss=", c.loss), func(t *testing.T) { threeQuartersLeave(t, c.loss, c.forbidden) })
	}
}

func threeQuartersLeave(t *testing.T, loss float64, forbidden State) {
	f := newJoinedFleet(t, 100, 5)
	f.loss = loss
	isSurvivor := func(i int) bool { return i%4 == 0 }
	for i, m := range f.members {
		if !isSurvivor(i) {
			m.Leave(f.now)
			f.processOutput(f.nodes[i])
		}
	}
	f.runFor(3 * time.Second)
	for i, m := range f.members {
		if isSurvivor(i) {
			checkLeavingCount(t, m, 75)
		}
	}
	for i, n := range f.nodes {
		n.crashed = !isSurvivor(i)
	}
	took, ok := f.runUntil(time.Minute, f.converged)
	if !ok {
		t.Fatal("survivors still consider stopped members alive")
	}
	t.Logf("all survivors have marked them dead %v after the stop", took)
	for i, m := range f.members {
		if isSurvivor(i) {
			checkNeverInState(t, m, forbidden, func(id entity.InstanceID) bool { return !f.byID[id].crashed })
		}
	}
}

func checkLeavingCount(t *testing.T, m *memberNode, want int) {
	t.Helper()
	leaving := 0
	for _, x := range m.Members() {
		if x.State == Leaving {
			leaving++
		}
	}
	if leaving != want {
		t.Fatalf("%s knows of %d leaving members, want %d", m.self.ID, leaving, want)
	}
}

// checkNeverInState fails the test if a member has seen any of the selected
// members in a state.
func checkNeverInState(t *testing.T, m *memberNode, state State, selected func(entity.InstanceID) bool) {
	t.Helper()
	for _, c := range m.changes {
		if selected(c.Member.ID) && c.Member.State == state {
			t.Fatalf("%s reported the running member %s as %v", m.self.ID, c.Member.ID, state)
		}
	}
}

// Leave sends the notification to several members immediately, without a Tick,
// and repeats it.
func TestMembership_LeaveIsSentAtOnce(t *testing.T) {
	f := newJoinedFleet(t, 100, 10)
	m := f.members[7]
	m.Leave(f.now)
	if recipients := leavingRecipients(m); recipients < leaveExtraRecipients {
		t.Fatalf("%d members notified immediately, want at least leaveExtraRecipients", recipients)
	}
	now := f.now
	for i := range leaveRepeats {
		now = now.Add(leaveRepeatInterval)
		m.Tick(now)
		if recipients := leavingRecipients(m); recipients < leaveExtraRecipients {
			t.Fatalf("%d members notified at repetition %d, want at least leaveExtraRecipients", recipients, i)
		}
	}
}

// leavingRecipients counts the members to which m sends the update that it
// leaves.
func leavingRecipients(m *memberNode) int {
	recipients := make(map[entity.InstanceID]bool)
	for _, e := range m.Ready().Send {
		for _, u := range e.Message.Updates {
			if u.ID == m.self.ID && u.Leaving {
				recipients[e.To] = true
			}
		}
	}
	return len(recipients)
}

// Three quarters of the fleet, more than one data centre, crash without
// announcing that they leave.
func TestMembership_ThreeQuartersCrash(t *testing.T) {
	f := newJoinedFleet(t, 100, 6)
	for i, n := range f.nodes {
		n.crashed = i%4 != 0
	}
	took, ok := f.runUntil(2*time.Minute, f.converged)
	if !ok {
		t.Fatal("survivors still consider crashed members alive")
	}
	t.Logf("all survivors have marked them dead after %v", took)
	for i, m := range f.members {
		if i%4 == 0 {
			checkNeverInState(t, m, Dead, func(id entity.InstanceID) bool { return !f.byID[id].crashed })
		}
	}
}

// Regions lose their connection for an hour. Both sides continue and find each
// other again afterwards, and no member is marked dead by its own side.
func TestMembership_RegionsSplitAndHeal(t *testing.T) {
	for _, n := range []int{14, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newJoinedFleet(t, n, 7)
			f.cut = func(a, b *node) bool { return a.location.Region != b.location.Region }
			f.runFor(time.Hour)
			for _, x := range f.nodes {
				for _, y := range f.nodes {
					if x != y && x.detector.considersAlive(y.id) == f.cut(x, y) {
						t.Fatalf("during the split, %s considers %s alive: %v", x.id, y.id, !f.cut(x, y))
					}
				}
			}
			f.resetChanges()
			f.cut = nil
			took, ok := f.runUntil(2*time.Minute, f.converged)
			if !ok {
				t.Fatal("the regions have not found each other again")
			}
			t.Logf("all members known again after %v", took)
			f.runFor(time.Minute)
			if dead := f.changesTo(Dead); dead != 0 {
				t.Fatalf("members marked dead %d times after the split, want 0", dead)
			}
		})
	}
}

// At the target fleet size and with messages lost, the many suspicions that
// spread when a network partition heals are refuted in time.
func TestMembership_HealingRefutesSuspicionsInTime(t *testing.T) {
	f := newJoinedFleet(t, fleetSize, 12)
	f.cut = func(a, b *node) bool { return a.location.Region != b.location.Region }
	f.runFor(time.Minute)
	f.resetChanges()
	f.cut = nil
	f.loss = targetLossRatio
	took, ok := f.runUntil(time.Minute, f.converged)
	if !ok {
		t.Fatal("the regions have not found each other again")
	}
	t.Logf("all members known again after %v", took)
	f.runFor(10 * time.Second)
	if dead := f.changesTo(Dead); dead != 0 {
		t.Fatalf("members marked dead %d times after the split, want 0", dead)
	}
}

// This process pauses for a suspicion timeout, too short for its peers to mark
// it dead. Its timers then fire before it has read the messages that arrived
// meanwhile. It must not suspect anybody or mark a suspect dead because of
// that.
func TestMembership_ShortPauseRaisesNoSuspicion(t *testing.T) {
	m := New(Config{Self: memberOf(0, 9)})
	now := runIdle(m, epoch, time.Second)
	suspect, live := memberOf(1, 9), memberOf(2, 9)
	for _, x := range []Member{suspect, live} {
		m.Step(now, x.ID, x.Addr, Message{Kind: Gossip, Updates: []Update{{
			ID: x.ID, Detail: &Detail{Addr: x.Addr, Location: x.Location}, Suspected: x.ID == suspect.ID,
		}}})
	}
	now = now.Add(m.cfg.ProbeInterval)
	m.Tick(now)
	if len(m.prober.probes) == 0 {
		t.Fatal("no probe is waiting for an answer")
	}
	m.Ready()
	m.Tick(now.Add(m.cfg.SuspicionTimeout))
	if got := m.Ready().Changes; len(got) != 0 {
		t.Fatalf("state changes after the pause: %v, want none", got)
	}
}

// One daemon is cut off from all peers. When it is back, it does not make its
// peers suspect each other.
func TestMembership_CutOffDaemonRaisesNoSuspicionOnReturn(t *testing.T) {
	for _, duration := range []time.Duration{10 * time.Second, 10 * time.Minute} {
		t.Run(duration.String(), func(t *testing.T) {
			f := newJoinedFleet(t, 100, 8)
			isolated := f.nodes[5]
			f.cut = func(a, b *node) bool { return a == isolated || b == isolated }
			f.runFor(duration)
			f.resetChanges()
			f.cut = nil
			if _, ok := f.runUntil(time.Minute, f.converged); !ok {
				t.Fatal("not all members know each other again")
			}
			f.runFor(30 * time.Second)
			for i, m := range f.members {
				if f.nodes[i] == isolated {
					continue
				}
				for _, c := range m.changes {
					if c.Member.ID != isolated.id {
						t.Fatalf("%s reported the unaffected member %s as %v", m.self.ID, c.Member.ID, c.Member.State)
					}
				}
			}
		})
	}
}

func TestMembership_RestartedDaemonIsANewOne(t *testing.T) {
	f := newJoinedFleet(t, 9, 9)
	f.nodes[3].crashed = true
	self := memberOf(3, 9)
	self.ID += "b"
	m := &memberNode{Membership: New(Config{Self: self, Seeds: []string{memberOf(0, 9).Addr}})}
	f.members = append(f.members, m)
	f.add(self, m)
	if _, ok := f.runUntil(30*time.Second, f.converged); !ok {
		t.Fatal("the restarted daemon has not replaced the previous one")
	}
}

func TestMembership_LastContact(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	unseeded := New(Config{Self: memberOf(0, 9)})
	seeded := New(Config{Self: memberOf(0, 9), Seeds: []string{memberOf(1, 9).Addr}})
	for range 100 {
		now = now.Add(time.Second)
		unseeded.Tick(now)
		seeded.Tick(now)
	}
	if !unseeded.LastContact().Equal(now) {
		t.Error("last contact of a daemon without peers and seeds is not the last Tick")
	}
	if now.Sub(seeded.LastContact()) < 90*time.Second {
		t.Error("a seed that does not answer counts as a contact")
	}
}

// Repeated and outdated messages change no state.
func TestMembership_StaleMessagesAreHarmless(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := New(Config{Self: memberOf(0, 9)})
	m.Tick(now)
	peer := memberOf(1, 9)
	old := Message{Kind: Gossip, Updates: []Update{{
		ID: peer.ID, Suspected: true, Detail: &Detail{Addr: peer.Addr, Location: peer.Location},
	}}}
	m.Step(now, peer.ID, peer.Addr, Message{Kind: Gossip, Incarnation: 1, Updates: []Update{{
		ID: peer.ID, Incarnation: 1, Detail: &Detail{Addr: peer.Addr, Location: peer.Location},
	}}})
	m.Ready()
	for range 3 {
		m.Step(now, memberOf(2, 9).ID, memberOf(2, 9).Addr, old)
		m.Step(now, peer.ID, peer.Addr, Message{Kind: Ack, Sequence: 12345})
		m.Step(now, peer.ID, peer.Addr, Message{Kind: IndirectAck, Sequence: 1, Target: Target{ID: peer.ID}})
	}
	if got := m.Ready(); len(got.Changes) != 0 || len(got.Send) != 0 {
		t.Fatalf("stale messages caused changes %v and messages %v, want none", got.Changes, got.Send)
	}
	if got, _ := m.Get(peer.ID); got.State != Alive || got.Incarnation != 1 {
		t.Fatalf("stale messages changed the member to %v", got)
	}
}
