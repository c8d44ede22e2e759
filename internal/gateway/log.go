package gateway

import (
	"log"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
)

// event writes one line.
func (g *Gateway) event(n event.Number, id entity.RequestID, attrs ...event.Attr) {
	g.Log.Event(time.Now(), event.Event{Number: n, Request: id, Attrs: attrs})
}

// log writes the line of a request: what it was, what was tried, and how it
// ended.
func (x *run) log(arrived time.Time) {
	took := clock.Now().Sub(arrived)
	number := x.eventNumber()
	attrs := []event.Attr{
		event.A("status", x.status), event.A("ms", took.Milliseconds()), event.A("tried", x.tried()),
		event.A("left_ms", x.request.Patience.Milliseconds()),
	}
	if t := x.ticket; t != nil {
		attrs = append(attrs, event.A("route", t.Route.Name), event.A("service", t.Service))
		if t.Org != nil {
			attrs = append(attrs, event.A("organisation", t.Org.ID))
		}
	}
	x.g.locked(func(c *exchange.Core, now time.Time) {
		version, age := c.Version(now)
		attrs = append(attrs, event.A("version", version), event.A("version_age_ms", age.Milliseconds()))
	})
	x.g.event(number, x.request.ID, attrs...)
	x.g.meter.exchange(x, took)
}

func (x *run) eventNumber() event.Number {
	last := exchange.Outcome(0)
	if n := len(x.attempts); n > 0 {
		last = x.attempts[n-1].outcome
	}
	switch {
	case last == exchange.Answered:
		return event.ExchangeAnswered
	case last == exchange.Abandoned, x.r.Context().Err() != nil:
		return event.ExchangeAbandoned
	case x.started:
		return event.ExchangeCutOff
	default:
		return event.ExchangeRefused
	}
}

// tried lists the attempts: backend server, outcome, time and reason of each.
func (x *run) tried() string {
	var b strings.Builder
	for i, a := range x.attempts {
		if i > 0 {
			b.WriteString("; ")
		}
		if a.server != "" {
			b.WriteString(a.server + " " + a.outcome.String() + " " + a.took.Round(100*time.Microsecond).String() + " ")
		}
		b.WriteString(a.detail)
	}
	return b.String()
}

// quietLogger passes net/http's complaints about callers' connections on.
func quietLogger(l *logging.Log) *log.Logger {
	return log.New(lineWriter{l}, "", 0)
}

type lineWriter struct{ log *logging.Log }

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w.log.Logger().Debug(strings.TrimSpace(string(p)))
	return len(p), nil
}
