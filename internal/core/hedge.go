package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// hedgeFactor, multiplied by the first token target of the service, is the time
// for which an attempt of the top priority may stay without a token before
// another backend server is requested.
const hedgeFactor = 2

// mayHedge reports whether another backend server may be requested early for a
// silent attempt of the request: only for the top priority, only for repeatable
// work, and only once.
func (c *Core) mayHedge(r *request) bool {
	return r.work.Priority == 0 && r.work.Repeatable && !r.hedged && r.pendingAttempt == 0 && len(r.tokens) == 0
}

// hedgeAt returns when another backend server is to be requested if the attempt
// has no token by then.
func (c *Core) hedgeAt(r *request) time.Time {
	a := c.attempts.Get(attemptKey{r.id, r.currentAttempt})
	s, ok := c.Configuration.Service(r.work.Service)
	if a == nil || !ok || s.Latency.FirstToken <= 0 {
		return r.deadline
	}
	return a.started.Add(hedgeFactor * s.Latency.FirstToken)
}

// hedgeIfSilent requests another backend server if the attempt has been silent
// for too long and the retry budget allows it. The attempt is only replaced if
// it is still silent when the new grant arrives.
func (c *Core) hedgeIfSilent(r *request) {
	if !c.mayHedge(r) {
		return
	}
	at := c.hedgeAt(r)
	if c.now.Before(at) {
		c.wakeBy(r, at)
		return
	}
	if _, ok := c.Retry.Allow(c.now, r.work.Service); !ok {
		return
	}
	a := c.attempts.Get(attemptKey{r.id, r.currentAttempt})
	r.hedged = true
	r.excludedServers = []entity.BackendServerID{a.backend.ID}
	c.emit(event.AttemptHedged, r, "")
	c.acquireGrant(r)
}

// hedgeUnneeded reports whether the attempt that was to be replaced has
// produced tokens in the meantime.
func (c *Core) hedgeUnneeded(r *request) bool {
	a := c.attempts.Get(attemptKey{r.id, r.currentAttempt})
	return r.hedged && a != nil && a.receivedTokens > 0
}
