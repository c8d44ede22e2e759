package fleet

import (
	"math"
	"time"
)

// utilisation is the share of the slots up to which a fleet is loaded. Above
// it, requests wait for slots at the latency target.
const utilisation = 0.8

// loadStale is how old the last report may be before it is no guide to taking
// servers away.
const loadStale = time.Minute

// servers returns the servers that carry a load.
func (l Load) servers(slotsPerHost int) int {
	slots := float64(max(slotsPerHost, 1)) * utilisation
	return int(math.Ceil(float64(l.Busy+l.Queued) / slots))
}

// loadWindow keeps the highest need of a sliding window.
type loadWindow struct {
	since   time.Time // of the first report
	last    time.Time
	samples []loadSample // with falling need, oldest first
}

type loadSample struct {
	at   time.Time
	need int
}

func (w *loadWindow) add(now time.Time, window time.Duration, need int) {
	if w.since.IsZero() || now.Sub(w.last) > loadStale {
		w.since = now
	}
	w.last = now
	for n := len(w.samples); n > 0 && w.samples[n-1].need <= need; n-- {
		w.samples = w.samples[:n-1]
	}
	w.samples = append(w.samples, loadSample{at: now, need: need})
	for len(w.samples) > 1 && now.Sub(w.samples[0].at) > window {
		w.samples = w.samples[1:]
	}
}

// need returns the highest need of the window. Until a whole window has been
// seen without a gap, it is no lower than what serves now.
func (w *loadWindow) need(now time.Time, window time.Duration, serving int) int {
	highest := 0
	if len(w.samples) > 0 {
		highest = w.samples[0].need
	}
	known := !w.since.IsZero() && now.Sub(w.last) <= loadStale && now.Sub(w.since) >= window
	if !known {
		return max(highest, serving)
	}
	return highest
}
