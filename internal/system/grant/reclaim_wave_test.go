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
	waveServers      = 24
	waveSlots        = 8
	waveLength       = 70 * time.Second
)

// wave runs a load of 80%, of which a tenth is urgent, while 75% of the
// backend servers are reclaimed with 5 s of notice and replaced 15 s later. It
// returns the 95th percentile of the urgent requests' time to first token in the
// worst 10 s, and the mean number of sends for each request.
func wave(seed uint64, baseline routing.Policy) (first time.Duration, sends float64) {
	const tokens = 60
	w := newWorld(seed, testService(waveServers, waveSlots))
	w.baseline = baseline
	for i := range 9 {
		w.addNode(testPlaces[i%len(testPlaces)], nil)
	}
	w.meet()
	w.reportLoads()
	mean := prefill + tokens*w.engines[0].between
	rate := 0.8 * waveServers * waveSlots / mean.Seconds()
	var urgent []*request
	all := 0
	w.arrivals(rate, waveLength, func(i int) *request {
		r := testRequest(fmt.Sprintf("r-%d", i), tokens/2+w.rng.IntN(tokens+1))
		if w.rng.IntN(10) == 0 {
			r.want.Priority = 0
			urgent = append(urgent, r)
		} else {
			r.want.Deadline = w.now.Add(30 * time.Second)
		}
		all++
		return r
	})
	w.after(20*time.Second, w.reclaim)
	w.run(waveLength + 10*time.Second)
	for from := time.Duration(0); from < waveLength; from += shareWindow {
		first = max(first, percentile(urgent, w, from, from+shareWindow))
	}
	runs := 0
	for _, r := range append(w.finished, w.refused...) {
		runs += r.run
	}
	return first, float64(runs) / float64(all)
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
			end = w.now // or later
		}
		times = append(times, end.Sub(r.arrived))
	}
	slices.Sort(times)
	return times[len(times)*95/100]
}

// reclaim announces the loss of three in four servers, a data centre's whole
// part among them, kills them 5 s later and lists replacements after 15 s more.
func (w *world) reclaim() {
	var lost []entity.BackendServerID
	for i, b := range w.doc.BackendServers {
		if i%4 != 1 || b.Place == testPlaces[0] {
			lost = append(lost, b.ID)
		}
	}
	lost = lost[:min(len(lost), len(w.doc.BackendServers)*3/4)]
	for _, id := range lost {
		for _, n := range w.nodes {
			n.g.SetLeaving(w.now, id, "reclaim", true)
			n.drain()
		}
	}
	w.doc.BackendServers = slices.DeleteFunc(slices.Clone(w.doc.BackendServers), func(b entity.BackendServer) bool {
		return slices.Contains(lost, b.ID)
	})
	w.after(5*time.Second, func() {
		for _, id := range lost {
			w.engine(id).die()
		}
		w.meet()
	})
	w.after(20*time.Second, func() {
		for i := range lost {
			b := testServer(100+i, waveSlots)
			w.addEngine(b)
			w.doc.BackendServers = append(w.doc.BackendServers, b)
		}
		w.meet()
	})
}

func TestGrants_UrgentFirstTokenThroughAWave(t *testing.T) {
	for seed := range uint64(3) {
		got, sends := wave(seed, nil)
		t.Logf("seed %d: first token %v, %.2f sends each", seed, got, sends)
		if got > firstTokenTarget {
			t.Errorf("seed %d: first token %v at the 95th percentile, want %v", seed, got, firstTokenTarget)
		}
	}
}

// BenchmarkGrants_Wave compares the urgent requests' first token with the
// baselines, which send at once to an engine's own queue.
func BenchmarkGrants_Wave(b *testing.B) {
	for range b.N {
		got, _ := wave(1, nil)
		b.ReportMetric(got.Seconds(), "s-first-token")
		for name, p := range map[string]routing.Policy{
			"round-robin": &routing.RoundRobin{}, "power-of-two": routing.PowerOfTwo{}, "least-outstanding": routing.LeastOutstanding{},
		} {
			baseline, _ := wave(1, p)
			b.ReportMetric(baseline.Seconds(), "s-"+name)
		}
		if got > firstTokenTarget {
			b.Errorf("first token %v, want %v", got, firstTokenTarget)
		}
	}
}
