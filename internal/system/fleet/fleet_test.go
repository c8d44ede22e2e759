package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// requireTarget fails the test unless the number and spread of servers are what
// the policy requires.
func requireTarget(t rapid.TB, w *world, target int) {
	t.Helper()
	total, byDataCentre := w.running()
	fullest := 0
	for _, n := range byDataCentre {
		fullest = max(fullest, n)
	}
	minimum := testService(4, 30).Fleet.MinServers
	if total != target || total-fullest < minimum || w.liveInstances() != total {
		t.Fatalf("%d running in %v, %d live, want %d in total and %d after the loss of any one data centre", total, byDataCentre, w.liveInstances(), target, minimum)
	}
	requireNoViolations(t, w)
}

func requireNoViolations(t rapid.TB, w *world) {
	t.Helper()
	if len(w.violations) > 0 {
		t.Fatalf("%d violations, first:\n%s", len(w.violations), strings.Join(w.violations[:min(len(w.violations), 5)], "\n"))
	}
}

func TestSystem_ReachesTheTarget(t *testing.T) {
	w := newWorld(1, 3, testService(4, 30))
	w.load = Load{Busy: 80}
	w.run(15 * time.Minute)
	requireTarget(t, w, 10)
	if w.holderCount() != 1 || w.starts != 10 {
		t.Fatalf("%d holders, %d starts", w.holderCount(), w.starts)
	}
}

// Lost replies must start no instance twice and must not cost the lease, even
// when a transaction is sent again so late that the table has forgotten its
// token.
func TestSystem_LostRepliesStartNoneTwice(t *testing.T) {
	for _, tokensForgotten := range []bool{false, true} {
		w := newWorld(1, 3, testService(4, 30))
		w.load = Load{Busy: 80}
		w.tableReplyLoss, w.cloudReplyLoss, w.tokensForgotten = 0.3, 0.5, tokensForgotten
		w.run(30 * time.Minute)
		requireTarget(t, w, 10)
		if w.starts != 10 || w.events[event.FleetLaunchUncertain] == 0 || w.events[event.FleetLeaseLost] != 0 {
			t.Fatalf("%d starts, events %v", w.starts, w.events)
		}
	}
}

func TestSystem_ScalesInGracefully(t *testing.T) {
	for _, fences := range []bool{true, false} {
		svc := testService(4, 30)
		svc.Fleet.ChecksFences = fences
		w := newWorld(1, 3, svc)
		w.load = Load{Busy: 160}
		w.run(15 * time.Minute)
		w.load = Load{Busy: 80}
		w.run(30 * time.Minute)
		requireTarget(t, w, 10)
	}
}

// Backend servers that ignore fencing tokens are stopped one by one, each
// after the list has shown that the last one is gone, and none before the cloud
// operations of a previous holder have ended.
func TestSystem_StopsUnfencedServersOneByOne(t *testing.T) {
	svc := testService(4, 30)
	svc.Fleet.ChecksFences = false
	w := newWorld(1, 2, svc)
	w.load = Load{Busy: 160}
	w.run(15 * time.Minute)
	w.load = Load{Busy: 80}
	for len(w.stops) < 2 {
		w.run(timeStep)
	}
	w.holder().sys.Leave(w.now)
	leftAt := w.now
	w.run(30 * time.Minute)
	requireTarget(t, w, 10)
	for n, at := range w.stops[1:] {
		if at.Sub(w.stops[n]) < listLag {
			t.Fatalf("stops at %v", w.stops)
		}
		// Stops in the first 2 s may still be requests of the previous holder.
		if at.After(leftAt.Add(2*time.Second)) && at.Sub(leftAt) < defaultTakeoverWait {
			t.Fatalf("stop %v after the lease was released", at.Sub(leftAt))
		}
	}
}

func TestSystem_LeavesOtherInstancesAlone(t *testing.T) {
	w := newWorld(1, 2, testService(4, 30))
	w.load = Load{Busy: 80}
	for n, tags := range []map[string]string{nil, {ServiceTag: "b"}} {
		w.instances = append(w.instances, &fakeInstance{Instance: provider.Instance{
			ID: entity.InstanceID(fmt.Sprintf("script-%d", n)), DataCentre: "x", Class: someClass,
			Market: provider.OnDemand, State: provider.Running, Tags: tags,
		}})
	}
	w.run(15 * time.Minute)
	w.load = Load{}
	w.run(30 * time.Minute)
	requireNoViolations(t, w)
	for _, i := range w.instances[:2] {
		if !i.endedAt.IsZero() {
			t.Fatalf("%s was stopped", i.ID)
		}
	}
}

func TestSystem_ReplacesAReclaimWaveAndAvoidsRefusedChoices(t *testing.T) {
	w := newWorld(1, 3, testService(4, 30))
	w.load = Load{Busy: 80}
	w.run(15 * time.Minute)
	w.refuse["x"], w.refuse["y"] = true, true
	w.reclaim("x", 30*time.Second)
	w.run(10 * time.Minute)
	total, byDataCentre := w.running()
	if total < 10 || byDataCentre["x"] != 0 {
		t.Fatalf("%d running in %v", total, byDataCentre)
	}
	if w.events[event.FleetLaunchRefused] == 0 {
		t.Fatal("no launch was refused")
	}
	w.refuse["x"], w.refuse["y"] = false, false
	w.run(time.Hour)
	requireTarget(t, w, 10)
}

func TestSystem_FallsBackToOnDemandAndReturns(t *testing.T) {
	w := newWorld(1, 1, testService(4, 30))
	w.load = Load{Busy: 80}
	prices := w.prices
	w.prices = nil
	for _, p := range prices {
		if p.Market == provider.OnDemand {
			w.prices = append(w.prices, p)
		}
	}
	w.run(15 * time.Minute)
	requireTarget(t, w, 10)
	w.prices = prices
	w.run(2 * time.Hour)
	requireTarget(t, w, 10)
	for _, i := range w.instances {
		if i.endedAt.IsZero() && i.Market == provider.OnDemand {
			t.Fatalf("%s is on demand and still running", i.ID)
		}
	}
}

// The table is down during a mass reclaim of one data centre: reserved launches
// replace the data centre's servers, and no server is started twice once the
// table is back.
func TestSystem_ReplacesAReclaimWaveWhileTheTableIsDown(t *testing.T) {
	w := newWorld(1, 3, testService(4, 30))
	w.load = Load{Busy: 80}
	w.run(15 * time.Minute)
	w.tableDown = true
	w.run(time.Minute)
	w.reclaim("x", 30*time.Second)
	w.run(20 * time.Minute)
	if total, byDataCentre := w.running(); total != 10 {
		t.Fatalf("while the table is down: %d running in %v", total, byDataCentre)
	}
	w.tableDown = false
	w.run(time.Hour)
	requireTarget(t, w, 10)
	if w.starts > 16 {
		t.Fatalf("%d starts", w.starts)
	}
}

// While the table is down, no more servers are launched than the lease row
// reserves.
func TestSystem_LaunchesNoMoreThanTheReserve(t *testing.T) {
	w := newWorld(1, 3, testService(4, 30))
	w.load = Load{Busy: 240}
	w.run(15 * time.Minute)
	before := w.starts
	w.tableDown = true
	w.run(time.Minute)
	w.reclaim("x", 30*time.Second)
	w.reclaim("y", 30*time.Second)
	w.run(20 * time.Minute)
	// The reserve is an even share of the 30 servers for one of 3 data centres.
	if reserve := 10; w.starts-before != reserve {
		t.Fatalf("%d launches, %d reserved", w.starts-before, reserve)
	}
	w.tableDown = false
	w.run(time.Hour)
	requireTarget(t, w, 30)
}

// A load that falls and rises again within the scale-in delay must not start
// or drain servers.
func TestSystem_ShortLullTakesNothingAway(t *testing.T) {
	w := newWorld(1, 1, testService(4, 30))
	for range 6 {
		w.load = Load{Busy: 160}
		w.run(5 * time.Minute)
		w.load = Load{Busy: 40}
		w.run(5 * time.Minute)
	}
	w.load = Load{Busy: 160}
	w.run(5 * time.Minute)
	w.nodes[0].sys.Leave(w.now) // its successor does not know the earlier load
	w.nodes = append(w.nodes, newNode(w, 1, 1, testService(4, 30)))
	w.load = Load{Busy: 40}
	w.run(8 * time.Minute)
	if w.starts != 20 || w.liveInstances() != 20 || w.holderCount() != 1 {
		t.Fatalf("%d starts, %d live", w.starts, w.liveInstances())
	}
	requireNoViolations(t, w)
}

// A refused choice is tried again only after a delay, not with each plan.
func TestSystem_RefusalsAreNotRepeatedAtOnce(t *testing.T) {
	w := newWorld(1, 1, testService(4, 30))
	w.load = Load{Busy: 80}
	for dc := range map[entity.DataCentreID]bool{"x": true, "y": true, "z": true} {
		w.refuse[dc] = true
	}
	w.run(time.Hour)
	// The choices are both markets of 3 data centres. The tries of one choice
	// are 30 s, 60 s, ... up to 10 min apart, or down to half of that with
	// jitter; up to 8 launches are refused with each try.
	if n := w.events[event.FleetLaunchRefused]; n == 0 || n > 6*8*(4+12) {
		t.Fatalf("%d refused launches in an hour", n)
	}
	requireNoViolations(t, w)
}

// A lease holder is paused while another daemon takes the lease over, and
// resumes with cloud operations of its own still in flight.
func TestSystem_PausedHolderDoesNoHarm(t *testing.T) {
	w := newWorld(1, 3, testService(4, 30))
	w.load = Load{Busy: 80}
	w.run(15 * time.Minute)
	first := w.holder()
	first.paused = true
	w.run(2 * time.Minute)
	if second := w.holder(); second == nil || second == first {
		t.Fatal("no other daemon took the lease")
	}
	w.load = Load{Busy: 160}
	w.run(5 * time.Minute)
	first.resume()
	w.run(20 * time.Minute)
	requireTarget(t, w, 20)
	if w.starts != 20 || w.holderCount() != 1 {
		t.Fatalf("%d starts, %d holders", w.starts, w.holderCount())
	}
}

func TestSystem_LeaveHandsOverAtOnce(t *testing.T) {
	w := newWorld(1, 2, testService(4, 30))
	w.load = Load{Busy: 80}
	w.run(15 * time.Minute)
	first := w.holder()
	first.sys.Leave(w.now)
	w.run(12 * time.Second) // less than the lease duration
	if second := w.holder(); second == nil || second == first {
		t.Fatal("the lease was not taken over")
	}
}

func TestSystem_RouteModeTouchesNothing(t *testing.T) {
	svc := testService(4, 30)
	svc.Mode = entity.ModeRoute
	w := newWorld(1, 1, svc)
	w.run(5 * time.Minute)
	if w.starts != 0 || len(w.rows) != 0 {
		t.Fatalf("%d starts, %d rows", w.starts, len(w.rows))
	}
}

// Runs random sequences of faults: paused daemons, a table that is down or
// loses replies, cloud operations that are late or lose replies, mass reclaims,
// refusals and load changes. No invariant may be violated at any time, and once
// all faults have ended the fleet must be what the policy requires.
func TestSystem_SurvivesMixedFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		svc := testService(4, 30)
		svc.Fleet.ChecksFences = rapid.Bool().Draw(t, "fences")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 3, svc)
		w.load = Load{Busy: 80}
		w.run(10 * time.Minute)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			w.fault(t)
			w.run(time.Duration(rapid.IntRange(10, 400).Draw(t, "seconds")) * time.Second)
		}
		w.clearFaults()
		w.run(time.Hour)
		requireTarget(t, w, 10)
		if w.holderCount() != 1 {
			t.Fatalf("%d holders", w.holderCount())
		}
	})
}

// fault starts or ends a random fault.
func (w *world) fault(t *rapid.T) {
	node := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
	dc := rapid.SampledFrom(testService(0, 0).Fleet.DataCentres).Draw(t, "data centre")
	switch rapid.IntRange(0, 8).Draw(t, "fault") {
	case 0:
		node.paused = true
	case 1:
		node.resume()
	case 2:
		w.tableDown = !w.tableDown
	case 3:
		w.tableReplyLoss, w.tokensForgotten = 0.3, true
	case 4:
		w.cloudReplyLoss = 0.3
	case 5:
		w.maxCloudDelay = 90 * time.Second
	case 6:
		w.reclaim(dc, 30*time.Second)
	case 7:
		w.refuse[dc] = !w.refuse[dc]
	case 8:
		w.load.Busy = rapid.IntRange(0, 200).Draw(t, "busy")
	}
}

func (w *world) clearFaults() {
	w.tableDown, w.tableReplyLoss, w.cloudReplyLoss, w.maxCloudDelay = false, 0, 0, 0
	clear(w.refuse)
	w.load = Load{Busy: 80}
	for _, n := range w.nodes {
		n.resume()
	}
}
