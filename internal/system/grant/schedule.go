package grant

import (
	"container/heap"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// timer names a row to be looked at again. Timers are not cancelled: the row
// says itself whether it is due.
type timer struct {
	at     time.Time
	kind   timerKind
	want   wantKey
	server entity.BackendServerID
	peer   entity.InstanceID
}

type timerKind uint8

const (
	timerWant timerKind = iota + 1
	timerServer
	timerReport
)

// schedule is a heap of timers.
type schedule struct {
	timers timerHeap
}

func (s *schedule) add(t timer) { heap.Push(&s.timers, t) }

func (s *schedule) first() time.Time {
	if len(s.timers) == 0 {
		return time.Time{}
	}
	return s.timers[0].at
}

// due takes the timers that are due. Those that they lead to stay, even if
// they are due at once, so that no call goes on for ever.
func (s *schedule) due(now time.Time) []timer {
	var out []timer
	for len(s.timers) > 0 && !s.timers[0].at.After(now) {
		out = append(out, heap.Pop(&s.timers).(timer))
	}
	return out
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a timer; it is called by container/heap.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop takes the last timer; it is called by container/heap.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}

// fire looks at the row of a timer.
func (g *Grants) fire(now time.Time, t timer) {
	switch t.kind {
	case timerWant:
		if w := g.wants.Get(t.want); w != nil && !w.due.IsZero() && !w.due.After(now) {
			w.due = time.Time{}
			g.wake(now, w)
		}
	case timerServer:
		if s := g.servers.Get(t.server); s != nil && s.coordination != nil && !s.coordination.due.IsZero() && !s.coordination.due.After(now) {
			s.coordination.due = time.Time{}
			g.tend(now, s)
		}
	case timerReport:
		if r := g.reports.Get(t.peer); r != nil && !r.at.After(now) {
			g.report(now, t.peer)
		}
	}
}

// wakeWant has the want looked at no later than at.
func (g *Grants) wakeWant(w *want, at time.Time) {
	if !w.due.IsZero() && !w.due.After(at) {
		return
	}
	w.due = at
	g.schedule.add(timer{at: at, kind: timerWant, want: w.key()})
}

// wakeServer has the coordination of a server tended no later than at.
func (g *Grants) wakeServer(s *server, at time.Time) {
	if at.IsZero() || (!s.coordination.due.IsZero() && !s.coordination.due.After(at)) {
		return
	}
	s.coordination.due = at
	g.schedule.add(timer{at: at, kind: timerServer, server: s.backend.ID})
}
