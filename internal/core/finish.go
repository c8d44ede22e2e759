package core

import (
	"hash/crc32"
	"slices"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// fail ends a request without an answer. What still runs for it is cancelled.
func (c *Core) fail(r *request, err error) {
	if r.finished() {
		return
	}
	undispatched := !r.mayHaveRun
	if r.begun {
		c.Journal.GiveUp(c.now, r.id, undispatched)
	}
	if r.stage == stageRelayed {
		c.send(r.relay.owner, Message{RelayCancel: &RelayCancel{Request: r.id}})
	}
	c.finish(r, nil, err)
}

// finish gives a request its final outcome and tells the followers.
func (c *Core) finish(r *request, answer *Answer, err error) {
	if r.finished() {
		return
	}
	c.dropPending(r)
	if r.current != 0 {
		c.stopAttempt(r, true, grant.Failed)
	}
	// A standby that has not heard of this end may still run the request.
	mayRun := r.mayHaveRun || r.offered()
	if err != nil && mayRun && verdict.Of(err) == verdict.NotRun {
		err = withVerdict(err, verdict.MayHaveRun)
	}
	r.stage = stageDone
	r.begun = false
	r.answer, r.err = answer, err
	r.doneAt = c.now
	c.active--
	c.finished = append(c.finished, r.id)
	c.concludeOffer(r)
	if err != nil {
		c.emit(event.RequestFailed, r, string(verdict.CodeOf(err)))
	} else {
		c.emit(event.RequestAnswered, r, "")
		c.observeAnswer(r, answer)
	}
	c.touch(r)
}

// touch notes that the followers of a request may have something to be told.
func (c *Core) touch(r *request) {
	if r.dirty {
		return
	}
	r.dirty = true
	c.dirty = append(c.dirty, r)
}

// deliver tells the followers of changed requests what is new.
func (c *Core) deliver() {
	for _, r := range c.dirty {
		r.dirty = false
		c.deliverRequest(r)
	}
	c.dirty = c.dirty[:0]
}

// deliverRequest brings each follower up to date. Followers of a finished
// request get the final outcome and are forgotten.
func (c *Core) deliverRequest(r *request) {
	c.dropDisagreeing(r)
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

// dropDisagreeing fails the followers that have seen other tokens than this
// run has produced: two runs are never spliced.
func (c *Core) dropDisagreeing(r *request) {
	kept := r.followers[:0]
	for _, f := range r.followers {
		if r.err == nil && (disagrees(f.seen, r.tokens, r.finished()) || f.disagreesBySum(r)) {
			c.tellDisagreement(r, f)
			continue
		}
		kept = append(kept, f)
	}
	r.followers = kept
}

// disagrees reports whether the tokens seen cannot be the start of the run's.
func disagrees(seen, tokens []string, whole bool) bool {
	if whole && len(seen) > len(tokens) {
		return true
	}
	n := min(len(seen), len(tokens))
	return !slices.Equal(seen[:n], tokens[:n])
}

// disagreesBySum compares what the caller says it has seen with the run, once
// the run is that far.
func (f *follower) disagreesBySum(r *request) bool {
	if !f.unchecked {
		return false
	}
	if len(r.tokens) < f.sent {
		return r.finished()
	}
	f.unchecked = false
	return checksum(0, r.tokens[:f.sent]) != f.sum
}

// checksum extends the CRC-32 of a list of tokens. Each token counts with its
// end, so that other cuts of the same text differ.
func checksum(sum uint32, tokens []string) uint32 {
	for _, t := range tokens {
		sum = crc32.Update(sum, crc32.IEEETable, append([]byte(t), 0))
	}
	return sum
}

// tellDisagreement gives one follower its final error.
func (c *Core) tellDisagreement(r *request, f follower) {
	err := verdict.New(verdict.MayHaveRun, "restarted", "the answer differs from what was streamed before; fetch it anew")
	if f.peer != "" {
		c.send(f.peer, Message{RelayEnd: &RelayEnd{Request: r.id, Round: f.round, Failure: failureOf(err)}})
		return
	}
	delete(c.callers, f.caller)
	c.out.Replies = append(c.out.Replies, Reply{Caller: f.caller, Failed: err})
}

// deliverCaller tells one caller of this daemon.
func (c *Core) deliverCaller(r *request, f *follower) {
	if f.stream && f.sent < len(r.tokens) && r.err == nil {
		c.deliverTokens(r, f)
	}
	if !r.finished() {
		return
	}
	delete(c.callers, f.caller)
	c.out.Replies = append(c.out.Replies, Reply{Caller: f.caller, Done: r.answer, Failed: r.err})
}

// deliverTokens tells one caller the tokens that it does not have.
func (c *Core) deliverTokens(r *request, f *follower) {
	reply := Reply{Caller: f.caller, First: f.sent + 1}
	reply.Tokens = append(reply.Tokens, r.tokens[f.sent:]...)
	for i := range reply.Tokens {
		f.sum = checksum(f.sum, reply.Tokens[i:i+1])
		reply.Sums = append(reply.Sums, f.sum)
	}
	c.out.Replies = append(c.out.Replies, reply)
	f.sent = len(r.tokens)
}

// deliverPeer tells a daemon that has relayed the request here.
func (c *Core) deliverPeer(r *request, f *follower) {
	if f.sent < len(r.tokens) && r.err == nil {
		c.send(f.peer, Message{RelayTokens: &RelayTokens{
			Request: r.id, Round: f.round, First: f.sent + 1,
			Tokens: append([]string(nil), r.tokens[f.sent:]...), Progress: c.whereabouts(r),
		}})
		f.sent = len(r.tokens)
	}
	if !r.finished() {
		return
	}
	end := &RelayEnd{Request: r.id, Round: f.round, Total: len(r.tokens), Failure: failureOf(r.err)}
	if r.answer != nil {
		a := *r.answer
		a.Tokens = nil // they have gone ahead
		end.Answer = &a
	}
	c.send(f.peer, Message{RelayEnd: end})
}

// whereabouts says where the request runs, without its tokens.
func (c *Core) whereabouts(r *request) *Progress {
	p := &Progress{Attempt: r.last, Handle: r.handle, MayHaveRun: r.mayHaveRun}
	if a := c.attempts.Get(attemptKey{r.id, r.current}); a != nil {
		b := a.backend
		p.Attempt, p.Backend = r.current, &b
	}
	return p
}

// forget drops the outcomes that have been kept long enough, oldest first.
func (c *Core) forget() {
	for len(c.finished) > 0 {
		id := c.finished[0]
		r := c.requests.Get(id)
		old := r != nil && c.now.Sub(r.doneAt) < c.Limits.KeepFinished
		if old && len(c.finished) <= c.Limits.MaxFinished {
			return
		}
		c.requests.Delete(id)
		c.finished = c.finished[1:]
	}
}
