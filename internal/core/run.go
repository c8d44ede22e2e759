package core

import (
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// startRequest starts or continues the run of a request that has no key, or
// that the journal has admitted.
func (c *Core) startRequest(r *request) {
	p := r.progress
	r.progress = nil
	if p == nil {
		c.acquireGrant(r)
		return
	}
	r.lastAttempt = max(r.lastAttempt, p.Attempt)
	r.kvHandle = p.Handle
	r.mayHaveRun = r.mayHaveRun || p.MayHaveRun
	if p.Backend == nil {
		c.acquireGrant(r)
		return
	}
	if r.work.Completion != nil {
		c.resumeStream(r, p.Attempt, *p.Backend)
		return
	}
	c.retryOrFail(r, verdict.New(verdict.MayHaveRun, "backend-failed", "the daemon that waited for the reply has left"))
}

// acquireGrant requests a grant for a new attempt. The current attempt, if
// there is one, continues meanwhile.
func (c *Core) acquireGrant(r *request) {
	r.pendingAttempt = r.nextAttempt()
	r.pendingBackend = nil
	if r.currentAttempt == 0 {
		r.stage = stageQueued
	}
	c.Grants.Acquire(c.now, grant.Acquisition{
		Request:      r.id,
		Attempt:      r.pendingAttempt,
		Service:      r.work.Service,
		Organisation: r.work.Organisation,
		Priority:     r.work.Priority,
		Cost:         r.work.cost(),
		Deadline:     r.deadline,
		Digest:       r.work.Digest,
		Prefix:       r.work.prefixes(),
		Exclude:      r.excludedServers,
		Repeatable:   r.work.Repeatable,
	})
}

// collectGrants applies the outputs of the grant system and reports whether
// there were any apart from events.
func (c *Core) collectGrants() bool {
	ready := c.Grants.Ready()
	for _, e := range ready.Send {
		c.send(e.To, Message{Grant: &e.Message})
	}
	for _, d := range ready.Decisions {
		c.handleGrantDecision(d)
	}
	for _, d := range ready.Quarantined {
		c.announceQuarantine(d)
	}
	c.out.Events = append(c.out.Events, ready.Events...)
	return len(ready.Send)+len(ready.Decisions)+len(ready.Quarantined) > 0
}

// handleGrantDecision applies one decision about a grant. A grant that is no
// longer needed is given back.
func (c *Core) handleGrantDecision(d grant.Decision) {
	if c.handleSlotDecision(d) {
		return
	}
	r := c.requests.Get(d.Request)
	if r == nil || r.finished() || d.Attempt != r.pendingAttempt {
		if d.Err == nil {
			c.Grants.Withdraw(c.now, d.Request, d.Attempt)
		}
		return
	}
	if d.Err != nil {
		c.handleGrantRefusal(r, d.Err)
		return
	}
	if c.hedgeUnneeded(r) {
		c.dropPending(r)
		c.Grants.Withdraw(c.now, d.Request, d.Attempt)
		return
	}
	r.pendingBackend = d.Backend
	if !r.needsClaim() {
		c.dispatchPending(r)
		return
	}
	if r.currentAttempt == 0 {
		r.stage = stageClaim
	}
	c.claimDispatch(r)
}

// handleGrantRefusal ends a request whose grant was refused, unless an earlier
// attempt still runs.
func (c *Core) handleGrantRefusal(r *request, err error) {
	r.pendingAttempt = 0
	if r.currentAttempt != 0 {
		return // the current attempt continues
	}
	if r.mayHaveRun {
		err = withVerdict(err, verdict.MayHaveRun)
	}
	c.failRequest(r, err)
}

// dispatchPending sends the pending attempt to its backend server. The attempt
// that it replaces is cancelled first, so that none of its tokens are accepted
// any more.
func (c *Core) dispatchPending(r *request) {
	if r.currentAttempt != 0 {
		c.stopAttempt(r, true, grant.Failed)
	}
	b := *r.pendingBackend
	r.currentAttempt, r.pendingAttempt, r.pendingBackend = r.pendingAttempt, 0, nil
	r.stage = stageRunning
	c.attempts.Put(attemptKey{r.id, r.currentAttempt}, &attempt{
		backend: b, granted: true, mayHaveRunBefore: r.mayHaveRun, started: c.now, lastToken: c.now,
	})
	r.mayHaveRun = true
	c.out.Dispatches = append(c.out.Dispatches, Dispatch{
		Request: r.id, Attempt: r.currentAttempt, Backend: b, Work: &r.work,
		Prefix:   append([]string(nil), r.tokens...),
		KVHandle: r.kvHandle,
		Timeout:  r.deadline.Sub(c.now),
	})
	c.emit(event.AttemptDispatched, r, "")
	c.wakeBy(r, c.silenceDeadline(r))
	if c.mayHedge(r) {
		c.wakeBy(r, c.hedgeAt(r))
	}
}

// resumeStream continues reading a stream that an earlier attempt has started.
// It does not wait for a grant, since the run already occupies its slot.
func (c *Core) resumeStream(r *request, n entity.AttemptNumber, b entity.BackendServer) {
	r.lastAttempt = max(r.lastAttempt, n)
	r.currentAttempt, r.pendingAttempt = n, 0
	r.stage = stageRunning
	r.mayHaveRun = true
	granted := false
	if old := c.attempts.Get(attemptKey{r.id, n}); old != nil {
		granted = old.granted
	}
	c.attempts.Put(attemptKey{r.id, n}, &attempt{
		backend: b, granted: granted, resumed: true, mayHaveRunBefore: true, started: c.now, lastToken: c.now,
	})
	c.out.Dispatches = append(c.out.Dispatches, Dispatch{
		Request: r.id, Attempt: n, Backend: b, Work: &r.work, Resume: true, Stream: r.streamRequest,
		Prefix:  append([]string(nil), r.tokens...),
		Timeout: r.deadline.Sub(c.now),
	})
	if !granted {
		c.acquireRunningSlot(r, n, b.ID)
	}
	c.emit(event.AttemptDispatched, r, "resume")
	c.wakeBy(r, c.silenceDeadline(r))
}

// acquireRunningSlot tells the coordinator of the backend server that the slot
// of a running attempt now belongs to this daemon.
func (c *Core) acquireRunningSlot(r *request, n entity.AttemptNumber, b entity.BackendServerID) {
	c.Grants.Acquire(c.now, grant.Acquisition{
		Request:      r.id,
		Attempt:      n,
		Service:      r.work.Service,
		Organisation: r.work.Organisation,
		Priority:     r.work.Priority,
		Cost:         r.work.cost(),
		Deadline:     r.deadline,
		Digest:       r.work.Digest,
		Only:         b,
		Repeatable:   r.work.Repeatable,
		Resume:       true,
	})
}

// handleSlotDecision records the outcome of acquireRunningSlot and reports
// whether the decision was about one. If the slot was refused the attempt
// continues all the same, at the cost of some overload.
func (c *Core) handleSlotDecision(d grant.Decision) bool {
	_, a := c.runningAttempt(d.Request, d.Attempt)
	if a == nil || a.granted {
		return false
	}
	a.granted = d.Err == nil
	return true
}
