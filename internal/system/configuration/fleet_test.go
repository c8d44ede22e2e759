package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	fleetSize              = 410
	maxSpreadDuration      = 14 * time.Second // design target until a change is in force on all daemons
	maxTableReadsPerSecond = 2000             // that the table service serves
	idleReadRatio          = 0.05             // of maxTableReadsPerSecond, used by idle daemons
	changeReadRatio        = 0.5              // of maxTableReadsPerSecond, used while a change spreads
	slowTableLatency       = 2 * time.Second
	messageLossRatio       = 0.05
	gossipFanOut           = 3
)

// makeTableSlow makes every table operation take about two seconds.
func (w *world) makeTableSlow() {
	w.latency = func() time.Duration {
		return slowTableLatency - slowTableLatency/4 + time.Duration(w.rand.Int64N(int64(slowTableLatency/2)))
	}
}

// enableGossip reports each raised head revision to a few random daemons and
// loses some of the reports.
func (w *world) enableGossip() {
	w.onHeadRaised = func(_ int, head uint64) {
		for range gossipFanOut {
			to := w.rand.IntN(len(w.daemons))
			if w.rand.Float64() < messageLossRatio {
				continue
			}
			w.scheduleAt(w.now.Add(time.Second/4), func() {
				w.call(to, func(c *Configuration) { c.ReceiveHead(w.now, head) })
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
	w.afterStep = func(i int) {
		if accepted.IsZero() && w.table.head() >= target {
			accepted = w.now
		}
		if w.daemons[i].Revision() >= target && !reached[i] {
			reached[i], last = true, w.now
		}
	}
	w.apply(0, newEdit(op, "prices", int(target), w.daemons[0].Revision()))
	w.run(time.Minute)
	if len(reached) != len(w.daemons) {
		w.t.Fatalf("change is in force on %d of %d daemons after a minute", len(reached), len(w.daemons))
	}
	return last.Sub(accepted)
}

func TestConfiguration_InForceEverywhereInTime(t *testing.T) {
	for _, withGossip := range []bool{true, false} {
		t.Run(fmt.Sprintf("news=%v", withGossip), func(t *testing.T) {
			w := newWorld(t, fleetSize)
			w.makeTableSlow()
			if withGossip {
				w.enableGossip()
			}
			w.run(30 * time.Second)
			worst := time.Duration(0)
			for i := range 5 {
				worst = max(worst, w.timeToAll(fmt.Sprint("op", i)))
			}
			t.Logf("slowest of 5 changes in force on all daemons after %v", worst)
			if worst > maxSpreadDuration {
				t.Errorf("in force on all daemons after %v, want at most %v", worst, maxSpreadDuration)
			}
		})
	}
}

func TestConfiguration_TableReadsAreBounded(t *testing.T) {
	w := newWorld(t, fleetSize)
	w.enableGossip()
	w.pollInterval = time.Second // shorter than the interval for a fleet of this size
	for i := range w.daemons {
		w.startDaemon(i)
	}
	w.run(30 * time.Second)
	maxReadsPerSecond := func(d time.Duration) int {
		highest := 0
		for range int(d / time.Second) {
			before := w.table.reads
			w.run(time.Second)
			highest = max(highest, w.table.reads-before)
		}
		return highest
	}
	idle := maxReadsPerSecond(time.Minute)
	w.apply(0, newEdit("op1", "prices", 1, 0))
	changing := maxReadsPerSecond(10 * time.Second)
	t.Logf("%d daemons: at most %d reads/s idle, %d reads/s with a change", fleetSize, idle, changing)
	if limit := int(idleReadRatio * maxTableReadsPerSecond); idle > limit {
		t.Errorf("%d reads/s idle, limit %d", idle, limit)
	}
	if limit := int(changeReadRatio * maxTableReadsPerSecond); changing > limit {
		t.Errorf("%d reads/s with a change, limit %d", changing, limit)
	}
}

func TestConfiguration_AllRestartWithinAMinute(t *testing.T) {
	w := newWorld(t, fleetSize)
	w.enableGossip()
	w.run(10 * time.Second)
	w.mustApply(0, newEdit("op1", "prices", 1, 0))
	w.run(20 * time.Second)
	for i := range w.daemons {
		at := w.now.Add(time.Duration(rand.New(rand.NewPCG(uint64(i), 7)).Int64N(int64(time.Minute))))
		w.scheduleAt(at, func() { w.startDaemon(i) })
	}
	w.run(30 * time.Second)
	w.apply(0, newEdit("op2", "prices", 2, 1))
	w.run(30*time.Second + maxSpreadDuration)
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
