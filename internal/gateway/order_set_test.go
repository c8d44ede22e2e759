package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// orderStep is one read of a list of orders or of its changes, and what it must lead to.
type orderStep struct {
	name      string
	read      orderRead
	set       []uint64 // identities of orders that are set
	withdrawn int
	ignored   int
}

func version(generation, number uint64) uint64 { return provider.ComposeVersion(generation, number) }

func orderTo(to string, version uint64) provider.Change[OperatorEntry] {
	o := rollout.Order{Service: "app", To: to, Duration: time.Second, Version: version}
	return provider.Change[OperatorEntry]{Version: version, Value: OperatorEntry{OrderOf: "app", Order: o}}
}

func removal(version uint64) provider.Change[OperatorEntry] {
	return provider.Change[OperatorEntry]{Version: version, Removed: true, Value: OperatorEntry{OrderOf: "app"}}
}

func unreadable(version uint64) provider.Change[OperatorEntry] {
	return provider.Change[OperatorEntry]{Version: version, Err: errors.New("unreadable"), Value: OperatorEntry{OrderOf: "app"}}
}

func list(position uint64, changes ...provider.Change[OperatorEntry]) orderRead {
	return orderRead{complete: true, position: position, changes: changes}
}

func changes(position uint64, changes ...provider.Change[OperatorEntry]) orderRead {
	return orderRead{position: position, changes: changes}
}

func (s *orderStep) check(t *testing.T, got []orderChange) {
	t.Helper()
	var set []uint64
	withdrawn, ignored := 0, 0
	for _, c := range got {
		if c.withdrawn {
			withdrawn++
		}
		if c.err != nil {
			ignored++
		}
		if c.order.Version != 0 {
			set = append(set, c.order.Version)
		}
	}
	equal := len(set) == len(s.set)
	for i := range set {
		equal = equal && set[i] == s.set[i]
	}
	if !equal || withdrawn != s.withdrawn || ignored != s.ignored {
		t.Errorf("%s: set %v, %d withdrawn, %d ignored; want %v, %d, %d", s.name, set, withdrawn, ignored, s.set, s.withdrawn, s.ignored)
	}
}

// TestOrderSet guards against orders that start anew, come back or get lost, as rows are read
// again, relayed by other daemons out of order, or restored from an older copy.
func TestOrderSet(t *testing.T) {
	rolledBack := rollout.State{Service: "app", Order: version(3, 5), To: "v2", Duration: time.Second, Stage: rollout.RolledBack}
	for name, test := range map[string]struct {
		states []rollout.State
		steps  []orderStep
	}{
		"replaced and removed": {steps: []orderStep{
			{name: "first", read: list(version(3, 9), orderTo("v2", version(3, 5))), set: []uint64{version(3, 5)}},
			{name: "listed again", read: list(version(3, 10), orderTo("v2", version(3, 5)))},
			{name: "written again", read: changes(version(3, 11), orderTo("v2", version(3, 11))), set: []uint64{version(3, 11)}},
			{name: "unreadable", read: changes(version(3, 12), unreadable(version(3, 12))), ignored: 1},
			{name: "unreadable, listed again", read: list(version(3, 13), unreadable(version(3, 12)))},
			{name: "removed", read: changes(version(3, 14), removal(version(3, 14))), withdrawn: 1},
			{name: "ordered again", read: changes(version(3, 15), orderTo("v2", version(3, 15))), set: []uint64{version(3, 15)}},
			{name: "not listed", read: list(version(3, 20)), withdrawn: 1},
		}},
		"relayed": {steps: []orderStep{
			{name: "first", read: list(version(3, 9), orderTo("v2", version(3, 5))), set: []uint64{version(3, 5)}},
			{name: "another daemon knows of the removal", read: list(version(3, 12)), withdrawn: 1},
			{name: "an older list", read: list(version(3, 11), orderTo("v2", version(3, 10)))},
			{name: "an older change", read: changes(version(3, 11), orderTo("v2", version(3, 10)))},
		}},
		"restored": {steps: []orderStep{
			{name: "first", read: list(version(3, 9), orderTo("v2", version(3, 5))), set: []uint64{version(3, 5)}},
			{name: "its row is lost", read: list(version(4, 2))},
			{name: "written again by the operator", read: changes(version(4, 7), orderTo("v2", version(4, 7)))},
			{name: "another version is ordered", read: changes(version(4, 8), orderTo("v3", version(4, 8))), set: []uint64{version(4, 8)}},
		}},
		"restored from before the order was replaced": {steps: []orderStep{
			{name: "first", read: list(version(3, 9), orderTo("v2", version(3, 5))), set: []uint64{version(3, 5)}},
			{name: "replaced", read: changes(version(3, 11), orderTo("v3", version(3, 11))), set: []uint64{version(3, 11)}},
			{name: "the first is back", read: list(version(4, 9), orderTo("v2", version(4, 5)))},
			{name: "the second is written again", read: changes(version(4, 10), orderTo("v3", version(4, 10)))},
		}},
		"restored from before the order was removed": {steps: []orderStep{
			{name: "first", read: list(version(3, 9), orderTo("v2", version(3, 5))), set: []uint64{version(3, 5)}},
			{name: "removed", read: changes(version(3, 11), removal(version(3, 11))), withdrawn: 1},
			{name: "the first is back", read: list(version(4, 9), orderTo("v2", version(4, 5)))},
			{name: "ordered again", read: changes(version(4, 10), orderTo("v2", version(4, 10))), set: []uint64{version(4, 10)}},
		}},
		"restored before the start of this process": {states: []rollout.State{rolledBack}, steps: []orderStep{
			{name: "first", read: list(version(4, 9), orderTo("v2", version(4, 5))), set: []uint64{version(3, 5)}},
			{name: "removed", read: changes(version(4, 10), removal(version(4, 10))), withdrawn: 1},
			{name: "ordered again", read: changes(version(4, 11), orderTo("v2", version(4, 11))), set: []uint64{version(4, 11)}},
		}},
		"unreadable since before the start of this process": {states: []rollout.State{rolledBack}, steps: []orderStep{
			{name: "first", read: list(version(3, 9), unreadable(version(3, 8))), ignored: 1, set: []uint64{version(3, 5)}},
			{name: "mended", read: changes(version(3, 12), orderTo("v3", version(3, 12))), set: []uint64{version(3, 12)}},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newOrderSet()
			for _, s := range test.states {
				b.addState(s)
			}
			for _, step := range test.steps {
				step.check(t, b.apply(&step.read))
			}
		})
	}
}

// TestOrderSet_Digest: daemons that know the same orders must agree on the digest, and others
// must not.
func TestOrderSet_Digest(t *testing.T) {
	seen := map[uint64]bool{}
	for _, orders := range [][]provider.Change[OperatorEntry]{nil, {orderTo("v2", version(3, 5))}, {orderTo("v2", version(3, 6))}} {
		b, again := newOrderSet(), newOrderSet()
		first, later := list(version(3, 9), orders...), list(version(3, 10), orders...)
		b.apply(&first)
		again.apply(&later)
		if b.digest() != again.digest() || b.digest() == 0 || seen[b.digest()] {
			t.Errorf("orders %v have the digests %d and %d", orders, b.digest(), again.digest())
		}
		seen[b.digest()] = true
	}
}

// TestOrderRead_OrderedBy: an order that was written during an outage must not get a later deadline
// than the platform's, or its completion could come after the new servers were drained.
func TestOrderRead_OrderedBy(t *testing.T) {
	now := time.Unix(1000, 0)
	order := rollout.Order{Duration: 8 * time.Second}
	for _, test := range []struct {
		name         string
		delayed      bool
		confirmedAgo time.Duration
		want         time.Duration // before now
	}{
		{"no call has failed", false, 5 * time.Second, 0},
		{"short outage", true, 500 * time.Millisecond, 500 * time.Millisecond},
		{"long outage", true, time.Minute, 2 * time.Second},
	} {
		r := orderRead{delayed: test.delayed}
		if got := now.Sub(r.orderedBy(now, now.Add(-test.confirmedAgo), &order)); got != test.want {
			t.Errorf("%s: ordered %v before it was read, want %v", test.name, got, test.want)
		}
	}
}

// TestMayCommit guards against a late leader that undoes a stage, or takes up an ended roll-out.
func TestMayCommit(t *testing.T) {
	state := func(order uint64, stage rollout.Stage) *rollout.State {
		return &rollout.State{Service: "app", Order: order, Stage: stage}
	}
	for _, test := range []struct {
		stored, next     *rollout.State
		commit, rewrites bool
	}{
		{state(5, rollout.Canary), state(5, rollout.Promoting), true, true},
		{state(5, rollout.Canary), state(5, rollout.Completed), false, true},
		{state(5, rollout.Canary), state(5, rollout.RolledBack), true, true},
		{state(5, rollout.Promoting), state(5, rollout.Canary), false, false},
		{state(5, rollout.Completed), state(5, rollout.RolledBack), false, false},
		{state(5, rollout.RolledBack), state(5, rollout.Completed), false, false},
		{state(5, rollout.RolledBack), state(6, rollout.Canary), true, true},
		{state(6, rollout.Canary), state(5, rollout.Completed), false, false},
	} {
		if got := mayCommit(test.stored, test.next); got != test.commit {
			t.Errorf("%v after %v: commit %v, want %v", test.next, test.stored, got, test.commit)
		}
		if got := mayRewrite(test.stored, test.next); got != test.rewrites {
			t.Errorf("%v after %v: write again %v, want %v", test.next, test.stored, got, test.rewrites)
		}
	}
}
