package exchange

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

const (
	// lateFactor is how far beyond its objective the expected first event of a
	// request may lie before it is turned away.
	lateFactor = 1.0
	// busyCrowd is the part of a service's slots that must be taken before
	// anybody is turned away.
	busyCrowd = 0.5
	// leavingMargin is how many times the longest duration that is expected a
	// request must have until this daemon's end.
	leavingMargin = 1.5
	// leastLeaving is the time that any request must have until then.
	leastLeaving = 500 * time.Millisecond
	// minBack and maxBack bound the time to come back.
	minBack = 50 * time.Millisecond
	maxBack = 3 * time.Second
)

// turnAway refuses a request at once that could not be answered before its
// deadline, or that would be late at a crowded service.
func (c *Core) turnAway(now time.Time, t *Ticket, choice placement.Choice) *Refusal {
	if !t.Deadline.IsZero() && choice.Cost > t.Deadline.Sub(now) {
		return c.turnedAway(t, choice, "hopeless", choice.Cost)
	}
	if c.leaving && t.Sends == 0 && now.Add(c.longest(t, choice)).After(c.endsBy) {
		return c.turnedAway(t, choice, "leaving", staleRetry)
	}
	if c.cfg.TurnNobodyAway || choice.Crowd < busyCrowd || t.Route.Objective == 0 || t.Sends > 0 {
		return nil
	}
	over := choice.Cost - time.Duration(lateFactor*float64(t.Route.Objective))
	if over <= 0 {
		return nil
	}
	return c.turnedAway(t, choice, "overload", over)
}

// turnedAway returns a refusal with the inputs of the decision.
func (c *Core) turnedAway(t *Ticket, choice placement.Choice, code string, back time.Duration) *Refusal {
	r := c.giveUp(t, code, bounded(back))
	r.Inputs = fmt.Sprintf("expected %v at %s, objective %v, taken %.2f",
		choice.Cost.Round(time.Millisecond), choice.Server, t.Route.Objective, choice.Crowd)
	return r
}

// longest returns how long the answer may take, by the most tokens that it may
// have: callers' estimates are often far off.
func (c *Core) longest(t *Ticket, choice placement.Choice) time.Duration {
	expected := choice.Cost + c.placer.OutputTime(t.Service, t.Request.Work.MaxOutput)
	return max(time.Duration(leavingMargin*float64(expected)), leastLeaving)
}

func bounded(d time.Duration) time.Duration { return min(max(d, minBack), maxBack) }
