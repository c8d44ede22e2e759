package experiment

import "slices"

// workShares compares the work that the engines get, each measured by its own speed.
type workShares struct {
	interval  []float64 // ms of work that each engine got in the present update interval
	total     []float64 // and in all intervals in which every engine took requests
	peaks     float64   // sum over these intervals of the busiest engine's work / the mean
	intervals int
}

func newWorkShares(engines int) workShares {
	return workShares{interval: make([]float64, engines), total: make([]float64, engines)}
}

// add records the work of a request that was sent to an engine.
func (w *workShares) add(engine int, ms float64) { w.interval[engine] += ms }

// endInterval ends an update interval.
func (w *workShares) endInterval(usable []int) {
	if mean := meanOf(w.interval); mean > 0 && len(usable) == len(w.interval) {
		w.peaks += slices.Max(w.interval) / mean
		w.intervals++
		for i, ms := range w.interval {
			w.total[i] += ms
		}
	}
	clear(w.interval)
}

// Busiest returns the work of the busiest engine over the whole run, as a ratio of the mean.
func (w *workShares) Busiest() float64 {
	if mean := meanOf(w.total); mean > 0 {
		return slices.Max(w.total) / mean
	}
	return 0
}

// Peak returns the work of the busiest engine of an update interval, as a ratio of the mean
// and on average over the intervals.
func (w *workShares) Peak() float64 { return w.peaks / float64(max(w.intervals, 1)) }

func meanOf(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// work returns the time in ms that a request takes at an engine without others.
func (e *engine) work(r *request) float64 {
	steps := float64(r.outputTokens) * (e.model.BaseStepMs + e.model.StepPerSlotMs)
	return (float64(r.promptTokens)/e.model.PromptTokensPerMs + steps) * e.timeFactor * e.slowFactor
}
