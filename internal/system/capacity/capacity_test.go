package capacity

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

func places() []Place {
	return []Place{{DataCentre: "a", Price: 1}, {DataCentre: "b", Price: 1.2}, {DataCentre: "c", Price: 0.8}}
}

// placesWith returns the places with reclaimable servers in each.
func placesWith(reclaimable ...int) []Place {
	out := places()
	for i, n := range reclaimable {
		out[i].Reclaimable = n
	}
	return out
}

func sum(wants []Want) (onDemand, reclaimable int) {
	for _, w := range wants {
		onDemand += w.OnDemand
		reclaimable += w.Reclaimable
	}
	return onDemand, reclaimable
}

func TestPlan_OneDataCentresReclaimLeavesEnough(t *testing.T) {
	const work = 6.0
	wants := Plan(Input{Places: placesWith(4, 4, 4), Min: 1, Max: 8, ReclaimablePrice: 0.15, Work: work})
	onDemand, reclaimable := sum(wants)
	for _, w := range wants {
		if left := onDemand + reclaimable - w.Reclaimable; float64(left) < work {
			t.Errorf("%d servers are left without %s, %v are busy", left, w.DataCentre, work)
		}
	}
}

func TestPlan_WaveIsFilledOnDemand(t *testing.T) {
	in := Input{Places: placesWith(4, 4, 4), Min: 1, Max: 8, ReclaimablePrice: 0.15, Work: 6}
	before, _ := sum(Plan(in))
	var reclaimable int
	for lost, left := range []int{8, 4, 0} { // one, two and all data centres are lost
		in.Places[lost].Reclaimable, in.Places[lost].Dry = 0, true
		var after int
		after, reclaimable = sum(Plan(in))
		if float64(after+left) < in.Work {
			t.Fatalf("%d servers after the wave, %v are busy", after+left, in.Work)
		}
		if left == 0 && after <= before {
			t.Fatalf("%d on demand after all reclaimable servers are gone, %d before", after, before)
		}
	}
	if reclaimable < 10 {
		t.Fatalf("only %d reclaimable servers stay ordered for the time after the wave", reclaimable)
	}
}

// TestPlan_WaveAtTheLimitLeavesTheOthersAlone replays a wave through one of three
// data centres while the plan is near the most servers allowed: what is ordered
// on demand for it must not drive the reclaimable ones out of the others.
func TestPlan_WaveAtTheLimitLeavesTheOthersAlone(t *testing.T) {
	in := Input{Places: placesWith(45, 45, 45), Min: 1, Max: 60, ReclaimablePrice: 0.18, Work: 150}
	before := Plan(in)
	in.Places[1].Reclaimable, in.Places[1].Dry = 0, true
	after := Plan(in)
	if onDemand, _ := sum(after); float64(onDemand+45+45) < 0.95*in.Work {
		t.Errorf("%d on demand and 90 reclaimable servers after the wave, %v are busy", onDemand, in.Work)
	}
	for i := range after {
		if after[i].DataCentre != "b" && after[i].Reclaimable < before[i].Reclaimable {
			t.Errorf("%+v, %+v before a wave elsewhere", after[i], before[i])
		}
	}
}

// TestPlan_OnDemandStaysUntilReclaimableServersAreThere replays the end of a wave
// through all data centres: the orders are accepted again, the servers still
// start.
func TestPlan_OnDemandStaysUntilReclaimableServersAreThere(t *testing.T) {
	in := Input{Places: places(), Min: 1, Max: 8, ReclaimablePrice: 0.18, Work: 10.4}
	for i := range in.Places {
		in.Places[i].OnDemand = 4
	}
	for booted := range 5 {
		for i := range in.Places {
			in.Places[i].Reclaimable = booted
		}
		if onDemand, _ := sum(Plan(in)); float64(onDemand+3*booted) < 0.95*in.Work {
			t.Errorf("%d on demand with %d reclaimable servers, %v are busy", onDemand, 3*booted, in.Work)
		}
	}
}

func TestPlan_KeepsBounds(t *testing.T) {
	for _, work := range []float64{0, 0.1, 3, 50} {
		for _, w := range Plan(Input{Places: places(), Min: 2, Max: 5, ReclaimablePrice: 0.15, Work: work}) {
			if n := w.OnDemand + w.Reclaimable; n < 2 || n > 5 {
				t.Errorf("work %v: %d servers in %s, want 2 to 5", work, n, w.DataCentre)
			}
		}
	}
}

func TestPlan_DearReclaimableServersAreLeft(t *testing.T) {
	onDemand, reclaimable := sum(Plan(Input{Places: places(), Min: 0, Max: 9, ReclaimablePrice: 0.9, Work: 4}))
	if reclaimable != 0 || onDemand < 5 {
		t.Fatalf("%d on demand, %d reclaimable at nine tenths of the price", onDemand, reclaimable)
	}
}

func TestPlan_CheapestDataCentreFirst(t *testing.T) {
	wants := Plan(Input{Places: places(), Min: 0, Max: 8, ReclaimablePrice: 0.9, Work: 0.5})
	for _, w := range wants {
		if w.OnDemand > 0 && w.DataCentre != entity.DataCentreID("c") {
			t.Fatalf("ordered in %s", w.DataCentre)
		}
	}
}

// TestLevel_TroughKeepsCapacity replays a demand that swings with a period of
// 40 s, as on the day on which the plan fell to two servers before the peak.
func TestLevel_TroughKeepsCapacity(t *testing.T) {
	var l Level
	now := time.Unix(0, 0)
	for second := range 120 {
		work := 4.0
		if second%40 >= 20 {
			work = 1.5
		}
		level := l.Follow(now.Add(time.Duration(second)*time.Second), work)
		if second > 0 && level < 4 {
			t.Fatalf("level %.1f in second %d", level, second)
		}
	}
}

func TestLevel_LowerDemandThatLastsShrinks(t *testing.T) {
	var l Level
	now := time.Unix(0, 0)
	l.Follow(now, 8)
	for second := range 60 {
		l.Follow(now.Add(time.Duration(second)*time.Second), 2)
	}
	if l.Work() > 2 {
		t.Fatalf("level %.1f after a minute of 2", l.Work())
	}
}

func TestLevel_NextHolderGoesOn(t *testing.T) {
	var l Level
	l.Adopt(6)
	if got := l.Follow(time.Unix(0, 0), 1); got != 6 {
		t.Fatalf("a new holder planned for %.1f, its predecessor for 6", got)
	}
}
