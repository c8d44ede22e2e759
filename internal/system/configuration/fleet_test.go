package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	fleetSize       = 410
	inForceWithin   = 14 * time.Second // target on all daemons
	tableReads      = 2000             // a second, of the table service
	idleReadShare   = 0.05             // of tableReads that idle daemons may use
	changeReadShare = 0.5              // of tableReads that a change may use for a second
	slowTable       = 2 * time.Second
	messageLoss     = 0.05
	newsFanOut      = 3
)

// slow makes each call of the table take about two seconds.
func (w *world) slow() {
	w.latency = func() time.Duration {
		return slowTable - slowTable/4 + time.Duration(w.rand.Int64N(int64(slowTable/2)))
	}
}

// gossip passes news on to a few random daemons, some of it lost.
func (w *world) gossip() {
	w.news = func(_ int, head uint64) {
		for range newsFanOut {
			to := w.rand.IntN(len(w.daemons))
			if w.rand.Float64() < messageLoss {
				continue
			}
			w.at(w.now.Add(time.Second/4), func() {
				w.do(to, func(c *Configuration) { c.Head(w.now, head) })
			})
		}
	}
}

// timeToAll applies a change on one daemon and returns the time from its
// acceptance by the table until it is in force on all daemons.
func (w *world) timeToAll(op string) time.Duration {
	var accepted, last time.Time
	target := w.table.head() + 1
	reached := map[int]bool{}
	w.check = func(i int) {
		if accepted.IsZero() && w.table.head() >= target {
			accepted = w.now
		}
		if w.daemons[i].Revision() >= target && !reached[i] {
			reached[i], last = true, w.now
		}
	}
	w.apply(0, edit(op, "prices", int(target), w.daemons[0].Revision()))
	w.run(time.Minute)
	if len(reached) != len(w.daemons) {
		w.t.Fatalf("%d of %d daemons reached", len(reached), len(w.daemons))
	}
	return last.Sub(accepted)
}

func TestConfiguration_InForceEverywhereInTime(t *testing.T) {
	for _, news := range []bool{true, false} {
		t.Run(fmt.Sprintf("news=%v", news), func(t *testing.T) {
			w := newWorld(t, fleetSize)
			w.slow()
			if news {
				w.gossip()
			}
			w.run(30 * time.Second)
			worst := time.Duration(0)
			for i := range 5 {
				worst = max(worst, w.timeToAll(fmt.Sprint("op", i)))
			}
			t.Logf("worst of 5 changes: %v", worst)
			if worst > inForceWithin {
				t.Errorf("in force everywhere after %v, want %v", worst, inForceWithin)
			}
		})
	}
}

func TestConfiguration_TableReadsAreBounded(t *testing.T) {
	w := newWorld(t, fleetSize)
	w.gossip()
	w.poll = time.Second // shorter than a fleet of this size may poll
	for i := range w.daemons {
		w.boot(i)
	}
	w.run(30 * time.Second)
	worst := func(d time.Duration) int {
		most := 0
		for range int(d / time.Second) {
			before := w.table.reads
			w.run(time.Second)
			most = max(most, w.table.reads-before)
		}
		return most
	}
	idle := worst(time.Minute)
	w.apply(0, edit("op1", "prices", 1, 0))
	changing := worst(10 * time.Second)
	t.Logf("%d daemons: at most %d reads/s idle, %d reads/s with a change", fleetSize, idle, changing)
	if limit := int(idleReadShare * tableReads); idle > limit {
		t.Errorf("%d reads/s idle, limit %d", idle, limit)
	}
	if limit := int(changeReadShare * tableReads); changing > limit {
		t.Errorf("%d reads/s with a change, limit %d", changing, limit)
	}
}

func TestConfiguration_AllRestartWithinAMinute(t *testing.T) {
	w := newWorld(t, fleetSize)
	w.gossip()
	w.run(10 * time.Second)
	w.mustApply(0, edit("op1", "prices", 1, 0))
	w.run(20 * time.Second)
	for i := range w.daemons {
		at := w.now.Add(time.Duration(rand.New(rand.NewPCG(uint64(i), 7)).Int64N(int64(time.Minute))))
		w.at(at, func() { w.boot(i) })
	}
	w.run(30 * time.Second)
	w.apply(0, edit("op2", "prices", 2, 1))
	w.run(30*time.Second + inForceWithin)
	for i, c := range w.daemons {
		if !c.Current(w.now) || weightOf(c, "prices") != 2 {
			t.Fatalf("daemon %d: revision %d, current %v", i, c.Revision(), c.Current(w.now))
		}
	}
}

func BenchmarkConfiguration_IdleTick(b *testing.B) {
	c := New(Config{Rand: rand.New(rand.NewPCG(1, 1))})
	now := time.Unix(1_700_000_000, 0)
	c.Tick(now)
	for b.Loop() {
		c.Tick(now)
	}
}
