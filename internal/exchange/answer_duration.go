package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

const (
	// shutdownDurationFactor is the time, in multiples of a request's maximum
	// expected duration, that must remain until this daemon stops for the request
	// to be accepted.
	shutdownDurationFactor = 1.5
	// minShutdownDuration is the minimum of that time for any request.
	minShutdownDuration = 500 * time.Millisecond
)

// AnswerDuration is the longest time of late that an answer of a service took, as one daemon knows it.
type AnswerDuration struct {
	Service entity.ServiceName `cbor:"1,keyasint"`
	// PerToken is that of requests that state their size, from the first event to the end, for each token allowed.
	PerToken time.Duration `cbor:"2,keyasint,omitempty"`
	// Unstated is that of other requests, from the sending to the end.
	Unstated time.Duration `cbor:"3,keyasint,omitempty"`
}

// beginRun records that a request is sent, expecting its first event after some time.
func (c *Core) beginRun(now time.Time, t *Ticket, expected time.Duration) {
	t.expectedFirstEvent = expected
	c.running[t] = struct{}{}
	c.longestRuns.countSent(now, t.Service, t.Request.Work.MaxOutput)
}

// runDuration returns how long the present attempt of a request has taken or, if it states its size, its answer.
func (t *Ticket) runDuration(now time.Time) time.Duration {
	switch {
	case t.Request.Work.MaxOutput <= 0:
		return now.Sub(t.sentAt)
	case t.answerStarted:
		return now.Sub(t.answerStartedAt)
	default:
		return 0
	}
}

// firstEventLate returns by how much the first event is later than expected at a time.
func (t *Ticket) firstEventLate(now time.Time) time.Duration {
	return now.Sub(t.sentAt) - t.expectedFirstEvent
}

// learnRun learns how long a complete answer took.
func (c *Core) learnRun(now time.Time, t *Ticket, o Outcome) {
	if o == Answered && t.answerStarted {
		c.longestRuns.learn(now, t.Service, t.runDuration(now), t.Request.Work.MaxOutput)
	}
}

// learnLate learns by how much a first event is later than expected. The time of requests that do not state their
// size contains it.
func (c *Core) learnLate(now time.Time, t *Ticket) {
	if allowed := t.Request.Work.MaxOutput; allowed > 0 {
		row, _ := c.longestRuns.row(now, t.Service, allowed)
		row.present.late = max(row.present.late, t.firstEventLate(now))
	}
}

// longestAnswer returns the longest time of late that an answer to such a request took, and whether it tells how
// long others may take. It does not while a request has been running for longer.
func (c *Core) longestAnswer(now time.Time, t *Ticket) (longest time.Duration, known bool) {
	allowed := t.Request.Work.MaxOutput
	longest, known = c.longestRuns.of(now, t.Service, allowed)
	row, _ := c.longestRuns.row(now, t.Service, allowed)
	return longest, known && !c.outlasted(now, t.Service, allowed > 0, row)
}

// outlasted reports whether a request to a service that runs now, and states its size or not, has taken far longer
// than any that has ended.
func (c *Core) outlasted(now time.Time, service entity.ServiceName, stated bool, row *longestRun) bool {
	longest := longestRunFactor * float64(row.longest())
	for t := range c.running {
		allowed := t.Request.Work.MaxOutput
		if t.Service != service || allowed > 0 != stated {
			continue
		}
		if stated && !t.answerStarted && t.firstEventLate(now) > row.late()+minShutdownDuration {
			return true
		}
		if float64(t.runDuration(now)) > longest*float64(max(allowed, 1)) {
			return true
		}
	}
	return false
}

// endsBeforeStop reports whether the answer to a request will have ended when this daemon, which stops, ends what it
// has in flight: as all answers of late took less time, also if its server falls silent, or by its deadline.
func (c *Core) endsBeforeStop(now time.Time, t *Ticket, choice placement.Choice) bool {
	byDeadline := !t.Deadline.IsZero() && !t.Deadline.After(c.stopDeadline)
	if _, known := c.longestAnswer(now, t); !known {
		return byDeadline
	}
	end := now.Add(c.maxAnswerDuration(now, t, choice))
	return !end.After(c.stopDeadline) && (byDeadline || !end.Add(allowedSilence(t)).After(c.stopDeadline))
}

// allowedSilence returns for how long the server of a request may stand still without harm. A stream that has begun
// can only be cut; other requests still get a status.
func allowedSilence(t *Ticket) time.Duration {
	if t.Route.Kind == Stream {
		return maxSoundSilence
	}
	return 0
}

// maxAnswerDuration returns how long the answer may take if it has the maximum
// number of tokens, with a safety factor, and no less than the longest of late.
// Callers' estimates of the size are not used, as they are often far too low.
func (c *Core) maxAnswerDuration(now time.Time, t *Ticket, choice placement.Choice) time.Duration {
	row, units := c.longestRuns.row(now, t.Service, t.Request.Work.MaxOutput)
	expected := choice.Cost + c.placer.OutputDuration(t.Service, t.Request.Work.MaxOutput)
	longest := choice.Cost + row.late() + row.longest()*time.Duration(units)
	return max(time.Duration(shutdownDurationFactor*float64(expected)), time.Duration(longestRunFactor*float64(longest)), minShutdownDuration)
}

// logTakenInStop logs that a request is sent although this daemon stops, with the inputs of that decision.
func (c *Core) logTakenInStop(now time.Time, t *Ticket, choice placement.Choice) {
	if !c.leaving {
		return
	}
	longest, known := c.longestAnswer(now, t)
	c.logEvent(event.Event{Number: event.ExchangeTakenInStop, Request: t.Request.ID, Attrs: []event.Attr{
		event.A("backend_server", choice.Server), event.A("left_ms", c.stopDeadline.Sub(now).Milliseconds()),
		event.A("may_take_ms", c.maxAnswerDuration(now, t, choice).Milliseconds()), event.A("allowed_silence_ms", allowedSilence(t).Milliseconds()),
		event.A("longest_ms", longest.Milliseconds()), event.A("known", known),
		event.A("process_age_ms", now.Sub(c.cfg.Started).Milliseconds()), event.A("sends", t.Sends),
	}})
}

// answerDurations returns what this daemon knows by itself of the longest answers of each service. What others have
// reported is left out, so that it does not come back as news.
func (c *Core) answerDurations(now time.Time) []AnswerDuration {
	var out []AnswerDuration
	c.longestRuns.perToken.All(func(service entity.ServiceName, _ *longestRun) bool {
		if longest := c.ownLongest(now, service, true); longest > 0 {
			out = append(out, AnswerDuration{Service: service, PerToken: longest})
		}
		return true
	})
	c.longestRuns.unstated.All(func(service entity.ServiceName, _ *longestRun) bool {
		if longest := c.ownLongest(now, service, false); longest > 0 {
			out = append(out, AnswerDuration{Service: service, Unstated: longest})
		}
		return true
	})
	return out
}

// ownLongest returns the longest time of late that an answer of this daemon took; 0: others are not told, as it may
// not tell how long answers take.
func (c *Core) ownLongest(now time.Time, service entity.ServiceName, stated bool) time.Duration {
	allowed := entity.Tokens(0)
	if stated {
		row, _ := c.longestRuns.row(now, service, 1)
		allowed = max(row.present.allowed, row.before.allowed, 1)
	}
	row, units := c.longestRuns.row(now, service, allowed)
	if row.observedFor(now) < minToldObservation || !row.ownKnown(now, units) || c.outlasted(now, service, stated, row) {
		return 0
	}
	return max(row.present.longest, row.before.longest)
}

// receiveAnswerDurations applies what another daemon knows of the longest answers.
func (c *Core) receiveAnswerDurations(now time.Time, durations []AnswerDuration) {
	for _, d := range durations {
		c.longestRuns.report(now, d.Service, d.PerToken, 1)
		c.longestRuns.report(now, d.Service, d.Unstated, 0)
	}
}
