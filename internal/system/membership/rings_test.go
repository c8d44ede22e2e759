package membership

import "testing"

// A run of dead successors is found in steps that grow.
func TestRings_TargetsWiden(t *testing.T) {
	o := newRings(Config{Self: memberOf(0, 100), GlobalRings: 1})
	for i := range 100 {
		o.insert(&row{Member: memberOf(i, 100)})
	}
	total := 0
	for _, want := range []int{1, 2, 4, maxWidening} {
		fresh := 0
		for _, r := range o.targets() {
			if !r.suspected {
				fresh++
				r.suspected, r.bySelf = true, true
			}
		}
		if fresh != want {
			t.Fatalf("%d new targets after %d suspects, want %d", fresh, total, want)
		}
		total += fresh
	}
}

// Every member is watched by others whoever is in the fleet.
func TestRings_EveryoneIsWatched(t *testing.T) {
	const n, watchers = 60, 2
	var rows []*row
	for i := range n {
		rows = append(rows, &row{Member: memberOf(i, n)})
	}
	watched := make(map[*row]map[*row]bool)
	for i := range n {
		o := newRings(Config{Self: rows[i].Member, GlobalRings: 2, LocalRings: 2})
		o.insert(rows[i])
		for j := range n {
			if j != i {
				o.insert(rows[j])
			}
		}
		for range o.rings {
			for _, r := range o.targets() {
				if watched[r] == nil {
					watched[r] = make(map[*row]bool)
				}
				watched[r][rows[i]] = true
			}
		}
	}
	for _, r := range rows {
		if len(watched[r]) < watchers {
			t.Fatalf("%s is watched by %d", r.ID, len(watched[r]))
		}
	}
}

// A member suspected on hearsay is still passed changes, so that it hears of
// them; one that this daemon has found silent itself is not.
func TestRings_HearsayKeepsNeighbours(t *testing.T) {
	o := newRings(Config{Self: memberOf(0, 9), GlobalRings: 1})
	for i := range 9 {
		o.insert(&row{Member: memberOf(i, 9)})
	}
	next := o.neighbours()[0]
	next.suspected = true
	o.touched()
	if !holds(o.neighbours(), next) {
		t.Fatal("a member suspected on hearsay hears no changes")
	}
	next.bySelf = true
	o.touched()
	if holds(o.neighbours(), next) {
		t.Fatal("changes are still sent to a member that is silent")
	}
	if len(o.neighbours()) != 2 {
		t.Fatalf("%d neighbours, want 2", len(o.neighbours()))
	}
}
