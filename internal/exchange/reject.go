package exchange

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

const (
	// rejectObjectiveFactor is the expected time to a request's first event, in
	// multiples of its route's latency objective, above which the request is
	// rejected.
	rejectObjectiveFactor = 1.0
	// minRejectLoad is the ratio of a service's slots that must be occupied before
	// requests are rejected for missing their objective.
	minRejectLoad = 0.5
	// minRetryDelay and maxRetryDelay limit the Retry-After time of rejected
	// requests.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

// rejectEarly rejects a request that could not be answered before its deadline
// or before this daemon stops, or that is expected to miss its latency objective at
// a loaded service. It returns nil if the request may be sent.
func (c *Core) rejectEarly(now time.Time, t *Ticket, choice placement.Choice) *Refusal {
	if !t.Deadline.IsZero() && choice.Cost > t.Deadline.Sub(now) {
		c.placer.DoubtRequestTime(now, choice.Server)
		return c.rejection(t, choice, "hopeless", choice.Cost)
	}
	if c.leaving && t.Ran == 0 && !c.endsBeforeStop(now, t, choice) {
		return c.rejection(t, choice, "leaving", staleRetryDelay)
	}
	if c.cfg.DisableRejection || c.cfg.LoadShedding || choice.Utilisation < minRejectLoad || t.Route.Objective == 0 || t.Sends > 0 {
		return nil
	}
	overrun := choice.Cost - time.Duration(rejectObjectiveFactor*float64(t.Route.Objective))
	if overrun <= 0 {
		return nil
	}
	return c.rejection(t, choice, "overload", overrun)
}

// rejection returns a refusal that includes the inputs of the decision.
func (c *Core) rejection(t *Ticket, choice placement.Choice, code string, retryAfter time.Duration) *Refusal {
	r := c.finalRefusal(t, code, boundRetryDelay(retryAfter))
	r.Inputs = fmt.Sprintf("expected %v at %s, objective %v, taken %.2f",
		choice.Cost.Round(time.Millisecond), choice.Server, t.Route.Objective, choice.Utilisation)
	return r
}

func boundRetryDelay(d time.Duration) time.Duration { return min(max(d, minRetryDelay), maxRetryDelay) }
