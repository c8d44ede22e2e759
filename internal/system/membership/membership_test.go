package membership

import (
	"fmt"
	"testing"
	"time"
)

// newJoinedFleet returns a fleet of n members that have found each other.
func newJoinedFleet(t *testing.T, n int, seed uint64) *fleet {
	t.Helper()
	f := newFleet(n, seed, nil)
	took, ok := f.runUntil(time.Minute, f.converged)
	if !ok {
		t.Fatalf("%d members have not found each other", n)
	}
	t.Logf("%d members have found each other in %v", n, took)
	f.runFor(10 * time.Second)
	f.resetChanges()
	return f
}

func TestMembership_Join(t *testing.T) {
	for _, n := range []int{1, 2, 9, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) { newJoinedFleet(t, n, 1) })
	}
}

func TestMembership_CrashIsFound(t *testing.T) {
	f := newJoinedFleet(t, 100, 2)
	f.nodes[17].crashed = true
	took, ok := f.runUntil(30*time.Second, f.converged)
	if !ok {
		t.Fatal("a crashed member is still considered alive")
	}
	t.Logf("marked dead by all members after %v", took)
	if dead := f.changesTo(Dead); dead != 99 {
		t.Fatalf("%d changes to dead, want 99", dead)
	}
}

// A caller that calls Tick at the deadline, and treats a zero deadline as
// never, must call it for the first time.
func TestMembership_DeadlineBeforeStart(t *testing.T) {
	m := New(Config{Self: memberOf(0, 9)})
	if d := m.Deadline(); d.IsZero() || d.After(epoch) {
		t.Fatalf("deadline before the first Tick is %v, want a time in the past other than zero", d)
	}
}
