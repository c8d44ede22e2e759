package exchange

import (
	"time"
)

// failureWeights says how strongly an outcome counts as a failure of the backend
// server, from 0 to 1.
var failureWeights = map[Outcome]float64{
	NotSent: 1, NotListening: 1, Rejected: 0.3, Misdirected: 1, Failed: 0.4, Broken: 0.8, Silent: 0.8,
}

// Ended records how the present attempt ended. It returns nil if another attempt
// follows, else the final answer. After Answered and Abandoned it returns nil and
// nothing follows.
func (c *Core) Ended(now time.Time, t *Ticket, o Outcome) *Refusal {
	c.releaseLoad(now, t, o == Answered)
	if n := len(t.tried); n > 0 && failureWeights[o] > 0 {
		c.placer.RecordFailure(now, t.tried[n-1], failureWeights[o])
	}
	if o == Rejected {
		c.recordRejection(now, t.process.Server)
		c.recordBrittleRejection(now, t.process)
	}
	if o == Answered || o == Rejected {
		c.noteAnswering(now, t.process)
	}
	c.recordPath(now, t, o)
	c.endForwarding(now, t, o)
	c.recordEvidence(now, t, o)
	c.rolloutEnded(now, t, o)
	switch o {
	case Answered, Abandoned:
		if o == Answered {
			c.completeStream(t)
		}
		t.Ran++
		c.learnRun(now, t, o)
		return nil
	case NotSent, NotListening, Withheld, CallerLeft:
		t.Sends-- // never arrived
	case Failed, Broken, Silent:
		t.Ran++
	}
	if t.Ran == 0 {
		c.cancelTrials(t)
	}
	if t.Ran > 0 && c.crash.anyNearlyQuarantined(now, t.contents) || !c.mayRepeat(now, t) {
		return c.finalRefusal(t, o.String(), noServerRetryDelay)
	}
	return nil
}

// recordEvidence records what an outcome says of the death of the backend server and of
// the request's content.
func (c *Core) recordEvidence(now time.Time, t *Ticket, o Outcome) {
	switch o {
	case Answered:
		c.recordCompletions(now, t)
	case Broken, Silent, Abandoned:
		c.recordUnexplainedRun(now, t, o)
	case NotListening:
		if t.forwarder != "" {
			c.recordDeath(now, now, t.process, proofRefused)
			return
		}
		c.recordRefusal(now, t.process)
	case Misdirected:
		c.recordDeath(now, now, t.process, proofReplaced)
	}
}

// recordCompletions records that the contents of an answered request have completed, unless
// the answer was a failure.
func (c *Core) recordCompletions(now time.Time, t *Ticket) {
	if t.failedAnswer {
		return
	}
	for _, content := range t.contents {
		c.crash.completed.record(now, content)
		c.recordCompletion(now, content)
	}
}

// RecordFailedAnswer records that the answer which the caller gets is a failure of the backend
// server. It does not prove that the request can be completed.
func (c *Core) RecordFailedAnswer(t *Ticket) { t.failedAnswer = true }

// releaseLoad releases the load that the present attempt has reserved. Complete
// says that its answer was complete.
func (c *Core) releaseLoad(now time.Time, t *Ticket, complete bool) {
	if t.reservation != nil {
		c.placer.Release(now, t.reservation, complete)
		t.reservation = nil
		delete(c.running, t)
		c.countReleased(now, t)
	}
}

// mayRepeat reports whether another send of the request is allowed. A request that
// has not run may be sent again on any route.
func (c *Core) mayRepeat(now time.Time, t *Ticket) bool {
	if len(t.tried) >= maxAttempts || c.tooLate(now, t) {
		return false
	}
	if t.Ran == 0 {
		return true
	}
	return t.Route.Repeatable() && t.Ran < t.Route.MaxServers
}

// MayReplace reports whether a backend server's failure answer may be discarded and
// the request sent to another one, and charges that send to the retry budget.
func (c *Core) MayReplace(now time.Time, t *Ticket) bool {
	if !t.Route.Repeatable() || t.Ran+1 >= t.Route.MaxServers || c.tooLate(now, t) {
		return false
	}
	return len(t.tried) < maxAttempts && c.chargeRetry(now, t)
}

// finalRefusal returns the final answer of a request that gets no further send. A
// retry delay is given only if the request has certainly not run.
func (c *Core) finalRefusal(t *Ticket, code string, retryAfter time.Duration) *Refusal {
	if t.Ran == 0 {
		return &Refusal{Status: Unavailable, Code: code, RetryAfter: retryAfter}
	}
	if code == "deadline" || code == Silent.String() {
		return Refuse(TimedOut, code)
	}
	return Refuse(BadReply, code)
}

// Finish releases what a request holds when its final answer is given. The quota of
// a request that has not run is refunded.
func (c *Core) Finish(now time.Time, t *Ticket) {
	c.releaseLoad(now, t, false)
	if t.Ran == 0 && t.Org != nil {
		c.quota.Release(t.Org.ID, t.quotaCost)
		t.quotaCost = 0
	}
}
