package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// stopAttempt ends the current attempt and gives its grant back.
func (c *Core) stopAttempt(r *request, cancel bool, kind grant.OutcomeKind) {
	key := attemptKey{r.id, r.current}
	a := c.attempts.Get(key)
	if a == nil {
		return
	}
	c.out.Stops = append(c.out.Stops, StopAttempt{
		Request: r.id, Attempt: r.current, Backend: a.backend, Stream: r.stream,
		Cancel: cancel && r.work.Completion != nil,
	})
	c.releaseAttempt(r, key, a, kind)
	r.current = 0
}

// releaseAttempt deletes an attempt's row and gives its grant back.
func (c *Core) releaseAttempt(r *request, key attemptKey, a *attempt, kind grant.OutcomeKind) {
	c.attempts.Delete(key)
	if !a.granted {
		c.Grants.Withdraw(c.now, key.request, key.number)
		return
	}
	o := grant.Outcome{Kind: kind, BetweenTokens: a.pace(c.now, kind)}
	if kind == grant.Completed {
		o.Tokens = entity.Tokens(a.tokens) + entity.Tokens(len(promptOf(&r.work))/bytesPerToken)
	}
	c.Grants.Release(c.now, key.request, key.number, o)
}

// pace returns the mean time between the tokens of an attempt that has ended;
// for one that has failed, at least the time of its last silence.
func (a *attempt) pace(now time.Time, kind grant.OutcomeKind) time.Duration {
	var mean time.Duration
	if a.tokens > 1 {
		mean = a.lastToken.Sub(a.firstToken) / time.Duration(a.tokens-1)
	}
	if kind == grant.Failed {
		return max(mean, now.Sub(a.lastToken))
	}
	return mean
}

// promptOf returns the prompt, or nothing for a plain call.
func promptOf(w *Work) string {
	if w.Completion == nil {
		return ""
	}
	return w.Completion.Prompt
}

// running returns the row of the current attempt if the number is its.
func (c *Core) running(id entity.RequestID, n entity.AttemptNumber) (*request, *attempt) {
	r := c.requests.Get(id)
	if r == nil || r.current != n || r.stage != stageRunning {
		return nil, nil
	}
	return r, c.attempts.Get(attemptKey{id, n})
}

// attemptTokens takes new tokens. Tokens of any attempt but the current one
// are dropped, and so are those already known.
func (c *Core) attemptTokens(in AttemptTokens) {
	r, a := c.running(in.Request, in.Attempt)
	if a == nil {
		c.dropReply(in.Request, in.Attempt)
		return
	}
	known := len(r.tokens) - in.First + 1
	if known < 0 {
		c.breakOff(r, "tokens are missing")
		return
	}
	if known >= len(in.Tokens) {
		return
	}
	fresh := in.Tokens[known:]
	if len(r.tokens)+len(fresh) > r.work.Completion.MaxTokens {
		c.breakOff(r, "more tokens than asked for")
		return
	}
	r.tokens = append(r.tokens, fresh...)
	a.tokens += len(fresh)
	c.observeTokens(r, a, len(fresh))
	a.lastToken = c.now
	if a.tokens == len(fresh) {
		a.firstToken = c.now
	}
	c.touch(r)
	c.mirror(r)
	c.checkpoint(r, a)
}

// dropReply records a late or crossed reply.
func (c *Core) dropReply(id entity.RequestID, n entity.AttemptNumber) {
	c.out.Events = append(c.out.Events, event.Event{Number: event.ReplyDropped, At: c.now, Request: id, Attempt: n})
}

// breakOff ends the current attempt because of a reply that is not sound.
func (c *Core) breakOff(r *request, why string) {
	c.stopAttempt(r, true, grant.Failed)
	c.lostAttempt(r, verdict.New(verdict.MayHaveRun, "backend-failed", why))
}

// attemptDone takes the end of a whole reply.
func (c *Core) attemptDone(in AttemptDone) {
	r, a := c.running(in.Request, in.Attempt)
	if a == nil {
		c.dropReply(in.Request, in.Attempt)
		return
	}
	c.releaseAttempt(r, attemptKey{r.id, r.current}, a, grant.Completed)
	c.dropPending(r)
	r.current = 0
	answer := in.Answer
	answer.Tokens = r.tokens
	if !r.keyed() {
		c.finish(r, &answer, nil)
		return
	}
	r.stage = stageCommit
	c.commit(r, &answer)
}

// dropPending withdraws the attempt that waits for a grant, if there is one.
func (c *Core) dropPending(r *request) {
	if r.pending == 0 {
		return
	}
	c.Grants.Withdraw(c.now, r.id, r.pending)
	r.pending, r.pendingBackend = 0, nil
}

// attemptFailed takes the end of an attempt without a whole reply.
func (c *Core) attemptFailed(in AttemptFailed) {
	r, a := c.running(in.Request, in.Attempt)
	if a == nil {
		c.dropReply(in.Request, in.Attempt)
		return
	}
	c.emit(event.AttemptFailed, r, in.Err.Error())
	if c.resumable(r, a, in) {
		c.resume(r, in.Attempt, a.backend)
		c.attempts.Get(attemptKey{r.id, in.Attempt}).brokenAt = c.now
		return
	}
	if in.Unresumable && !a.brokenAt.IsZero() {
		in.BackendDied = true // it has forgotten a stream that just broke: it has restarted
	}
	c.releaseAttempt(r, attemptKey{r.id, r.current}, a, releaseKind(in))
	r.current = 0
	if verdict.Of(in.Err) == verdict.NotRun {
		r.mayHaveRun = a.ranBefore
	}
	r.exclude = []entity.BackendServerID{a.backend.ID}
	c.lostAttempt(r, in.Err)
}

// resumable reports whether the stream of a broken attempt may still run.
func (c *Core) resumable(r *request, a *attempt, in AttemptFailed) bool {
	if r.work.Completion == nil || in.Refused || in.Unresumable || in.BackendDied {
		return false
	}
	return !a.resumed || a.tokens > 0
}

// releaseKind maps the end of an attempt for the grant system.
func releaseKind(in AttemptFailed) grant.OutcomeKind {
	switch {
	case in.BackendDied:
		return grant.BackendDied
	case in.Refused:
		return grant.Refused
	default:
		return grant.Failed
	}
}

// lostAttempt decides what follows a failed attempt: another one, or the end.
// Only work that is repeatable, or that surely has not run, is tried again.
func (c *Core) lostAttempt(r *request, err error) {
	if r.pending != 0 {
		r.stage = stageQueued // the next attempt is already asked for
		if r.pendingBackend != nil {
			r.stage = stageClaim
		}
		return
	}
	if !r.work.Repeatable && r.mayHaveRun {
		c.fail(r, withVerdict(err, verdict.MayHaveRun))
		return
	}
	delay, ok := c.Retry.Allow(c.now, r.work.Service)
	if !ok || c.attemptsUsed(r) || !c.now.Add(delay).Before(r.deadline) {
		c.fail(r, withVerdict(err, r.verdict()))
		return
	}
	r.stage = stageBackoff
	c.emit(event.AttemptRetried, r, "")
	c.wakeBy(r, c.now.Add(delay))
}

// attemptsUsed reports whether the service document allows no more attempts.
func (c *Core) attemptsUsed(r *request) bool {
	s, ok := c.Configuration.Service(r.work.Service)
	return ok && s.Retry.MaxAttempts > 0 && r.sends >= s.Retry.MaxAttempts
}
