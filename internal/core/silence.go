package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// silenceDeadline returns when the current attempt times out if it sends no
// token.
func (c *Core) silenceDeadline(r *request) time.Time {
	a := c.attempts.Get(attemptKey{r.id, r.currentAttempt})
	if a == nil {
		return r.deadline
	}
	firstTokenTimeout, tokenTimeout := c.Limits.FirstTimeout, c.Limits.TokenTimeout
	if s, ok := c.Configuration.Service(r.work.Service); ok {
		if s.Latency.FirstTimeout > 0 {
			firstTokenTimeout = s.Latency.FirstTimeout
		}
		if s.Latency.TokenTimeout > 0 {
			tokenTimeout = s.Latency.TokenTimeout
		}
	}
	if a.receivedTokens == 0 {
		return a.started.Add(firstTokenTimeout)
	}
	return a.lastToken.Add(tokenTimeout)
}

// handleTimer handles the expiry of a request's timer.
func (c *Core) handleTimer(r *request) {
	if r.finished() {
		return
	}
	c.wakeBy(r, r.deadline)
	if !c.now.Before(r.deadline) {
		c.failExpired(r)
		return
	}
	switch r.stage {
	case stageBackoff:
		c.retryRequest(r)
	case stageRunning:
		c.checkSilence(r)
	case stageRelayed:
		c.checkRelay(r)
	case stageStandby:
		c.checkStandby(r)
	}
}

// retryRequest starts the next attempt, or routes a keyed request that is not
// in the journal.
func (c *Core) retryRequest(r *request) {
	if r.keyed() && !r.inJournal {
		c.routeRequest(r)
		return
	}
	c.acquireGrant(r)
}

// checkSilence ends the current attempt if it has been silent for too long.
func (c *Core) checkSilence(r *request) {
	at := c.silenceDeadline(r)
	if c.now.Before(at) {
		c.wakeBy(r, at)
		c.hedgeIfSilent(r)
		return
	}
	if a := c.attempts.Get(attemptKey{r.id, r.currentAttempt}); a != nil {
		r.excludedServers = []entity.BackendServerID{a.backend.ID}
	}
	c.abortAttempt(r, "the backend server is silent")
}

// failExpired ends a request whose deadline has passed.
func (c *Core) failExpired(r *request) {
	c.failRequest(r, verdict.New(r.executionVerdict(), "deadline", "the deadline has passed"))
}
