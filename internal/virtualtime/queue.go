// Package virtualtime schedules calls in virtual time, for tests that run several
// components that read no clock.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue holds calls by their times. Calls at the same time keep the order in which they
// were scheduled. Its zero value is empty.
type Queue struct {
	calls     callHeap
	scheduled int
}

// Schedule adds a call.
func (q *Queue) Schedule(at time.Time, run func()) {
	q.scheduled++
	heap.Push(&q.calls, call{at: at, number: q.scheduled, run: run})
}

// RunUntil sets the clock to the time of each call that is due by the end, runs it, and
// then sets the clock to the end.
func (q *Queue) RunUntil(end time.Time, clock *time.Time) {
	for len(q.calls) > 0 && !q.calls[0].at.After(end) {
		next := heap.Pop(&q.calls).(call)
		*clock = next.at
		next.run()
	}
	*clock = end
}

// call is a call at a time.
type call struct {
	at     time.Time
	number int // in the order of scheduling
	run    func()
}

// callHeap implements heap.Interface.
type callHeap []call

func (h callHeap) Len() int { return len(h) }

func (h callHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].number < h[j].number
	}
	return h[i].at.Before(h[j].at)
}

func (h callHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *callHeap) Push(x any) { *h = append(*h, x.(call)) }

func (h *callHeap) Pop() any {
	last := len(*h) - 1
	next := (*h)[last]
	(*h)[last] = call{}
	*h = (*h)[:last]
	return next
}
