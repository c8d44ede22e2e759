package exchange

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// withinLimit reports whether a backend server's limit allows a request from this daemon
// now, and leaves the given number of saved requests at least.
func (c *Core) withinLimit(now time.Time, id entity.BackendServerID, saved float64) bool {
	limit := c.limitOf(id)
	if limit == nil {
		return true
	}
	wait, ok := limit.bucket.Wait(now, 1+saved)
	return ok && wait == 0
}

// limitOf returns the limit of a backend server, nil if it states none.
func (c *Core) limitOf(id entity.BackendServerID) *serverLimit {
	if c.statements.rows.Len() == 0 {
		return nil
	}
	row := c.servers.Get(id)
	if row == nil {
		return nil
	}
	return c.statements.inForce(row.process())
}

// limitedServers sums up the backend servers of a service that are usable but for their
// limits.
type limitedServers struct {
	count     int
	perSecond float64       // sum of the limits
	part      float64       // sum of this daemon's parts
	wait      time.Duration // until the first of them may get a request from this daemon, if it has any part
}

func (c *Core) limitedServers(now time.Time, service entity.ServiceName) limitedServers {
	var out limitedServers
	c.servers.All(func(id entity.BackendServerID, row *serverRow) bool {
		limit := c.statements.inForce(row.process())
		if row.Service != service || limit == nil || !c.usable(now, id) || c.restsNow(now, id) {
			return true
		}
		out.count++
		out.perSecond += limit.PerSecond
		if wait, ok := limit.bucket.Wait(now, 1); ok {
			if out.part == 0 || wait < out.wait {
				out.wait = wait
			}
			out.part += limit.bucket.Rate()
		}
		return true
	})
	return out
}

// rejectLimited rejects a request that the limits of a service's servers leave no room
// for. The times to come back are as far apart as the requests that each daemon may send
// on average, as callers come back to any of them.
func (c *Core) rejectLimited(now time.Time, t *Ticket, s limitedServers) *Refusal {
	interval := maxRetryDelay
	if s.perSecond > 0 {
		interval = min(secondsToDuration(float64(max(len(c.statements.daemons), 1))/s.perSecond), maxRetryDelay)
	}
	first := interval
	if s.part > 0 {
		first = s.wait
	}
	at := now.Add(first)
	if last := c.statements.returnAt.Get(t.Service); last != nil && last.Add(interval).After(at) {
		at = last.Add(interval)
	}
	if latest := now.Add(maxRetryDelay); at.After(latest) {
		at = latest
	}
	c.statements.returnAt.Put(t.Service, &at)
	r := c.finalRefusal(t, "limited", boundRetryDelay(at.Sub(now)))
	r.Inputs = fmt.Sprintf("%d servers with limits of %.2f requests/s, this daemon's part %.2f", s.count, s.perSecond, s.part)
	return r
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
