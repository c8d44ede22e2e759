package fleet

import (
	"math"
	"time"
)

// targetUtilisation is the highest fraction of its slots that a fleet should
// use. Above it, requests wait for slots so long that the latency target is
// missed.
const targetUtilisation = 0.8

// loadReportTTL is how old the last load report may be. Without a newer one, no
// servers are drained for a low load.
const loadReportTTL = time.Minute

// neededServers returns the number of servers that can carry a load at the
// target utilisation.
func (l Load) neededServers(slotsPerHost int) int {
	slots := float64(max(slotsPerHost, 1)) * targetUtilisation
	return int(math.Ceil(float64(l.Busy+l.Queued) / slots))
}

// loadWindow finds the highest number of needed servers in a sliding window of
// time.
type loadWindow struct {
	firstReport time.Time // first report since the last gap longer than loadReportTTL
	lastReport  time.Time
	samples     []loadSample // oldest first, each with a lower need than the one before
}

type loadSample struct {
	at   time.Time
	need int
}

func (w *loadWindow) add(now time.Time, window time.Duration, need int) {
	if w.firstReport.IsZero() || now.Sub(w.lastReport) > loadReportTTL {
		w.firstReport = now
	}
	w.lastReport = now
	for n := len(w.samples); n > 0 && w.samples[n-1].need <= need; n-- {
		w.samples = w.samples[:n-1]
	}
	w.samples = append(w.samples, loadSample{at: now, need: need})
	for len(w.samples) > 1 && now.Sub(w.samples[0].at) > window {
		w.samples = w.samples[1:]
	}
}

// need returns the highest number of needed servers in the window. Until
// reports have covered a whole window without a gap, it returns no less than
// the servers that serve now.
func (w *loadWindow) need(now time.Time, window time.Duration, serving int) int {
	highest := 0
	if len(w.samples) > 0 {
		highest = w.samples[0].need
	}
	windowKnown := !w.firstReport.IsZero() && now.Sub(w.lastReport) <= loadReportTTL && now.Sub(w.firstReport) >= window
	if !windowKnown {
		return max(highest, serving)
	}
	return highest
}
