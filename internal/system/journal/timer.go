package journal

import (
	"container/heap"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/system/backoff"
)

// timer calls fire once it is due. Timers are never cancelled, so fire checks
// whether it is still needed.
type timer struct {
	at   time.Time
	seq  uint64 // order in which timers were set; breaks ties, so that all runs are the same
	fire func(now time.Time)
}

// timers is a heap of timers, earliest first.
type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(a, b int) bool {
	if t[a].at.Equal(t[b].at) {
		return t[a].seq < t[b].seq
	}
	return t[a].at.Before(t[b].at)
}

func (t timers) Swap(a, b int) { t[a], t[b] = t[b], t[a] }

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}

func (j *Journal) schedule(t time.Time, fire func(now time.Time)) {
	j.timerSeq++
	heap.Push(&j.timers, timer{at: t, seq: j.timerSeq, fire: fire})
}

// jitter returns a random duration between half of d and d.
func (j *Journal) jitter(d time.Duration) time.Duration {
	if d < 2 {
		return d
	}
	return d/2 + time.Duration(j.cfg.Rand.Int64N(int64(d/2)))
}

// backoff returns the delay after a number of consecutive failures: initial,
// doubled with each further failure up to maxDelay, with jitter.
func (j *Journal) backoff(initial, maxDelay time.Duration, failures int) time.Duration {
	return j.jitter(backoff.Delay(initial, maxDelay, failures))
}
