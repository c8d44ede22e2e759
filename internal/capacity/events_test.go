package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
)

// eventFleetSizes returns the numbers of daemons that tests of failures and of
// configuration changes run with.
func eventFleetSizes() []int {
	if *figuresPath != "" {
		return []int{30, fullDaemonCount}
	}
	return []int{30}
}

// recordEventFigures records the traffic since the last resetTraffic as the costs
// of an event.
func (f *fleet) recordEventFigures(phase string) {
	worstSecond, sum, live := 0, 0, 0
	for _, n := range f.nodes {
		worstSecond, sum = max(worstSecond, n.traffic.worstSecondControlBytes()), sum+n.traffic.totalControlBytes()
		if !n.dead {
			live++
		}
	}
	f.recordFigure(phase, "control bytes, worst second of a daemon", float64(worstSecond), "B/s")
	f.recordFigure(phase, "control bytes", float64(sum)/float64(live), "B and live daemon")
	f.recordFigure(phase, "table reads, worst second", float64(maxCount(f.tableCalls.reads)), "1/s")
	f.recordFigure(phase, "table transactions, worst second", float64(maxCount(f.tableCalls.writes)), "1/s")
}

// massLoss is a simultaneous loss of many daemons.
type massLoss struct {
	name         string
	noticePeriod time.Duration // of the reclaim; 0: killed without notice
	affects      func(f *fleet, i int) bool
}

// massLosses lists the losses to test: one of the data centres, and three quarters
// of the daemons without and with notice.
func massLosses() []massLoss {
	dataCentre := func(_ *fleet, i int) bool { return i%dataCentreCount == 2 }
	threeQuarters := func(_ *fleet, i int) bool { return i%4 != 0 }
	const noticePeriod = 30 * time.Second
	return []massLoss{
		{"data centre killed", 0, dataCentre},
		{"three quarters killed", 0, threeQuarters},
		{"three quarters with notice", noticePeriod, threeQuarters},
	}
}

// TestFleet_Wave removes many daemons at once under load. The survivors must
// notice the loss and agree on the members. Journal shards must find new owners, so
// that requests with a key, and the others, are answered again.
func TestFleet_Wave(t *testing.T) {
	for _, size := range eventFleetSizes() {
		for _, loss := range massLosses() {
			t.Run(fmt.Sprintf("%d %s", size, loss.name), func(t *testing.T) { runMassLoss(t, size, loss) })
		}
	}
}

func runMassLoss(t *testing.T, size int, loss massLoss) {
	const tokensPerInput = 20
	f := newFleet(t, 2, size)
	f.startLoad(tokensPerInput)
	f.runFor(8 * time.Second)
	f.resetTraffic()
	start := f.now
	for i, n := range f.nodes {
		switch {
		case !loss.affects(f, i):
		case loss.noticePeriod > 0:
			n.postInput(core.ReclaimNotice{Notice: provider.ReclaimNotice{ReclaimAt: f.now.Add(loss.noticePeriod)}})
		default:
			n.dead = true
		}
	}
	if !f.runUntil(2*time.Minute, func() bool { return f.survivorsInformed(loss) }) {
		t.Fatalf("not all survivors had noticed the loss of daemons after %s", f.now.Sub(start))
	}
	f.recordFigure(loss.name, "until all survivors know", f.now.Sub(start).Seconds(), "s")
	f.runFor(loss.noticePeriod + 20*time.Second)
	if !f.converged() {
		t.Error("not every survivor knows exactly the live daemons and has all documents after the loss of daemons")
	}
	f.recordEventFigures(loss.name)
	before := f.load.answered
	f.runFor(5 * time.Second)
	if f.load.answered == before {
		t.Error("no request was answered after the loss of daemons")
	}
}

// survivorsInformed reports whether every survivor of a mass loss sees the lost
// daemons as leaving or no longer as members, and the other survivors as alive.
func (f *fleet) survivorsInformed(loss massLoss) bool {
	for i, n := range f.nodes {
		if !loss.affects(f, i) && !f.knowsSurvivors(n, loss) {
			return false
		}
	}
	return true
}

// knowsSurvivors reports whether daemon n sees as many members alive as there are
// survivors of a mass loss, and no member in a state other than alive or leaving.
func (f *fleet) knowsSurvivors(n *node, loss massLoss) bool {
	alive := 0
	for _, m := range n.core.Membership.Members() {
		if m.State != membership.Alive && m.State != membership.Leaving {
			return false
		}
		if m.State == membership.Alive {
			alive++
		}
	}
	survivors := 0
	for i := range f.nodes {
		if !loss.affects(f, i) {
			survivors++
		}
	}
	return alive == survivors
}

// TestFleet_RegionsSplitAndHeal drops all messages between the two regions until
// each side has declared the other dead, and then lets them pass again.
func TestFleet_RegionsSplitAndHeal(t *testing.T) {
	const phase = "regions split and healed"
	for _, size := range eventFleetSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t, 3, size)
			f.regionsSplit = true
			f.resetTraffic()
			f.runFor(2 * time.Minute)
			f.recordFigure("regions split", "control bytes, worst second of a daemon", float64(f.worstSecondControlBytes()), "B/s")
			f.regionsSplit = false
			f.resetTraffic()
			start := f.now
			if !f.runUntil(5*time.Minute, f.converged) {
				t.Fatalf("the regions have not joined again %s after the split ended", f.now.Sub(start))
			}
			f.recordFigure(phase, "until whole", f.now.Sub(start).Seconds(), "s")
			f.runFor(10 * time.Second)
			f.recordEventFigures(phase)
		})
	}
}

// worstSecondControlBytes returns the largest number of control bytes that any
// daemon sent within one second.
func (f *fleet) worstSecondControlBytes() int {
	out := 0
	for _, n := range f.nodes {
		out = max(out, n.traffic.worstSecondControlBytes())
	}
	return out
}

// TestFleet_ChangeInForceInTime changes a document while peer messages are lost
// and each call of the table service takes 1 to 3 seconds.
func TestFleet_ChangeInForceInTime(t *testing.T) {
	const (
		phase   = "change"
		changes = 5
	)
	for _, size := range eventFleetSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t, 4, size)
			f.lossRatio, f.table.callDelay = messageLossRatio, 2*time.Second
			f.runFor(20 * time.Second)
			var maxDelay, sum time.Duration
			bytes, reads := 0, 0
			for range changes {
				f.resetTraffic()
				delay := f.measureChange()
				maxDelay, sum = max(maxDelay, delay), sum+delay
				for _, n := range f.nodes {
					bytes, reads = bytes+n.traffic.platformBytes, reads+n.traffic.reads
				}
				f.recordFigure(phase, "table reads, worst second", float64(maxCount(f.tableCalls.reads)), "1/s")
				f.recordFigure(phase, "in force everywhere after", delay.Seconds(), "s")
			}
			f.recordFigure(phase, "in force everywhere, worst", maxDelay.Seconds(), "s")
			f.recordFigure(phase, "platform bytes", float64(bytes)/changes/float64(size), "B/change and daemon, polls included")
			f.recordFigure(phase, "table reads", float64(reads)/changes, "1/change, polls included")
			if maxDelay > maxChangeDelay {
				t.Errorf("a change was in force on all daemons after %s, want at most %s", maxDelay, maxChangeDelay)
			}
		})
	}
}

// measureChange applies a document through a random daemon and returns the time
// from the answer to the operator until the change is in force on every daemon.
func (f *fleet) measureChange() time.Duration {
	const timeout = time.Minute
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	readRevision := n.core.Configuration.Revision()
	f.appliedAt = time.Time{}
	f.applyDocument(n, 0, documentRevision(n, 0))
	if !f.runUntil(timeout, func() bool { return !f.appliedAt.IsZero() }) {
		f.t.Fatal("the change was not accepted within a minute")
	}
	if !f.runUntil(timeout, func() bool { return f.lowestRevision() > readRevision }) {
		f.t.Fatal("the accepted change was not in force on all daemons within a minute")
	}
	return f.now.Sub(f.appliedAt)
}

// documentRevision returns the revision of a service's document on daemon n; 0:
// it has none.
func documentRevision(n *node, service int) uint64 {
	for _, d := range n.core.Configuration.Documents() {
		if d.Service == serviceName(service) {
			return d.Revision
		}
	}
	return 0
}

// lowestRevision returns the highest revision that all daemons have reached.
func (f *fleet) lowestRevision() uint64 {
	lowest := f.nodes[0].core.Configuration.Revision()
	for _, n := range f.nodes {
		lowest = min(lowest, n.core.Configuration.Revision())
	}
	return lowest
}
