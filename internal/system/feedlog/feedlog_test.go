package feedlog

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

var zero = time.Unix(1000, 0)

func change(id string, version uint64) provider.Change[int] {
	return provider.Change[int]{ID: id, Version: version, Value: int(version)}
}

func TestLog_Since(t *testing.T) {
	const maxAge = time.Second
	read := func() *Log[int] {
		l := &Log[int]{}
		l.Reset(zero, 10)
		l.Add(zero, 20, []provider.Change[int]{change("a", 12), change("b", 15)})
		return l
	}
	for name, c := range map[string]struct {
		log      *Log[int]
		age      time.Duration
		after    uint64
		answer   Answer
		position uint64
		changes  int
	}{
		"never read":            {&Log[int]{}, 0, 10, Stale, 10, 0},
		"read too long ago":     {read(), maxAge + 1, 10, Stale, 10, 0},
		"before the list":       {read(), 0, 9, Dropped, 9, 0},
		"at the list":           {read(), 0, 10, Changed, 20, 2},
		"at the first change":   {read(), 0, 12, Changed, 20, 1},
		"after the last change": {read(), maxAge, 15, Unchanged, 20, 0},
		"ahead of the reader":   {read(), 0, 30, Unchanged, 30, 0},
	} {
		t.Run(name, func(t *testing.T) {
			changes, position, answer := c.log.Since(zero.Add(c.age), c.after, maxAge)
			if answer != c.answer || position != c.position || len(changes) != c.changes {
				t.Errorf("got answer %d, position %d, %d changes; want %d, %d, %d", answer, position, len(changes), c.answer, c.position, c.changes)
			}
		})
	}
}

// TestLog_DropsTheOldestChanges: a daemon that is too far behind must read the list itself.
func TestLog_DropsTheOldestChanges(t *testing.T) {
	var l Log[int]
	l.Reset(zero, 0)
	for version := uint64(1); version <= 2*maxChanges; version++ {
		l.Add(zero, version, []provider.Change[int]{change("a", version)})
	}
	if _, _, answer := l.Since(zero, maxChanges-1, time.Second); answer != Dropped {
		t.Errorf("got answer %d to a question after a dropped change", answer)
	}
	if changes, _, answer := l.Since(zero, maxChanges, time.Second); answer != Changed || len(changes) != maxChanges {
		t.Errorf("got answer %d with %d changes, want the newest %d", answer, len(changes), maxChanges)
	}
}

// history is the true list, and the changes that led to it.
type history struct {
	version uint64
	changes []provider.Change[int]
}

// list returns the entries at a version.
func (h *history) list(version uint64) map[string]int {
	out := map[string]int{}
	apply(out, h.after(0, version))
	return out
}

// after returns the changes after one version up to another.
func (h *history) after(from, to uint64) []provider.Change[int] {
	var out []provider.Change[int]
	for _, c := range h.changes {
		if c.Version > from && c.Version <= to {
			out = append(out, c)
		}
	}
	return out
}

func apply(list map[string]int, changes []provider.Change[int]) {
	for _, c := range changes {
		if c.Removed {
			delete(list, c.ID)
			continue
		}
		list[c.ID] = c.Value
	}
}

// reader is a daemon of the model: what it has applied, and its log.
type reader struct {
	log      Log[int]
	list     map[string]int
	position uint64
}

func (r *reader) reset(h *history, now time.Time) {
	r.list, r.position = h.list(h.version), h.version
	r.log.Reset(now, r.position)
}

func (r *reader) add(start time.Time, position uint64, changes []provider.Change[int]) {
	apply(r.list, changes)
	r.position = max(r.position, position)
	r.log.Add(start, position, changes)
}

// TestLog_ChainsOfReadersNeverMissAChange: daemons read from the table service or from each other,
// in any order, also in circles. A list must be the true one at its position, and hold all
// changes that were made before the time at which its log says that it was the newest.
func TestLog_ChainsOfReadersNeverMissAChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, now := &history{}, zero
		made := []time.Time{zero} // made[v] is when version v was made
		readers := make([]reader, 3)
		for i := range readers {
			readers[i].reset(h, now)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			r := &readers[rapid.IntRange(0, 2).Draw(t, "daemon")]
			switch rapid.SampledFrom([]string{"change", "change", "other table", "table", "ask", "ask", "list"}).Draw(t, "step") {
			case "change":
				h.version++
				made = append(made, now)
				c := change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), h.version)
				c.Removed = rapid.Bool().Draw(t, "removed")
				h.changes = append(h.changes, c)
			case "other table":
				h.version++
				made = append(made, now)
			case "table":
				r.add(now, h.version, h.after(r.position, h.version))
			case "list":
				r.reset(h, now)
			case "ask":
				other := &readers[rapid.IntRange(0, 2).Draw(t, "asked")]
				changes, position, answer := other.log.Since(now, r.position, time.Second)
				if other != r && answer >= Unchanged {
					r.add(now.Add(-other.log.Age(now)), position, changes)
				}
			}
			for i := range readers {
				checkReader(t, &readers[i], h, made)
			}
		}
	})
}

func checkReader(t *rapid.T, r *reader, h *history, made []time.Time) {
	want := h.list(r.position)
	if len(want) != len(r.list) {
		t.Fatalf("list at %d has %d entries, want %d", r.position, len(r.list), len(want))
	}
	for id, value := range want {
		if r.list[id] != value {
			t.Fatalf("entry %s at %d is %d, want %d", id, r.position, r.list[id], value)
		}
	}
	for _, c := range h.changes {
		if c.Version > r.position && made[c.Version].Before(r.log.readAt) {
			t.Fatalf("change %d was made before the time at which the list at %d counts as the newest", c.Version, r.position)
		}
	}
}
