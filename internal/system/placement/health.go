package placement

import "time"

const (
	// failureFade is the time in which a failure loses half of its weight.
	failureFade = 1500 * time.Millisecond
	// failureGain is what one failure adds to the failing part, of what is left.
	failureGain = 0.4
	// successGain is what one success takes off the failing part.
	successGain = 0.3
)

// health is the part of requests that a backend server seems to fail. It fades,
// so that a backend server that has recovered is tried again.
type health struct {
	part float64
	at   time.Time
}

func (h *health) failing(now time.Time) float64 {
	if h.part == 0 {
		return 0
	}
	left := h.part
	for d := now.Sub(h.at); d >= failureFade && left > 0.01; d -= failureFade {
		left /= 2
	}
	return left
}

func (h *health) bad(now time.Time, weight float64) {
	h.part = h.failing(now)
	h.part += (1 - h.part) * failureGain * weight
	h.at = now
}

func (h *health) good(now time.Time) {
	h.part = h.failing(now) * (1 - successGain)
	h.at = now
}
