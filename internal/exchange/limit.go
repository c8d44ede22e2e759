package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// RateLimit is what a backend server's answer says of how many requests it takes.
type RateLimit struct {
	Stated    bool    // it states a limit; else it takes any number
	PerSecond float64 // requests from all daemons together
}

// serverLimit is the limit that a backend server's process has stated.
type serverLimit struct {
	perSecond float64
	statedAt  time.Time // when the newest answer that stated it arrived
}

// RecordLimit records what an answer to the present attempt of a request says of the
// server's limit. An answer without a limit ends the limit if its request was sent after
// the limit was last stated: answers may overtake each other.
func (c *Core) RecordLimit(now time.Time, t *Ticket, limit RateLimit) {
	known := c.limits.Get(t.process)
	switch {
	case limit.Stated:
		if known == nil || known.perSecond != limit.PerSecond {
			c.logEvent(event.Event{Number: event.ServerLimitStated, Backend: t.process.Server, Request: t.Request.ID, Attrs: []event.Attr{event.A("per_second", limit.PerSecond)}})
		}
		c.limits.Put(t.process, &serverLimit{perSecond: limit.PerSecond, statedAt: now})
	case known != nil && t.sentAt.After(known.statedAt):
		c.limits.Delete(t.process)
		c.logEvent(event.Event{Number: event.ServerLimitEnded, Backend: t.process.Server, Request: t.Request.ID, Attrs: []event.Attr{event.A("per_second", known.perSecond)}})
	}
}

// forgetLimits drops the limits of processes that are not known any more.
func (c *Core) forgetLimits() {
	for _, p := range c.limits.Keys() {
		if row := c.servers.Get(p.Server); row == nil || row.process() != p {
			c.limits.Delete(p)
		}
	}
}
