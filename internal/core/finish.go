package core

import (
	"hash/crc32"
	"slices"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// failRequest ends a request without an answer and cancels what still runs for
// it, here or at the owner of its key.
func (c *Core) failRequest(r *request, err error) {
	if r.finished() {
		return
	}
	undispatched := !r.mayHaveRun
	if r.inJournal {
		c.Journal.GiveUp(c.now, r.id, undispatched)
	}
	if r.stage == stageRelayed {
		c.send(r.relay.owner, Message{RelayCancel: &RelayCancel{Request: r.id}})
	}
	c.finishRequest(r, nil, err)
}

// finishRequest sets the final outcome of a request and schedules its delivery
// to the followers.
func (c *Core) finishRequest(r *request, answer *Answer, err error) {
	if r.finished() {
		return
	}
	c.dropPending(r)
	if r.currentAttempt != 0 {
		c.stopAttempt(r, true, grant.Failed)
	}
	// A standby daemon that has not received this outcome may still run the
	// request.
	mayRun := r.mayHaveRun || r.hasOffer()
	if err != nil && mayRun && verdict.Of(err) == verdict.NotRun {
		err = withVerdict(err, verdict.MayHaveRun)
	}
	r.stage = stageDone
	r.inJournal = false
	r.answer, r.err = answer, err
	r.doneAt = c.now
	c.unfinished--
	c.finishedInOrder = append(c.finishedInOrder, r.id)
	c.notifyStandby(r)
	if err != nil {
		c.emit(event.RequestFailed, r, string(verdict.CodeOf(err)))
	} else {
		c.emit(event.RequestAnswered, r, "")
		c.observeAnswer(r, answer)
	}
	c.markChanged(r)
}

// markChanged schedules a request for deliverChanges, because its followers may
// have something to receive.
func (c *Core) markChanged(r *request) {
	if r.changed {
		return
	}
	r.changed = true
	c.changed = append(c.changed, r)
}

// deliverChanges sends the followers of changed requests what they do not have.
func (c *Core) deliverChanges() {
	for _, r := range c.changed {
		r.changed = false
		c.deliverRequest(r)
	}
	c.changed = c.changed[:0]
}

// deliverRequest sends each follower what it does not have. Followers of a
// finished request get the final outcome and are removed.
func (c *Core) deliverRequest(r *request) {
	c.dropDivergedFollowers(r)
	for i := range r.followers {
		f := &r.followers[i]
		if f.peer != "" {
			c.deliverPeer(r, f)
		} else {
			c.deliverCaller(r, f)
		}
	}
	if r.finished() {
		r.followers = nil
	}
}

// dropDivergedFollowers fails and removes the followers that have received
// tokens other than those of the present run: the output of two runs must never
// be joined into one answer.
func (c *Core) dropDivergedFollowers(r *request) {
	kept := r.followers[:0]
	for _, f := range r.followers {
		if r.err == nil && (tokensDiverge(f.seenTokens, r.tokens, r.finished()) || f.checksumDiverges(r)) {
			c.reportDivergence(r, f)
			continue
		}
		kept = append(kept, f)
	}
	r.followers = kept
}

// tokensDiverge reports whether seen cannot be the start of the run's tokens;
// complete says that the run will produce no more tokens.
func tokensDiverge(seen, tokens []string, complete bool) bool {
	if complete && len(seen) > len(tokens) {
		return true
	}
	n := min(len(seen), len(tokens))
	return !slices.Equal(seen[:n], tokens[:n])
}

// checksumDiverges compares the checksum that the follower has stated with that
// of the run, once the run has produced as many tokens.
func (f *follower) checksumDiverges(r *request) bool {
	if !f.sumUnverified {
		return false
	}
	if len(r.tokens) < f.sentCount {
		return r.finished()
	}
	f.sumUnverified = false
	return checksum(0, r.tokens[:f.sentCount]) != f.sum
}

// checksum extends the CRC-32 of a list of tokens. A zero byte after each token
// makes the checksum depend on how the text is split into tokens.
func checksum(sum uint32, tokens []string) uint32 {
	for _, t := range tokens {
		sum = crc32.Update(sum, crc32.IEEETable, append([]byte(t), 0))
	}
	return sum
}

// reportDivergence sends one follower the final error that its tokens do not
// match the run.
func (c *Core) reportDivergence(r *request, f follower) {
	err := verdict.New(verdict.MayHaveRun, "restarted", "the answer differs from what was streamed before; fetch it anew")
	if f.peer != "" {
		c.send(f.peer, Message{RelayEnd: &RelayEnd{Request: r.id, Round: f.relayRound, Failure: failureOf(err)}})
		return
	}
	delete(c.callers, f.caller)
	c.out.Replies = append(c.out.Replies, Reply{Caller: f.caller, Failed: err})
}

// deliverCaller sends one caller of this daemon new tokens, if it streams, and
// the final outcome once there is one.
func (c *Core) deliverCaller(r *request, f *follower) {
	if f.stream && f.sentCount < len(r.tokens) && r.err == nil {
		c.deliverTokens(r, f)
	}
	if !r.finished() {
		return
	}
	delete(c.callers, f.caller)
	c.out.Replies = append(c.out.Replies, Reply{Caller: f.caller, Done: r.answer, Failed: r.err})
}

// deliverTokens sends one caller the tokens that it does not have.
func (c *Core) deliverTokens(r *request, f *follower) {
	reply := Reply{Caller: f.caller, First: f.sentCount + 1}
	reply.Tokens = append(reply.Tokens, r.tokens[f.sentCount:]...)
	for i := range reply.Tokens {
		f.sum = checksum(f.sum, reply.Tokens[i:i+1])
		reply.Sums = append(reply.Sums, f.sum)
	}
	c.out.Replies = append(c.out.Replies, reply)
	f.sentCount = len(r.tokens)
}

// deliverPeer sends a daemon that has relayed the request here new tokens, and
// the final outcome once there is one.
func (c *Core) deliverPeer(r *request, f *follower) {
	if f.sentCount < len(r.tokens) && r.err == nil {
		c.send(f.peer, Message{RelayTokens: &RelayTokens{
			Request: r.id, Round: f.relayRound, First: f.sentCount + 1,
			Tokens: append([]string(nil), r.tokens[f.sentCount:]...), Progress: c.runProgress(r),
		}})
		f.sentCount = len(r.tokens)
	}
	if !r.finished() {
		return
	}
	end := &RelayEnd{Request: r.id, Round: f.relayRound, Total: len(r.tokens), Failure: failureOf(r.err)}
	if r.answer != nil {
		a := *r.answer
		a.Tokens = nil // already sent in RelayTokens
		end.Answer = &a
	}
	c.send(f.peer, Message{RelayEnd: end})
}

// runProgress returns the state of the request's run, without its tokens.
func (c *Core) runProgress(r *request) *Progress {
	p := &Progress{Attempt: r.lastAttempt, Handle: r.kvHandle, MayHaveRun: r.mayHaveRun}
	if a := c.attempts.Get(attemptKey{r.id, r.currentAttempt}); a != nil {
		b := a.backend
		p.Attempt, p.Backend = r.currentAttempt, &b
	}
	return p
}

// expireFinished deletes finished requests, oldest first, when they have been
// kept for FinishedRetention or when there are more than MaxFinished.
func (c *Core) expireFinished() {
	for len(c.finishedInOrder) > 0 {
		id := c.finishedInOrder[0]
		r := c.requests.Get(id)
		retained := r != nil && c.now.Sub(r.doneAt) < c.Limits.FinishedRetention
		if retained && len(c.finishedInOrder) <= c.Limits.MaxFinished {
			return
		}
		c.requests.Delete(id)
		c.finishedInOrder = c.finishedInOrder[1:]
	}
}
