package core

import (
	"container/heap"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// timer is an entry of the timer queue.
type timer struct {
	at      time.Time
	request entity.RequestID
}

// timerQueue is a heap of timers. A request has at most one valid timer, the
// one at its wakeAt; others are ignored when they expire.
type timerQueue []timer

func (q timerQueue) Len() int           { return len(q) }
func (q timerQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q timerQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	old := *q
	last := len(old) - 1
	t := old[last]
	*q = old[:last]
	return t
}

// wakeBy ensures that the request's timer fires at the given time or earlier.
func (c *Core) wakeBy(r *request, at time.Time) {
	if !r.wakeAt.IsZero() && !at.Before(r.wakeAt) {
		return
	}
	r.wakeAt = at
	heap.Push(&c.timers, timer{at: at, request: r.id})
}

// runTimers handles the timers that have expired.
func (c *Core) runTimers() {
	for len(c.timers) > 0 && !c.timers[0].at.After(c.now) {
		t := heap.Pop(&c.timers).(timer)
		r := c.requests.Get(t.request)
		if r == nil || !r.wakeAt.Equal(t.at) {
			continue
		}
		r.wakeAt = time.Time{}
		c.handleTimer(r)
	}
}
