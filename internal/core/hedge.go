package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// hedgeFactor is how many times the target of the first token an attempt of the
// top priority may stay silent before another backend server is asked for.
const hedgeFactor = 2

// mayHedge reports whether a silent attempt of the request may be replaced
// early: only the most urgent class, only what may run twice, and only once.
func (c *Core) mayHedge(r *request) bool {
	return r.work.Priority == 0 && r.work.Repeatable && !r.hedged && r.pending == 0 && len(r.tokens) == 0
}

// hedgeAt returns when a silent attempt of the request is to be replaced.
func (c *Core) hedgeAt(r *request) time.Time {
	a := c.attempts.Get(attemptKey{r.id, r.current})
	s, ok := c.Configuration.Service(r.work.Service)
	if a == nil || !ok || s.Latency.FirstToken <= 0 {
		return r.deadline
	}
	return a.started.Add(hedgeFactor * s.Latency.FirstToken)
}

// hedge asks for another backend server if the attempt has been silent for too
// long and the retry budget allows it. The attempt is only replaced if it is
// still silent when the other one is granted.
func (c *Core) hedge(r *request) {
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
	a := c.attempts.Get(attemptKey{r.id, r.current})
	r.hedged = true
	r.exclude = []entity.BackendServerID{a.backend.ID}
	c.emit(event.AttemptHedged, r, "")
	c.want(r)
}

// hedgeUseless reports whether the attempt that was to be replaced has spoken
// meanwhile.
func (c *Core) hedgeUseless(r *request) bool {
	a := c.attempts.Get(attemptKey{r.id, r.current})
	return r.hedged && a != nil && a.tokens > 0
}
