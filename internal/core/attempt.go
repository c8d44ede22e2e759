package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// stopAttempt stops reading the current attempt's reply and releases its grant.
// With cancel, a model engine is asked to stop the run, too.
func (c *Core) stopAttempt(r *request, cancel bool, kind grant.OutcomeKind) {
	key := attemptKey{r.id, r.currentAttempt}
	a := c.attempts.Get(key)
	if a == nil {
		return
	}
	c.out.Stops = append(c.out.Stops, StopAttempt{
		Request: r.id, Attempt: r.currentAttempt, Backend: a.backend, Stream: r.streamRequest,
		Cancel: cancel && r.work.Completion != nil,
	})
	c.releaseAttempt(r, key, a, kind)
	r.currentAttempt = 0
}

// releaseAttempt deletes an attempt's row and releases its grant, or withdraws
// its request for one.
func (c *Core) releaseAttempt(r *request, key attemptKey, a *attempt, kind grant.OutcomeKind) {
	c.attempts.Delete(key)
	if !a.granted {
		c.Grants.Withdraw(c.now, key.request, key.number)
		return
	}
	o := grant.Outcome{Kind: kind, BetweenTokens: a.meanTokenInterval(c.now, kind)}
	if kind == grant.Completed {
		o.Tokens = entity.Tokens(a.receivedTokens) + entity.Tokens(len(promptOf(&r.work))/bytesPerToken)
	}
	c.Grants.Release(c.now, key.request, key.number, o)
}

// meanTokenInterval returns the mean time between the tokens of an attempt that
// has ended. For a failed attempt it is at least the time since the last token.
func (a *attempt) meanTokenInterval(now time.Time, kind grant.OutcomeKind) time.Duration {
	var mean time.Duration
	if a.receivedTokens > 1 {
		mean = a.lastToken.Sub(a.firstToken) / time.Duration(a.receivedTokens-1)
	}
	if kind == grant.Failed {
		return max(mean, now.Sub(a.lastToken))
	}
	return mean
}

// promptOf returns the prompt of a completion, or "" for a plain call.
func promptOf(w *Work) string {
	if w.Completion == nil {
		return ""
	}
	return w.Completion.Prompt
}

// runningAttempt returns the request and its current attempt if the request is
// running and n is the number of that attempt; else nil.
func (c *Core) runningAttempt(id entity.RequestID, n entity.AttemptNumber) (*request, *attempt) {
	r := c.requests.Get(id)
	if r == nil || r.currentAttempt != n || r.stage != stageRunning {
		return nil, nil
	}
	return r, c.attempts.Get(attemptKey{id, n})
}

// handleAttemptTokens appends new tokens to the request's output. Tokens that
// are already known are dropped, and so are those of any attempt but the
// current one.
func (c *Core) handleAttemptTokens(in AttemptTokens) {
	r, a := c.runningAttempt(in.Request, in.Attempt)
	if a == nil {
		c.reportDroppedReply(in.Request, in.Attempt)
		return
	}
	knownCount := len(r.tokens) - in.First + 1
	if knownCount < 0 {
		c.abortAttempt(r, "tokens are missing")
		return
	}
	if knownCount >= len(in.Tokens) {
		return
	}
	newTokens := in.Tokens[knownCount:]
	if len(r.tokens)+len(newTokens) > r.work.Completion.MaxTokens {
		c.abortAttempt(r, "more tokens than asked for")
		return
	}
	r.tokens = append(r.tokens, newTokens...)
	a.receivedTokens += len(newTokens)
	c.observeTokens(r, a, len(newTokens))
	a.lastToken = c.now
	if a.receivedTokens == len(newTokens) {
		a.firstToken = c.now
	}
	c.markChanged(r)
	c.mirrorToJoined(r)
	c.checkpointWhenDue(r, a)
}

// reportDroppedReply emits an event for a reply that belongs to no current
// attempt and is dropped.
func (c *Core) reportDroppedReply(id entity.RequestID, n entity.AttemptNumber) {
	c.out.Events = append(c.out.Events, event.Event{Number: event.ReplyDropped, At: c.now, Request: id, Attempt: n})
}

// abortAttempt ends the current attempt because of silence or an invalid reply.
// The reason becomes the message of the error.
func (c *Core) abortAttempt(r *request, reason string) {
	c.stopAttempt(r, true, grant.Failed)
	c.retryOrFail(r, verdict.New(verdict.MayHaveRun, "backend-failed", reason))
}

// handleAttemptDone handles the end of a complete reply. The answer to a keyed
// request is committed to the journal before it is released.
func (c *Core) handleAttemptDone(in AttemptDone) {
	r, a := c.runningAttempt(in.Request, in.Attempt)
	if a == nil {
		c.reportDroppedReply(in.Request, in.Attempt)
		return
	}
	c.releaseAttempt(r, attemptKey{r.id, r.currentAttempt}, a, grant.Completed)
	c.dropPending(r)
	r.currentAttempt = 0
	answer := in.Answer
	answer.Tokens = r.tokens
	if !r.keyed() {
		c.finishRequest(r, &answer, nil)
		return
	}
	r.stage = stageCommit
	c.commitAnswer(r, &answer)
}

// dropPending withdraws the attempt that waits for a grant or a claim, if there
// is one.
func (c *Core) dropPending(r *request) {
	if r.pendingAttempt == 0 {
		return
	}
	c.Grants.Withdraw(c.now, r.id, r.pendingAttempt)
	r.pendingAttempt, r.pendingBackend = 0, nil
}

// handleAttemptFailed handles the end of an attempt without a complete reply:
// it resumes the stream where that is possible, and else retries or fails the
// request.
func (c *Core) handleAttemptFailed(in AttemptFailed) {
	r, a := c.runningAttempt(in.Request, in.Attempt)
	if a == nil {
		c.reportDroppedReply(in.Request, in.Attempt)
		return
	}
	c.emit(event.AttemptFailed, r, in.Err.Error())
	if c.mayResumeStream(r, a, in) {
		c.resumeStream(r, in.Attempt, a.backend)
		c.attempts.Get(attemptKey{r.id, in.Attempt}).brokenAt = c.now
		return
	}
	if in.Unresumable && !a.brokenAt.IsZero() {
		in.BackendDied = true // the stream was readable until just now, so the server has restarted
	}
	c.releaseAttempt(r, attemptKey{r.id, r.currentAttempt}, a, outcomeKind(in))
	r.currentAttempt = 0
	if verdict.Of(in.Err) == verdict.NotRun {
		r.mayHaveRun = a.mayHaveRunBefore
	}
	r.excludedServers = []entity.BackendServerID{a.backend.ID}
	c.retryOrFail(r, in.Err)
}

// mayResumeStream reports whether the stream of a failed attempt may still be
// running and can be read on.
func (c *Core) mayResumeStream(r *request, a *attempt, in AttemptFailed) bool {
	if r.work.Completion == nil || in.Refused || in.Unresumable || in.BackendDied {
		return false
	}
	return !a.resumed || a.receivedTokens > 0
}

// outcomeKind returns the outcome of a failed attempt as the grant system names
// it.
func outcomeKind(in AttemptFailed) grant.OutcomeKind {
	switch {
	case in.BackendDied:
		return grant.BackendDied
	case in.Refused:
		return grant.Refused
	default:
		return grant.Failed
	}
}

// retryOrFail decides what follows a failed attempt: a retry or the end of the
// request. Only work that is repeatable, or that certainly has not run, is
// retried.
func (c *Core) retryOrFail(r *request, err error) {
	if r.pendingAttempt != 0 {
		r.stage = stageQueued // a replacement attempt is already waiting
		if r.pendingBackend != nil {
			r.stage = stageClaim
		}
		return
	}
	if !r.work.Repeatable && r.mayHaveRun {
		c.failRequest(r, withVerdict(err, verdict.MayHaveRun))
		return
	}
	delay, ok := c.Retry.Allow(c.now, r.work.Service)
	if !ok || c.attemptsExhausted(r) || !c.now.Add(delay).Before(r.deadline) {
		c.failRequest(r, withVerdict(err, r.executionVerdict()))
		return
	}
	r.stage = stageBackoff
	c.emit(event.AttemptRetried, r, "")
	c.wakeBy(r, c.now.Add(delay))
}

// attemptsExhausted reports whether the request has used all attempts that the
// service document allows.
func (c *Core) attemptsExhausted(r *request) bool {
	s, ok := c.Configuration.Service(r.work.Service)
	return ok && s.Retry.MaxAttempts > 0 && r.attemptCount >= s.Retry.MaxAttempts
}
