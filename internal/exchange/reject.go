package exchange

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
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
	// shutdownDurationFactor is the time, in multiples of a request's maximum
	// expected duration, that must remain until this daemon stops for the request
	// to be accepted.
	shutdownDurationFactor = 1.5
	// minShutdownDuration is the minimum of that time for any request.
	minShutdownDuration = 500 * time.Millisecond
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
		return c.rejection(t, choice, "hopeless", choice.Cost)
	}
	if c.leaving && t.Ran == 0 && now.Add(c.maxAnswerDuration(now, t, choice)).After(c.stopDeadline) {
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

// maxAnswerDuration returns how long the answer may take if it has the maximum
// number of tokens, with a safety factor, and no less than the longest of late; or
// until the request's deadline, if too few answers have been seen to tell.
// Callers' estimates of the size are not used, as they are often far too low.
func (c *Core) maxAnswerDuration(now time.Time, t *Ticket, choice placement.Choice) time.Duration {
	expected := choice.Cost + c.placer.OutputDuration(t.Service, t.Request.Work.MaxOutput)
	longest, known := c.longestRuns.of(now, t.Service, t.Request.Work.MaxOutput)
	if !known && !t.Deadline.IsZero() {
		return t.Deadline.Sub(now)
	}
	longest += choice.Cost
	return max(time.Duration(shutdownDurationFactor*float64(expected)), time.Duration(longestRunFactor*float64(longest)), minShutdownDuration)
}

// logTakenInStop logs that a request is sent although this daemon stops, with the inputs of that decision.
func (c *Core) logTakenInStop(now time.Time, t *Ticket, choice placement.Choice) {
	if !c.leaving {
		return
	}
	longest, known := c.longestRuns.of(now, t.Service, t.Request.Work.MaxOutput)
	c.logEvent(event.Event{Number: event.ExchangeTakenInStop, Request: t.Request.ID, Attrs: []event.Attr{
		event.A("backend_server", choice.Server), event.A("left_ms", c.stopDeadline.Sub(now).Milliseconds()),
		event.A("may_take_ms", c.maxAnswerDuration(now, t, choice).Milliseconds()),
		event.A("longest_ms", longest.Milliseconds()), event.A("known", known),
		event.A("process_age_ms", now.Sub(c.cfg.Started).Milliseconds()), event.A("sends", t.Sends),
	}})
}

func boundRetryDelay(d time.Duration) time.Duration { return min(max(d, minRetryDelay), maxRetryDelay) }
