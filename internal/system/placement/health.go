package placement

import "time"

const (
	// failureHalfLife is the time in which the failure rate halves if nothing
	// happens.
	failureHalfLife = 1500 * time.Millisecond
	// failureGain is the fraction of its distance from 1 by which one failure
	// raises the failure rate.
	failureGain = 0.4
	// successGain is the fraction by which one success lowers the failure rate.
	successGain = 0.3
)

// health estimates the fraction of requests that a backend server fails. The
// estimate decays with time, so that a backend server that has recovered is
// tried again.
type health struct {
	rate float64   // failure rate at the time of the last update, from 0 to 1
	at   time.Time // time of the last update
}

func (h *health) failureRate(now time.Time) float64 {
	if h.rate == 0 {
		return 0
	}
	rate := h.rate
	for d := now.Sub(h.at); d >= failureHalfLife && rate > 0.01; d -= failureHalfLife {
		rate /= 2
	}
	return rate
}

func (h *health) recordFailure(now time.Time, weight float64) {
	h.rate = h.failureRate(now)
	h.rate += (1 - h.rate) * failureGain * weight
	h.at = now
}

func (h *health) recordSuccess(now time.Time) {
	h.rate = h.failureRate(now) * (1 - successGain)
	h.at = now
}
