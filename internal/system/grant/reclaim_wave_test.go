package grant

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
)

const (
	firstTokenTarget = 420 * time.Millisecond
	reclaimServers   = 24
	reclaimSlots     = 8
	reclaimLength    = 70 * time.Second
)

// runReclaimWave runs a load of 80%, of which a tenth is urgent, while 75% of the
// backend servers are reclaimed with 5 s of notice and replaced 15 s later. It
// returns the 95th percentile of the urgent requests' time to first token in the
// worst 10 s, and the mean number of sends per request.
func runReclaimWave(seed uint64, baseline routing.Policy) (firstToken time.Duration, sends float64) {
	const tokens = 60
	w := newWorld(seed, testService(reclaimServers, reclaimSlots))
	w.baseline = baseline
	for i := range 9 {
		w.addNode(testLocations[i%len(testLocations)], nil)
	}
	w.syncMembers()
	w.reportLoads()
	mean := prefill + tokens*w.engines[0].between
	rate := 0.8 * reclaimServers * reclaimSlots / mean.Seconds()
	var urgent []*request
	all := 0
	w.arrivals(rate, reclaimLength, func(i int) *request {
		r := testRequest(fmt.Sprintf("r-%d", i), tokens/2+w.rng.IntN(tokens+1))
		if w.rng.IntN(10) == 0 {
			r.acquisition.Priority = 0
			urgent = append(urgent, r)
		} else {
			r.acquisition.Deadline = w.now.Add(30 * time.Second)
		}
		all++
		return r
	})
	w.after(20*time.Second, w.reclaim)
	w.run(reclaimLength + 10*time.Second)
	for from := time.Duration(0); from < reclaimLength; from += shareWindow {
		firstToken = max(firstToken, percentile(urgent, w, from, from+shareWindow))
	}
	totalSends := 0
	for _, r := range append(w.finished, w.refused...) {
		totalSends += r.sendCount
	}
	return firstToken, float64(totalSends) / float64(all)
}

// percentile returns the 95th percentile of the time to first token of the
// requests that arrived in a window.
func percentile(requests []*request, w *world, from, to time.Duration) time.Duration {
	var times []time.Duration
	for _, r := range requests {
		at := r.arrived.Sub(w.start)
		if at < from || at >= to {
			continue
		}
		end := r.first
		if end.IsZero() {
			end = w.now // a lower bound
		}
		times = append(times, end.Sub(r.arrived))
	}
	slices.Sort(times)
	return times[len(times)*95/100]
}

// reclaim announces the reclaim of three in four servers, among them all of one
// data centre, kills them 5 s later and lists replacements after 15 s more.
func (w *world) reclaim() {
	var reclaimed []entity.BackendServerID
	for i, b := range w.doc.BackendServers {
		if i%4 != 1 || b.Location == testLocations[0] {
			reclaimed = append(reclaimed, b.ID)
		}
	}
	reclaimed = reclaimed[:min(len(reclaimed), len(w.doc.BackendServers)*3/4)]
	for _, id := range reclaimed {
		for _, n := range w.nodes {
			n.g.SetDraining(w.now, id, "reclaim", true)
			n.processReady()
		}
	}
	w.doc.BackendServers = slices.DeleteFunc(slices.Clone(w.doc.BackendServers), func(b entity.BackendServer) bool {
		return slices.Contains(reclaimed, b.ID)
	})
	w.after(5*time.Second, func() {
		for _, id := range reclaimed {
			w.engine(id).die()
		}
		w.syncMembers()
	})
	w.after(20*time.Second, func() {
		for i := range reclaimed {
			b := testServer(100+i, reclaimSlots)
			w.addEngine(b)
			w.doc.BackendServers = append(w.doc.BackendServers, b)
		}
		w.syncMembers()
	})
}

func TestGrants_UrgentFirstTokenDuringAReclaimWave(t *testing.T) {
	for seed := range uint64(3) {
		got, sends := runReclaimWave(seed, nil)
		t.Logf("seed %d: first token %v at the 95th percentile, %.2f sends per request", seed, got, sends)
		if got > firstTokenTarget {
			t.Errorf("seed %d: first token %v at the 95th percentile, want at most %v", seed, got, firstTokenTarget)
		}
	}
}

// BenchmarkGrants_Wave compares the urgent requests' time to first token with
// that of the baselines, which send at once to an engine's own queue.
func BenchmarkGrants_Wave(b *testing.B) {
	for range b.N {
		got, _ := runReclaimWave(1, nil)
		b.ReportMetric(got.Seconds(), "s-first-token")
		for name, p := range map[string]routing.Policy{
			"round-robin": &routing.RoundRobin{}, "power-of-two": routing.PowerOfTwo{}, "least-outstanding": routing.LeastOutstanding{},
		} {
			baseline, _ := runReclaimWave(1, p)
			b.ReportMetric(baseline.Seconds(), "s-"+name)
		}
		if got > firstTokenTarget {
			b.Errorf("first token %v, want at most %v", got, firstTokenTarget)
		}
	}
}
