package capacity

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

func testDataCentres() []DataCentreState {
	return []DataCentreState{{DataCentre: "a", Price: 1}, {DataCentre: "b", Price: 1.2}, {DataCentre: "c", Price: 0.8}}
}

// dataCentresWith returns testDataCentres with the given numbers of reclaimable
// servers.
func dataCentresWith(reclaimable ...int) []DataCentreState {
	out := testDataCentres()
	for i, n := range reclaimable {
		out[i].Reclaimable = n
	}
	return out
}

func sum(targets []Target) (onDemand, reclaimable int) {
	for _, target := range targets {
		onDemand += target.OnDemand
		reclaimable += target.Reclaimable
	}
	return onDemand, reclaimable
}

func TestPlan_OneDataCentresReclaimLeavesEnough(t *testing.T) {
	const busyServers = 6.0
	targets := Plan(Input{DataCentres: dataCentresWith(4, 4, 4), Min: 1, Max: 8, ReclaimablePrice: 0.15, BusyServers: busyServers, OnDemandBusy: busyServers})
	onDemand, reclaimable := sum(targets)
	for _, target := range targets {
		if left := onDemand + reclaimable - target.Reclaimable; float64(left) < busyServers {
			t.Errorf("%d servers are left without %s, %v are busy", left, target.DataCentre, busyServers)
		}
	}
}

func TestPlan_ReclaimWaveIsReplacedOnDemand(t *testing.T) {
	in := Input{DataCentres: dataCentresWith(4, 4, 4), Min: 1, Max: 8, ReclaimablePrice: 0.15, BusyServers: 6, OnDemandBusy: 6}
	before, _ := sum(Plan(in))
	var reclaimable int
	for lost, left := range []int{8, 4, 0} { // one, two and all data centres lose their reclaimable servers
		in.DataCentres[lost].Reclaimable, in.DataCentres[lost].Exhausted = 0, true
		var after int
		after, reclaimable = sum(Plan(in))
		if float64(after+left) < in.BusyServers {
			t.Fatalf("%d servers after the mass reclaim, %v are busy", after+left, in.BusyServers)
		}
		if left == 0 && after <= before {
			t.Fatalf("%d on demand after all reclaimable servers are gone, %d before", after, before)
		}
	}
	if reclaimable < 10 {
		t.Fatalf("the target has only %d reclaimable servers for the time after the mass reclaim", reclaimable)
	}
}

// TestPlan_NextReclaimIsCoveredBeforeItComes replays mass reclaims that follow each other
// faster than a replacement starts: whatever data centre is next, the servers that then
// exist must carry the load. Without reclaims no on-demand server is paid for.
func TestPlan_NextReclaimIsCoveredBeforeItComes(t *testing.T) {
	for _, test := range []struct{ reclaimable []int }{{[]int{6, 5, 5}}, {[]int{0, 5, 5}}, {[]int{0, 0, 5}}, {[]int{0, 0, 0}}} {
		in := Input{DataCentres: dataCentresWith(test.reclaimable...), Min: 0, Max: 9, ReclaimablePrice: 0.15, BusyServers: 6, OnDemandBusy: 6}
		lost := 0
		for i := range in.DataCentres {
			in.DataCentres[i].Exhausted = in.DataCentres[i].Reclaimable == 0
			lost = max(lost, in.DataCentres[i].Reclaimable)
		}
		onDemand, _ := sum(Plan(in))
		left := onDemand - lost
		for _, n := range test.reclaimable {
			left += n
		}
		if float64(left) < 0.85*in.BusyServers {
			t.Errorf("reclaimable servers %v: %d servers are left after the next mass reclaim, %v are busy", test.reclaimable, left, in.BusyServers)
		}
		if test.reclaimable[0] > 0 && onDemand > 0 {
			t.Errorf("%d on-demand servers although the reclaimable ones outlast a mass reclaim", onDemand)
		}
	}
}

// TestPlan_ReclaimWaveAtTheLimitLeavesTheOthersAlone simulates a mass reclaim
// in one of three data centres while the plan is near the maximum number of
// servers. The on-demand servers that replace the lost ones must not displace
// the reclaimable servers in the other data centres.
func TestPlan_ReclaimWaveAtTheLimitLeavesTheOthersAlone(t *testing.T) {
	in := Input{DataCentres: dataCentresWith(45, 45, 45), Min: 1, Max: 60, ReclaimablePrice: 0.18, BusyServers: 150, OnDemandBusy: 150}
	before := Plan(in)
	in.DataCentres[1].Reclaimable, in.DataCentres[1].Exhausted = 0, true
	after := Plan(in)
	if onDemand, _ := sum(after); float64(onDemand+45+45) < 0.95*in.BusyServers {
		t.Errorf("%d on demand and 90 reclaimable servers after the mass reclaim, %v are busy", onDemand, in.BusyServers)
	}
	for i := range after {
		if after[i].DataCentre != "b" && after[i].Reclaimable < before[i].Reclaimable {
			t.Errorf("target %+v, %+v before the mass reclaim in another data centre", after[i], before[i])
		}
	}
}

// TestPlan_OnDemandStaysUntilReclaimableServersAreThere simulates the end of a
// mass reclaim in all data centres: new reclaimable servers are available
// again, but are still starting. On-demand servers must not be removed before
// these run.
func TestPlan_OnDemandStaysUntilReclaimableServersAreThere(t *testing.T) {
	in := Input{DataCentres: testDataCentres(), Min: 1, Max: 8, ReclaimablePrice: 0.18, BusyServers: 10.4, OnDemandBusy: 10.4}
	for i := range in.DataCentres {
		in.DataCentres[i].OnDemand = 4
	}
	for booted := range 5 {
		for i := range in.DataCentres {
			in.DataCentres[i].Reclaimable = booted
		}
		if onDemand, _ := sum(Plan(in)); float64(onDemand+3*booted) < 0.95*in.BusyServers {
			t.Errorf("%d on demand with %d reclaimable servers, %v are busy", onDemand, 3*booted, in.BusyServers)
		}
	}
}

func TestPlan_StaysWithinBounds(t *testing.T) {
	for _, busyServers := range []float64{0, 0.1, 3, 50} {
		for _, target := range Plan(Input{DataCentres: testDataCentres(), Min: 2, Max: 5, ReclaimablePrice: 0.15, BusyServers: busyServers, OnDemandBusy: busyServers}) {
			if n := target.OnDemand + target.Reclaimable; n < 2 || n > 5 {
				t.Errorf("%v busy servers: %d servers in %s, want 2 to 5", busyServers, n, target.DataCentre)
			}
		}
	}
}

func TestPlan_ExpensiveReclaimableServersAreNotUsed(t *testing.T) {
	onDemand, reclaimable := sum(Plan(Input{DataCentres: testDataCentres(), Min: 0, Max: 9, ReclaimablePrice: 0.9, BusyServers: 4, OnDemandBusy: 4}))
	if reclaimable != 0 || onDemand < 5 {
		t.Fatalf("%d on demand, %d reclaimable at nine tenths of the on-demand price", onDemand, reclaimable)
	}
}

func TestPlan_CheapestDataCentreFirst(t *testing.T) {
	targets := Plan(Input{DataCentres: testDataCentres(), Min: 0, Max: 8, ReclaimablePrice: 0.9, BusyServers: 0.5, OnDemandBusy: 0.5})
	for _, target := range targets {
		if target.OnDemand > 0 && target.DataCentre != entity.DataCentreID("c") {
			t.Fatalf("on-demand servers in %s, which is not the cheapest data centre", target.DataCentre)
		}
	}
}

// TestLevel_TroughKeepsCapacity simulates a demand that rises and falls with a
// period of 40 s. With such a demand, the plan once fell to two servers just
// before the peak.
func TestLevel_TroughKeepsCapacity(t *testing.T) {
	var l Level
	now := time.Unix(0, 0)
	for second := range 120 {
		busyServers := 4.0
		if second%40 >= 20 {
			busyServers = 1.5
		}
		level := l.Update(now.Add(time.Duration(second)*time.Second), busyServers)
		if second > 0 && level < 4 {
			t.Fatalf("level %.1f in second %d, want at least 4", level, second)
		}
	}
}

func TestLevel_LowerDemandThatLastsShrinks(t *testing.T) {
	var l Level
	now := time.Unix(0, 0)
	l.Update(now, 8)
	for second := range 60 {
		l.Update(now.Add(time.Duration(second)*time.Second), 2)
	}
	if l.BusyServers() > 2 {
		t.Fatalf("level %.1f after a minute at a demand of 2", l.BusyServers())
	}
}

func TestLevel_NextHolderGoesOn(t *testing.T) {
	var l Level
	l.Adopt(6)
	if got := l.Update(time.Unix(0, 0), 1); got != 6 {
		t.Fatalf("a new lease holder planned for %.1f busy servers, its predecessor for 6", got)
	}
}

// TestPlan_ServersWithLimitsAreReplaced: most servers take next to nothing.
func TestPlan_ServersWithLimitsAreReplaced(t *testing.T) {
	in := Input{DataCentres: dataCentresWith(5, 5, 5), Min: 1, Max: 8, ReclaimablePrice: 0.15, BusyServers: 5, OnDemandBusy: 5}
	onDemandBefore, reclaimableBefore := sum(Plan(in))
	in.Withheld = 6.9
	onDemand, reclaimable := sum(Plan(in))
	if onDemand != onDemandBefore || reclaimable != reclaimableBefore+6 {
		t.Fatalf("planned %d on demand and %d reclaimable, want %d and %d", onDemand, reclaimable, onDemandBefore, reclaimableBefore+6)
	}
	for i := range in.DataCentres {
		in.DataCentres[i].Exhausted = true
	}
	if onDemand, reclaimable := sum(Plan(in)); onDemand < onDemandBefore+6 || reclaimable > reclaimableBefore {
		t.Fatalf("planned %d on demand and %d reclaimable where none are to be had, want at least %d and at most %d", onDemand, reclaimable, onDemandBefore+6, reclaimableBefore)
	}
	in.Withheld = 100
	for _, target := range Plan(in) {
		if target.total() > in.Max {
			t.Fatalf("planned %+v, at most %d servers are allowed", target, in.Max)
		}
	}
}
