package shedding

import (
	"math/rand/v2"
	"testing"
	"time"
)

var zero = time.Unix(0, 0)

// play sends requests of two ranks to a service of some slots from several daemons, each of
// which sees only its own requests, and returns the served ratio by rank and the highest number
// and the mean number of requests in flight.
func play(daemons, slots int, perSecond [2]float64, hold time.Duration) (served [2]float64, most int, mean float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	type end struct {
		at     time.Time
		daemon int
		rank   int
	}
	shedders := make([]*Shedder, daemons)
	for i := range shedders {
		shedders[i] = New()
	}
	var ends []end
	var asked, got [2]float64
	const step, length = time.Millisecond, 20 * time.Second
	for now := zero; now.Sub(zero) < length; now = now.Add(step) {
		kept := ends[:0]
		for _, e := range ends {
			if e.at.After(now) {
				kept = append(kept, e)
				continue
			}
			shedders[e.daemon].Release(now, "s", e.rank, hold)
		}
		ends = kept
		for rank, rate := range perSecond {
			if rng.Float64() >= rate*step.Seconds() {
				continue
			}
			d := rng.IntN(daemons)
			asked[rank]++
			shedders[d].Arrive(now, "s", rank, hold)
			room := Room{Servers: slots / 12, Slots: slots, Taken: float64(slots), Share: 1 / float64(daemons)}
			if shedders[d].Decide(now, Request{Service: "s", Rank: rank, Draw: rng.Float64()}, room).Reason == "" {
				got[rank]++
				shedders[d].Send(now, "s", rank)
				ends = append(ends, end{now.Add(hold), d, rank})
			}
		}
		most = max(most, len(ends))
		mean += float64(len(ends)) / float64(length/step)
	}
	return [2]float64{got[0] / asked[0], got[1] / asked[1]}, most, mean
}

// TestDecide_DaemonsTogetherKeepToTheSlots guards against daemons that each take the same free
// slots. Nothing tells them of each other's requests.
func TestDecide_DaemonsTogetherKeepToTheSlots(t *testing.T) {
	for _, daemons := range []int{1, 9, 89, 195} {
		if _, most, _ := play(daemons, 240, [2]float64{400, 400}, time.Second); most > 240 {
			t.Errorf("%d daemons: %d requests at 240 slots", daemons, most)
		}
	}
}

// TestDecide_UrgentFirstButNoneStarves guards against a rank that is served less often than a
// less urgent one, and against one that gets less than a quarter of the overall share.
func TestDecide_UrgentFirstButNoneStarves(t *testing.T) {
	for _, daemons := range []int{1, 9, 89, 195} {
		for _, load := range [][2]float64{{100, 400}, {300, 100}, {400, 400}} {
			served, _, _ := play(daemons, 240, load, time.Second)
			overall := (served[0]*load[0] + served[1]*load[1]) / (load[0] + load[1])
			if served[0] < served[1] || served[1] < overall/4 {
				t.Errorf("%d daemons, load %v: served %.2f of the urgent and %.2f of the others", daemons, load, served[0], served[1])
			}
		}
	}
}

// TestDecide_PartsBelowOneSlot guards against daemons that never send since their part is
// smaller than one slot, and against more requests than slots over time.
func TestDecide_PartsBelowOneSlot(t *testing.T) {
	served, _, mean := play(73, 24, [2]float64{300, 0}, 100*time.Millisecond)
	if mean > 24 || served[0] < 0.25 {
		t.Fatalf("%.1f requests at 24 slots on average, %.2f served", mean, served[0])
	}
}

// TestDecide_LateRequestsDisplaceNone guards against requests that take slots although their
// first event will be late, and against refusing them while slots are free.
func TestDecide_LateRequestsDisplaceNone(t *testing.T) {
	late := Request{Service: "s", Expected: 2 * time.Second, Objective: time.Second}
	if d := New().Decide(zero, late, Room{Servers: 2, Slots: 24, Taken: 24, Share: 1}); d.Reason != Late {
		t.Errorf("while short of room: %q", d.Reason)
	}
	if d := New().Decide(zero, late, Room{Servers: 2, Slots: 24, Taken: 4, Share: 1}); d.Reason != "" {
		t.Errorf("while slots are free: %q", d.Reason)
	}
}
