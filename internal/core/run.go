package core

import (
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// start runs a request that needs no word of the journal, or has it.
func (c *Core) start(r *request) {
	p := r.progress
	r.progress = nil
	if p == nil {
		c.want(r)
		return
	}
	r.last = max(r.last, p.Attempt)
	r.handle = p.Handle
	r.mayHaveRun = r.mayHaveRun || p.MayHaveRun
	if p.Backend == nil {
		c.want(r)
		return
	}
	if r.work.Completion != nil {
		c.resume(r, p.Attempt, *p.Backend)
		return
	}
	c.lostAttempt(r, verdict.New(verdict.MayHaveRun, "backend-failed", "the daemon that waited for the reply has left"))
}

// want asks for a grant for a new attempt. The attempt before may go on
// meanwhile.
func (c *Core) want(r *request) {
	r.pending = r.nextAttempt()
	r.pendingBackend = nil
	if r.current == 0 {
		r.stage = stageQueued
	}
	c.Grants.Want(c.now, grant.Want{
		Request:      r.id,
		Attempt:      r.pending,
		Service:      r.work.Service,
		Organisation: r.work.Organisation,
		Priority:     r.work.Priority,
		Cost:         r.work.cost(),
		Deadline:     r.deadline,
		Digest:       r.work.Digest,
		Prefix:       r.work.prefixes(),
		Exclude:      r.exclude,
		Repeatable:   r.work.Repeatable,
	})
}

// collectGrants takes the decisions of the grant system.
func (c *Core) collectGrants() bool {
	ready := c.Grants.Ready()
	for _, e := range ready.Send {
		c.send(e.To, Message{Grant: &e.Message})
	}
	for _, d := range ready.Decisions {
		c.decided(d)
	}
	for _, d := range ready.Convictions {
		c.announceConviction(d)
	}
	c.out.Events = append(c.out.Events, ready.Events...)
	return len(ready.Send)+len(ready.Decisions)+len(ready.Convictions) > 0
}

// decided takes one decision.
func (c *Core) decided(d grant.Decision) {
	if c.slotKept(d) {
		return
	}
	r := c.requests.Get(d.Request)
	if r == nil || r.finished() || d.Attempt != r.pending {
		if d.Err == nil {
			c.Grants.Withdraw(c.now, d.Request, d.Attempt)
		}
		return
	}
	if d.Err != nil {
		c.ungranted(r, d.Err)
		return
	}
	if c.hedgeUseless(r) {
		c.dropPending(r)
		c.Grants.Withdraw(c.now, d.Request, d.Attempt)
		return
	}
	r.pendingBackend = d.Backend
	if !r.needsClaim() {
		c.dispatch(r)
		return
	}
	if r.current == 0 {
		r.stage = stageClaim
	}
	c.claim(r)
}

// ungranted handles a refusal of a grant.
func (c *Core) ungranted(r *request, err error) {
	r.pending = 0
	if r.current != 0 {
		return // the attempt before goes on
	}
	if r.mayHaveRun {
		err = withVerdict(err, verdict.MayHaveRun)
	}
	c.fail(r, err)
}

// dispatch sends the pending attempt to its backend server. An attempt that it
// replaces is cancelled first, so that its tokens end here.
func (c *Core) dispatch(r *request) {
	if r.current != 0 {
		c.stopAttempt(r, true, grant.Failed)
	}
	b := *r.pendingBackend
	r.current, r.pending, r.pendingBackend = r.pending, 0, nil
	r.stage = stageRunning
	c.attempts.Put(attemptKey{r.id, r.current}, &attempt{
		backend: b, granted: true, ranBefore: r.mayHaveRun, started: c.now, lastToken: c.now,
	})
	r.mayHaveRun = true
	c.out.Dispatches = append(c.out.Dispatches, Dispatch{
		Request: r.id, Attempt: r.current, Backend: b, Work: &r.work,
		Prefix:   append([]string(nil), r.tokens...),
		KVHandle: r.handle,
		Timeout:  r.deadline.Sub(c.now),
	})
	c.emit(event.AttemptDispatched, r, "")
	c.wakeBy(r, c.silenceAt(r))
	if c.mayHedge(r) {
		c.wakeBy(r, c.hedgeAt(r))
	}
}

// resume reads on from a stream that an earlier attempt has started. It does
// not wait for a grant: the run already has its slot.
func (c *Core) resume(r *request, n entity.AttemptNumber, b entity.BackendServer) {
	r.last = max(r.last, n)
	r.current, r.pending = n, 0
	r.stage = stageRunning
	r.mayHaveRun = true
	granted := false
	if old := c.attempts.Get(attemptKey{r.id, n}); old != nil {
		granted = old.granted
	}
	c.attempts.Put(attemptKey{r.id, n}, &attempt{
		backend: b, granted: granted, resumed: true, ranBefore: true, started: c.now, lastToken: c.now,
	})
	c.out.Dispatches = append(c.out.Dispatches, Dispatch{
		Request: r.id, Attempt: n, Backend: b, Work: &r.work, Resume: true, Stream: r.stream,
		Prefix:  append([]string(nil), r.tokens...),
		Timeout: r.deadline.Sub(c.now),
	})
	if !granted {
		c.keepSlot(r, n, b.ID)
	}
	c.emit(event.AttemptDispatched, r, "resume")
	c.wakeBy(r, c.silenceAt(r))
}

// keepSlot tells the coordinator that a running attempt now belongs to this
// daemon.
func (c *Core) keepSlot(r *request, n entity.AttemptNumber, b entity.BackendServerID) {
	c.Grants.Want(c.now, grant.Want{
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

// slotKept notes the outcome of keepSlot. Without the slot the attempt goes on
// all the same, at the cost of some overload.
func (c *Core) slotKept(d grant.Decision) bool {
	_, a := c.running(d.Request, d.Attempt)
	if a == nil || a.granted {
		return false
	}
	a.granted = d.Err == nil
	return true
}
