package fleet

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// A service whose load is steady costs the table less than one write and three
// reads a second, whatever the service's size: renewals of the lease, and reads
// by the few daemons that watch it.
func TestSystem_SteadyServiceIsCheapForTheTable(t *testing.T) {
	w := newWorld(1, 12, testService(4, 30))
	members := idsOf(w)
	for _, n := range w.nodes {
		n.sys.SetMembers(w.now, members)
	}
	w.load = Load{Busy: 80}
	w.run(15 * time.Minute)
	clear(w.calls)
	w.run(time.Hour)
	requireTarget(t, w, 10)
	writes, reads := w.calls[provider.TransactRows], w.calls[provider.GetRow]
	t.Logf("%d writes and %d reads in an hour", writes, reads)
	if writes > 3600 || reads > 3*3600 {
		t.Fatalf("%d writes and %d reads in an hour", writes, reads)
	}
}

// BenchmarkSystem_IdleTick calls Tick on the lease holder of a steady service
// with 600 servers.
func BenchmarkSystem_IdleTick(b *testing.B) {
	w := newWorld(1, 1, testService(400, 650))
	w.load = Load{Busy: 600 * 8}
	w.run(3 * time.Hour)
	if total, _ := w.running(); total < 600 {
		b.Fatalf("%d running", total)
	}
	sys := w.nodes[0].sys
	sys.Ready()
	b.ReportAllocs()
	for b.Loop() {
		sys.Tick(w.now)
		sys.Deadline()
	}
}

// BenchmarkSystem_List applies a list of 600 instances and makes a plan.
func BenchmarkSystem_List(b *testing.B) {
	w := newWorld(1, 1, testService(400, 650))
	w.load = Load{Busy: 600 * 8}
	w.run(3 * time.Hour)
	sys := w.nodes[0].sys
	b.ReportAllocs()
	for b.Loop() {
		w.now = w.now.Add(listInterval)
		sys.SetInstances(w.now, w.list())
		sys.Tick(w.now)
		sys.Ready()
	}
}
