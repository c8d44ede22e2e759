package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// silenceAt returns when the current attempt counts as silent.
func (c *Core) silenceAt(r *request) time.Time {
	a := c.attempts.Get(attemptKey{r.id, r.current})
	if a == nil {
		return r.deadline
	}
	first, between := c.Limits.FirstTimeout, c.Limits.TokenTimeout
	if s, ok := c.Configuration.Service(r.work.Service); ok {
		if s.Latency.FirstTimeout > 0 {
			first = s.Latency.FirstTimeout
		}
		if s.Latency.TokenTimeout > 0 {
			between = s.Latency.TokenTimeout
		}
	}
	if a.tokens == 0 {
		return a.started.Add(first)
	}
	return a.lastToken.Add(between)
}

// wake handles a request's timer.
func (c *Core) wake(r *request) {
	if r.finished() {
		return
	}
	c.wakeBy(r, r.deadline)
	if !c.now.Before(r.deadline) {
		c.expire(r)
		return
	}
	switch r.stage {
	case stageBackoff:
		c.retry(r)
	case stageRunning:
		c.watchSilence(r)
	case stageRelayed:
		c.watchRelay(r)
	case stageStandby:
		c.watchStandby(r)
	}
}

// retry makes the next try of a request that has waited for it.
func (c *Core) retry(r *request) {
	if r.keyed() && !r.begun {
		c.route(r)
		return
	}
	c.want(r)
}

// watchSilence ends an attempt that has been silent for too long.
func (c *Core) watchSilence(r *request) {
	at := c.silenceAt(r)
	if c.now.Before(at) {
		c.wakeBy(r, at)
		c.hedge(r)
		return
	}
	if a := c.attempts.Get(attemptKey{r.id, r.current}); a != nil {
		r.exclude = []entity.BackendServerID{a.backend.ID}
	}
	c.breakOff(r, "the backend server is silent")
}

// expire gives a request up at its deadline.
func (c *Core) expire(r *request) {
	c.fail(r, verdict.New(r.verdict(), "deadline", "the deadline has passed"))
}
