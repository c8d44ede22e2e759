package exchange

import "slices"

// maxAnnouncements bounds the facts of one kind that are being announced. The oldest are
// dropped first.
const maxAnnouncements = 256

// announcements holds facts that the state updates tell the other daemons until all of
// them have acknowledged an update with the fact.
type announcements[T any] struct {
	list []announcement[T] // oldest first
}

type announcement[T any] struct {
	fact     T
	sequence uint32 // of the first update with the fact; 0: none yet
	noticed  bool   // a notice has told the fact ahead of the updates
}

// add has the next updates include a fact.
func (a *announcements[T]) add(fact T) {
	a.list = append(a.list, announcement[T]{fact: fact})
	if excess := len(a.list) - maxAnnouncements; excess > 0 {
		a.list = append(a.list[:0], a.list[excess:]...)
	}
}

// addUnless has the next updates include a fact, unless one for which same returns true is
// being announced.
func (a *announcements[T]) addUnless(fact T, same func(T) bool) {
	if !slices.ContainsFunc(a.list, func(item announcement[T]) bool { return same(item.fact) }) {
		a.add(fact)
	}
}

// equalTo returns a predicate for addUnless.
func equalTo[T comparable](fact T) func(T) bool { return func(known T) bool { return known == fact } }

// drop removes the facts for which f returns true.
func (a *announcements[T]) drop(f func(T) bool) {
	a.list = slices.DeleteFunc(a.list, func(item announcement[T]) bool { return f(item.fact) })
}

// dropUntold removes the facts for which f returns true and which no update or notice has told.
func (a *announcements[T]) dropUntold(f func(T) bool) {
	a.list = slices.DeleteFunc(a.list, func(item announcement[T]) bool {
		return item.sequence == 0 && !item.noticed && f(item.fact)
	})
}

// due returns the facts that the update with the given sequence number must include. All
// other daemons have received the updates up to acked.
func (a *announcements[T]) due(sequence, acked uint32) []T {
	var out []T
	kept := a.list[:0]
	for _, item := range a.list {
		if item.sequence == 0 {
			item.sequence = sequence
		}
		if item.sequence > acked {
			kept = append(kept, item)
			out = append(out, item.fact)
		}
	}
	a.list = kept
	return out
}

// unnoticed returns the facts that neither an update nor a notice has told yet, and counts
// them as told by a notice.
func (a *announcements[T]) unnoticed() []T {
	var out []T
	for i := range a.list {
		item := &a.list[i]
		if item.sequence == 0 && !item.noticed {
			item.noticed = true
			out = append(out, item.fact)
		}
	}
	return out
}

// hasUnnoticed reports whether unnoticed would return any fact.
func (a *announcements[T]) hasUnnoticed() bool {
	return slices.ContainsFunc(a.list, func(item announcement[T]) bool { return item.sequence == 0 && !item.noticed })
}
