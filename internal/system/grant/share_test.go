package grant

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	shareTarget = 0.95 // minimum ratio of an organisation's throughput to its share
	shareWindow = 10 * time.Second
)

// runFlood runs a large organisation that offers 20 times its share beside a
// small one that offers 1.5 times its own. It returns the lowest ratio in any
// window of the small one's throughput to its share.
func runFlood(seed uint64, weight int, tune func(*world)) float64 {
	const servers, slots, tokens = 12, 8, 40
	w := newWorld(seed, testService(servers, slots))
	w.doc.Organisations[0].Weight = weight
	if tune != nil {
		tune(w)
	}
	for i := range 9 {
		w.addNode(testLocations[i%len(testLocations)], nil)
	}
	w.syncMembers()
	mean := prefill + tokens*w.engines[0].between
	capacity := servers * slots / mean.Seconds()
	share := 1 / float64(1+weight)
	const length = 40 * time.Second
	offer := func(org entity.OrganisationID, rate float64) {
		w.arrivals(rate, length, func(i int) *request {
			r := testRequest(fmt.Sprintf("%s-%d", org, i), tokens/2+w.rng.IntN(tokens+1))
			r.acquisition.Organisation = org
			r.acquisition.Deadline = w.now.Add(8 * time.Second)
			return r
		})
	}
	offer("large", 20*capacity*(1-share))
	offer("small", 1.5*capacity*share)
	w.run(length)
	return lowestShare(w, share, length)
}

// lowestShare returns the lowest ratio of the small organisation's throughput to
// its share over all windows that start a second apart. The first starts after
// one window.
func lowestShare(w *world, share float64, length time.Duration) float64 {
	lowest := 1e9
	for from := shareWindow; from+shareWindow <= length; from += time.Second {
		var small, all int
		for _, r := range w.finished {
			at := r.done.Sub(w.start)
			if at < from || at >= from+shareWindow {
				continue
			}
			all += r.tokens
			if strings.HasPrefix(string(r.acquisition.Request), "small") {
				small += r.tokens
			}
		}
		lowest = min(lowest, float64(small)/float64(all)/share)
	}
	return lowest
}

func TestGrants_SmallOrganisationKeepsItsShare(t *testing.T) {
	for _, weight := range []int{1, 3} {
		for seed := range uint64(2) {
			if got := runFlood(seed, weight, nil); got < shareTarget {
				t.Errorf("weight 1 to %d, seed %d: %.3f of its share in the worst window, want %.2f", weight, seed, got, shareTarget)
			} else {
				t.Logf("weight 1 to %d, seed %d: %.3f of its share in the worst window", weight, seed, got)
			}
		}
	}
}

// BenchmarkGrants_Share reports the ratio of the small organisation's throughput
// to its share in the worst window, with and without fair queueing.
func BenchmarkGrants_Share(b *testing.B) {
	for range b.N {
		fair := runFlood(1, 1, nil)
		fifo := runFlood(1, 1, func(w *world) {
			w.tuneAcquisition = func(a *Acquisition) { a.Organisation = "all" }
		})
		b.ReportMetric(fair, "share")
		b.ReportMetric(fifo, "share-fifo")
		if fair < shareTarget {
			b.Errorf("%.3f of its share, want %.2f", fair, shareTarget)
		}
	}
}
