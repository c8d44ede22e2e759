package grant

import (
	"container/heap"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// timer identifies what to check at a time. Timers are not cancelled: when one
// fires, the acquisition, server or report timer says whether it is due.
type timer struct {
	at          time.Time
	kind        timerKind
	acquisition acquisitionKey
	server      entity.BackendServerID
	peer        entity.InstanceID
}

type timerKind uint8

const (
	timerAcquisition timerKind = iota + 1
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

// popDue removes and returns the timers that are due. Timers added while these
// are handled wait for the next call, even if they are due at once, so that no
// call runs for ever.
func (s *schedule) popDue(now time.Time) []timer {
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

// Pop removes the last timer; it is called by container/heap.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}

// handleTimer checks what a timer identifies.
func (g *Grants) handleTimer(now time.Time, t timer) {
	switch t.kind {
	case timerAcquisition:
		if acq := g.acquisitions.Get(t.acquisition); acq != nil && !acq.due.IsZero() && !acq.due.After(now) {
			acq.due = time.Time{}
			g.checkAcquisition(now, acq)
		}
	case timerServer:
		if s := g.servers.Get(t.server); s != nil && s.coordination != nil && !s.coordination.due.IsZero() && !s.coordination.due.After(now) {
			s.coordination.due = time.Time{}
			g.maintain(now, s)
		}
	case timerReport:
		if r := g.reports.Get(t.peer); r != nil && !r.at.After(now) {
			g.sendReport(now, t.peer)
		}
	}
}

// scheduleAcquisition has the acquisition checked no later than at.
func (g *Grants) scheduleAcquisition(acq *acquisition, at time.Time) {
	if !acq.due.IsZero() && !acq.due.After(at) {
		return
	}
	acq.due = at
	g.schedule.add(timer{at: at, kind: timerAcquisition, acquisition: acq.key()})
}

// scheduleServer has the coordination of a server maintained no later than at.
func (g *Grants) scheduleServer(s *server, at time.Time) {
	if at.IsZero() || (!s.coordination.due.IsZero() && !s.coordination.due.After(at)) {
		return
	}
	s.coordination.due = at
	g.schedule.add(timer{at: at, kind: timerServer, server: s.backend.ID})
}
