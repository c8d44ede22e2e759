package gateway

import (
	"context"
	"errors"
	"log"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

// event logs one event of the event catalogue.
func (g *Gateway) event(n event.Number, id entity.RequestID, attrs ...event.Attr) {
	g.logEvent(event.Event{Number: n, Request: id, Attrs: attrs})
}

// logEvent logs an event and counts it in the metrics.
func (g *Gateway) logEvent(e event.Event) {
	g.Log.Event(time.Now(), e)
	g.meter.countEvent(e.Number)
}

// logResult logs how a request ended, with its attempts, and counts it in the metrics.
func (x *forwarding) logResult(arrived time.Time) {
	duration := clock.Now().Sub(arrived)
	number := x.eventNumber()
	attrs := []event.Attr{
		event.A("status", x.status), event.A("ms", duration.Milliseconds()), event.A("tried", x.attemptList()),
		event.A("left_ms", x.request.Patience.Milliseconds()),
	}
	if number != event.ExchangeAnswered || len(x.attempts) > 1 {
		attrs = append(attrs, event.A("content", exchange.ShortDigest(x.request.Content)), event.A("parts", partIDs(x.request.Work.Parts)))
	}
	if number == event.ExchangeAbandoned {
		attrs = append(attrs, x.unheardOf()...)
	}
	if number == event.ExchangeTruncated {
		attrs = append(attrs, event.A("ended_by", x.endedBy()), event.A("silence_ms", x.silence.longest.Milliseconds()))
	}
	if x.request.After != "" {
		attrs = append(attrs, event.A("resumes", x.request.Resumes), event.A("last_event", x.request.After))
	}
	if t := x.ticket; t != nil {
		timing := t.Timing()
		attrs = append(attrs, event.A("route", t.Route.Name), event.A("service", t.Service),
			event.A("objective_ms", timing.Objective.Milliseconds()),
			event.A("sent_ms", timing.FirstSent.Milliseconds()), event.A("first_ms", timing.FirstEvent.Milliseconds()))
		if t.Org != nil {
			attrs = append(attrs, event.A("organisation", t.Org.ID), event.A("units", timing.QuotaUnits))
		}
	}
	x.g.withCore(func(c *exchange.Core, now time.Time) {
		version, age := c.Version(now)
		attrs = append(attrs, event.A("version", version), event.A("version_age_ms", age.Milliseconds()))
	})
	x.g.event(number, x.request.ID, attrs...)
	x.g.meter.countExchange(x, duration)
}

// endedBy returns why this daemon has ended the request; "": it has not.
func (x *forwarding) endedBy() string {
	cause := context.Cause(x.ctx)
	if cause == nil || errors.Is(cause, context.Canceled) {
		return ""
	}
	return cause.Error()
}

// partIDs returns the IDs of a prompt's parts in order, in hexadecimal and separated by
// commas, up to maxLoggedParts.
func partIDs(parts []placement.Part) string {
	var ids []string
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, strconv.FormatUint(part.ID, 16))
	}
	return strings.Join(ids, ",")
}

// maxLoggedParts bounds the IDs of a prompt's parts in one line of the log.
const maxLoggedParts = 16

// eventNumber returns the event under which the request's end is logged.
func (x *forwarding) eventNumber() event.Number {
	last := exchange.Outcome(0)
	if n := len(x.attempts); n > 0 {
		last = x.attempts[n-1].outcome
	}
	switch {
	case last == exchange.Answered:
		return event.ExchangeAnswered
	case last == exchange.Abandoned, x.hasLeft():
		return event.ExchangeAbandoned
	case x.headSent:
		return event.ExchangeTruncated
	default:
		return event.ExchangeRefused
	}
}

// attemptList returns the attempts as text: backend server, the daemon that forwarded it if
// one did, outcome, duration and reason of each.
func (x *forwarding) attemptList() string {
	var b strings.Builder
	for i, a := range x.attempts {
		if i > 0 {
			b.WriteString("; ")
		}
		if a.server != "" {
			b.WriteString(a.server + " ")
			if a.version != "" {
				b.WriteString("(" + a.version + ") ")
			}
			if a.via != "" {
				b.WriteString("through " + a.via + " ")
			}
			b.WriteString(a.outcome.String() + " " + a.duration.Round(100*time.Microsecond).String() + " ")
		}
		b.WriteString(a.detail)
	}
	return b.String()
}

// debugLogger returns a logger for net/http that logs errors of callers' connections at
// the debug level.
func debugLogger(l *logging.Log) *log.Logger {
	return log.New(debugWriter{l}, "", 0)
}

type debugWriter struct{ log *logging.Log }

// Write implements io.Writer.
func (w debugWriter) Write(p []byte) (int, error) {
	w.log.Logger().Debug(strings.TrimSpace(string(p)))
	return len(p), nil
}
