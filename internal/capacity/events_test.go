package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
)

// eventSizes are the numbers of daemons of the runs with failures.
func eventSizes() []int {
	if *figuresFile != "" {
		return []int{30, fullSize}
	}
	return []int{30}
}

// noteEvent notes what an event has cost since the last reset.
func (f *fleet) noteEvent(phase string) {
	worst, sum, live := 0, 0, 0
	for _, n := range f.nodes {
		worst, sum = max(worst, n.traffic.worst()), sum+n.traffic.control()
		if !n.dead {
			live++
		}
	}
	f.note(phase, "control bytes, worst second of a daemon", float64(worst), "B/s")
	f.note(phase, "control bytes", float64(sum)/float64(live), "B and live daemon")
	f.note(phase, "table reads, worst second", float64(most(f.calls.reads)), "1/s")
	f.note(phase, "table transactions, worst second", float64(most(f.calls.writes)), "1/s")
}

// wave is a way in which many daemons go at once.
type wave struct {
	name   string
	notice time.Duration // 0: killed without notice
	goes   func(f *fleet, i int) bool
}

// waves lists the ways: a data centre, or three quarters of the daemons.
func waves() []wave {
	dataCentre := func(_ *fleet, i int) bool { return i%dataCentres == 2 }
	most := func(_ *fleet, i int) bool { return i%4 != 0 }
	const notice = 30 * time.Second
	return []wave{
		{"data centre killed", 0, dataCentre},
		{"three quarters killed", 0, most},
		{"three quarters with notice", notice, most},
	}
}

// TestFleet_Wave takes many daemons away under load. The survivors must know
// it, and keyed work must find owners again.
func TestFleet_Wave(t *testing.T) {
	for _, size := range eventSizes() {
		for _, w := range waves() {
			t.Run(fmt.Sprintf("%d %s", size, w.name), func(t *testing.T) { runWave(t, size, w) })
		}
	}
}

func runWave(t *testing.T, size int, w wave) {
	const batch = 20
	f := newFleet(t, 2, size)
	f.startLoad(batch)
	f.runFor(8 * time.Second)
	f.reset()
	start := f.now
	for i, n := range f.nodes {
		switch {
		case !w.goes(f, i):
		case w.notice > 0:
			n.post(core.ReclaimNotice{Notice: provider.Notice{At: f.now.Add(w.notice)}})
		default:
			n.dead = true
		}
	}
	if !f.runUntil(2*time.Minute, func() bool { return f.informed(w) }) {
		t.Fatalf("the survivors do not know after %s", f.now.Sub(start))
	}
	f.note(w.name, "until all survivors know", f.now.Sub(start).Seconds(), "s")
	f.runFor(w.notice + 20*time.Second)
	if !f.settled() {
		t.Error("the survivors are not of one mind after the wave")
	}
	f.noteEvent(w.name)
	before := f.load.done
	f.runFor(5 * time.Second)
	if f.load.done == before {
		t.Error("no request is answered after the wave")
	}
}

// informed reports whether every survivor knows that those of a wave are
// leaving, or gone, and that the other survivors are there.
func (f *fleet) informed(w wave) bool {
	for i, n := range f.nodes {
		if !w.goes(f, i) && !f.knowsOf(n, w) {
			return false
		}
	}
	return true
}

// knowsOf reports whether one survivor knows it.
func (f *fleet) knowsOf(n *node, w wave) bool {
	staying := 0
	for _, m := range n.core.Membership.Members() {
		if m.State != membership.Alive && m.State != membership.Leaving {
			return false
		}
		if m.State == membership.Alive {
			staying++
		}
	}
	want := 0
	for i := range f.nodes {
		if !w.goes(f, i) {
			want++
		}
	}
	return staying == want
}

// TestFleet_RegionsSplitAndHeal keeps the regions apart until each side holds
// the other for dead, and heals the split.
func TestFleet_RegionsSplitAndHeal(t *testing.T) {
	const phase = "regions split and healed"
	for _, size := range eventSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t, 3, size)
			f.split = true
			f.reset()
			f.runFor(2 * time.Minute)
			f.note("regions split", "control bytes, worst second of a daemon", float64(f.worst()), "B/s")
			f.split = false
			f.reset()
			start := f.now
			if !f.runUntil(5*time.Minute, f.settled) {
				t.Fatalf("not whole %s after the split was healed", f.now.Sub(start))
			}
			f.note(phase, "until whole", f.now.Sub(start).Seconds(), "s")
			f.runFor(10 * time.Second)
			f.noteEvent(phase)
		})
	}
}

// worst returns the control bytes of the worst second of any daemon.
func (f *fleet) worst() int {
	out := 0
	for _, n := range f.nodes {
		out = max(out, n.traffic.worst())
	}
	return out
}

// TestFleet_ChangeInForceInTime changes a document while messages are lost and
// each call of the table takes 1 to 3 seconds.
func TestFleet_ChangeInForceInTime(t *testing.T) {
	const (
		phase   = "change"
		changes = 5
	)
	for _, size := range eventSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t, 4, size)
			f.loss, f.table.delay = targetLoss, 2*time.Second
			f.runFor(20 * time.Second)
			var worst, sum time.Duration
			bytes, reads := 0, 0
			for range changes {
				f.reset()
				took := f.change()
				worst, sum = max(worst, took), sum+took
				for _, n := range f.nodes {
					bytes, reads = bytes+n.traffic.platform, reads+n.traffic.reads
				}
				f.note(phase, "table reads, worst second", float64(most(f.calls.reads)), "1/s")
				f.note(phase, "in force everywhere after", took.Seconds(), "s")
			}
			f.note(phase, "in force everywhere, worst", worst.Seconds(), "s")
			f.note(phase, "platform bytes", float64(bytes)/changes/float64(size), "B/change and daemon, polls included")
			f.note(phase, "table reads", float64(reads)/changes, "1/change, polls included")
			if worst > inForce {
				t.Errorf("in force after %s, at most %s", worst, inForce)
			}
		})
	}
}

// change applies a document and returns the time from the answer to the
// operator until it is in force on every daemon.
func (f *fleet) change() time.Duration {
	const limit = time.Minute
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	read := n.core.Configuration.Revision()
	f.appliedAt = time.Time{}
	f.apply(n, 0, documentRevision(n, 0))
	if !f.runUntil(limit, func() bool { return !f.appliedAt.IsZero() }) {
		f.t.Fatal("the change was not applied")
	}
	if !f.runUntil(limit, func() bool { return f.lowestRevision() > read }) {
		f.t.Fatal("the change is not in force")
	}
	return f.now.Sub(f.appliedAt)
}

// documentRevision returns the revision of a service's document.
func documentRevision(n *node, service int) uint64 {
	for _, d := range n.core.Configuration.Documents() {
		if d.Service == serviceName(service) {
			return d.Revision
		}
	}
	return 0
}

// lowestRevision returns the revision that every daemon has reached.
func (f *fleet) lowestRevision() uint64 {
	lowest := f.nodes[0].core.Configuration.Revision()
	for _, n := range f.nodes {
		lowest = min(lowest, n.core.Configuration.Revision())
	}
	return lowest
}
