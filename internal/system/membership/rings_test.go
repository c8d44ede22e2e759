package membership

import "testing"

// The number of new targets doubles with each call while the successors found
// are all dead.
func TestRings_TargetsWiden(t *testing.T) {
	o := newRings(Config{Self: memberOf(0, 100), GlobalRings: 1})
	for i := range 100 {
		o.insert(&row{Member: memberOf(i, 100)})
	}
	total := 0
	for _, want := range []int{1, 2, 4, maxRemainingTargets} {
		newTargets := 0
		for _, r := range o.probeTargets() {
			if !r.suspected {
				newTargets++
				r.suspected, r.suspectedLocally = true, true
			}
		}
		if newTargets != want {
			t.Fatalf("%d new targets after %d suspects, want %d", newTargets, total, want)
		}
		total += newTargets
	}
}

// Every member is probed by others, whichever members are in the fleet.
func TestRings_EveryoneIsWatched(t *testing.T) {
	const n, minProbers = 60, 2
	var rows []*row
	for i := range n {
		rows = append(rows, &row{Member: memberOf(i, n)})
	}
	probedBy := make(map[*row]map[*row]bool)
	for i := range n {
		o := newRings(Config{Self: rows[i].Member, GlobalRings: 2, LocalRings: 2})
		o.insert(rows[i])
		for j := range n {
			if j != i {
				o.insert(rows[j])
			}
		}
		for range o.rings {
			for _, r := range o.probeTargets() {
				if probedBy[r] == nil {
					probedBy[r] = make(map[*row]bool)
				}
				probedBy[r][rows[i]] = true
			}
		}
	}
	for _, r := range rows {
		if len(probedBy[r]) < minProbers {
			t.Fatalf("%s is probed by %d members, too few", r.ID, len(probedBy[r]))
		}
	}
}

// A member that only others suspect still receives changes, so that it can
// refute the suspicion; one that this daemon itself suspects does not.
func TestRings_SuspicionOfOthersKeepsNeighbours(t *testing.T) {
	o := newRings(Config{Self: memberOf(0, 9), GlobalRings: 1})
	for i := range 9 {
		o.insert(&row{Member: memberOf(i, 9)})
	}
	next := o.neighbours()[0]
	next.suspected = true
	o.rowChanged()
	if !containsRow(o.neighbours(), next) {
		t.Fatal("a member that only others suspect receives no changes")
	}
	next.suspectedLocally = true
	o.rowChanged()
	if containsRow(o.neighbours(), next) {
		t.Fatal("changes are still sent to a member that this daemon suspects itself")
	}
	if len(o.neighbours()) != 2 {
		t.Fatalf("%d neighbours, want 2", len(o.neighbours()))
	}
}
