package core

import (
	"slices"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/journal"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// journalKey returns the key under which the journal stores the work.
func (w *Work) journalKey() journal.Key {
	return journal.Key{Organisation: w.Organisation, Service: w.Service, Value: w.Key}
}

// startInJournal asks the journal whether the request is to run here.
func (c *Core) startInJournal(r *request) {
	r.stage = stageJournal
	r.inJournal = true
	c.Journal.Submit(c.now, journal.KeyedRequest{
		Request: r.id, Key: r.work.journalKey(), Digest: r.work.Digest,
		Repeatable: r.work.Repeatable, Resumable: r.work.Completion != nil,
		Deadline: r.deadline,
	})
}

// claimDispatch records the dispatch of the pending attempt in the journal. The
// attempt is sent only once the record is durable.
func (c *Core) claimDispatch(r *request) {
	c.Journal.Claim(c.now, r.id, journal.Claim{Attempt: r.pendingAttempt, Backend: r.pendingBackend.ID})
}

// commitAnswer records the answer in the journal. It is released to the
// followers only once the record is durable.
func (c *Core) commitAnswer(r *request, a *Answer) {
	body, err := codec.Encode(a)
	if err != nil {
		c.failRequest(r, verdict.Wrap(err, verdict.Ran, "internal"))
		return
	}
	c.Journal.Finish(c.now, r.id, journal.Answer{Status: a.Status, Body: body})
}

// collectJournal applies the outputs of the journal and reports whether there
// were outcomes.
func (c *Core) collectJournal() bool {
	ready := c.Journal.Ready()
	for _, op := range ready.Operations {
		c.out.Operations = append(c.out.Operations, Operation{System: SystemJournal, Operation: op})
	}
	for i := range ready.Outcomes {
		c.handleJournalOutcome(&ready.Outcomes[i])
	}
	c.out.Events = append(c.out.Events, ready.Events...)
	return len(ready.Outcomes) > 0
}

// handleJournalOutcome applies one outcome of the journal.
func (c *Core) handleJournalOutcome(o *journal.Outcome) {
	r := c.requests.Get(o.Request)
	if r == nil || !r.inJournal {
		return
	}
	switch o.Kind {
	case journal.Started:
		c.startRequest(r)
	case journal.Joined:
		c.joinLeader(r, o.Leader)
	case journal.Resume:
		c.resumeClaimedRun(r, o.Claim)
	case journal.Claimed:
		c.dispatchClaimed(r, o.Claim)
	case journal.Committed:
		r.inJournal = false
		c.finishCommitted(r, o.Answer)
	case journal.Refused:
		r.inJournal = false
		c.handleJournalRefusal(r, o.Err)
	}
}

// resumeClaimedRun continues a run that an earlier owner of the shard has
// claimed. Only the stream of a completion can be read on.
func (c *Core) resumeClaimedRun(r *request, cl *journal.Claim) {
	r.mayHaveRun = true
	r.lastAttempt = max(r.lastAttempt, cl.Attempt)
	r.progress = nil
	b := c.backendServer(r.work.Service, cl.Backend)
	if b == nil || r.work.Completion == nil {
		c.retryOrFail(r, verdict.New(verdict.MayHaveRun, "outcome-unknown", "an earlier run of this key cannot be resumed"))
		return
	}
	r.streamRequest = cl.Request
	c.resumeStream(r, cl.Attempt, *b)
}

// backendServer finds a backend server of a service, managed ones included; nil
// if there is none.
func (c *Core) backendServer(s entity.ServiceName, id entity.BackendServerID) *entity.BackendServer {
	service := c.service(s)
	if service == nil {
		return nil
	}
	for i := range service.BackendServers {
		if service.BackendServers[i].ID == id {
			return &service.BackendServers[i]
		}
	}
	return nil
}

// dispatchClaimed dispatches the pending attempt after its claim has become
// durable, unless the attempt was dropped or replaced meanwhile.
func (c *Core) dispatchClaimed(r *request, cl *journal.Claim) {
	if r.pendingAttempt == 0 || r.pendingBackend == nil {
		return
	}
	if cl != nil && cl.Attempt != r.pendingAttempt {
		return
	}
	c.dispatchPending(r)
}

// finishCommitted releases the answer that is stored in the journal. It may
// differ from the one that this daemon has produced.
func (c *Core) finishCommitted(r *request, a *journal.Answer) {
	if a.Failure != nil {
		c.finishRequest(r, nil, a.Failure.Err())
		return
	}
	var answer Answer
	if err := codec.Decode(a.Body, &answer); err != nil {
		c.finishRequest(r, nil, verdict.Wrap(err, verdict.Ran, "internal"))
		return
	}
	r.replaceTokens(answer.Tokens)
	c.finishRequest(r, &answer, nil)
}

// replaceTokens sets the tokens to those of another run. The tokens that
// followers have received from the previous run are remembered, so that
// dropDivergedFollowers compares them before anything more is delivered.
func (r *request) replaceTokens(tokens []string) {
	for i := range r.followers {
		f := &r.followers[i]
		if f.sentCount > 0 && f.sentCount <= len(r.tokens) {
			f.seenTokens = r.tokens[:f.sentCount]
		}
	}
	r.tokens = slices.Clip(tokens)
}

// joinLeader attaches a request to the leader, the request that runs for the
// same key.
func (c *Core) joinLeader(r *request, leader entity.RequestID) {
	r.stage = stageJoined
	l := c.requests.Get(leader)
	if l == nil {
		return
	}
	l.joined = append(l.joined, r.id)
	r.replaceTokens(l.tokens)
	c.markChanged(r)
}

// mirrorToJoined copies the leader's tokens to the requests that have joined
// it.
func (c *Core) mirrorToJoined(leader *request) {
	for _, id := range leader.joined {
		r := c.requests.Get(id)
		if r == nil || r.stage != stageJoined {
			continue
		}
		r.tokens = slices.Clip(leader.tokens)
		c.markChanged(r)
	}
}

// handleJournalRefusal ends the request, or routes it to another owner if this
// daemon does not own the shard any more. A plain call that was started under a
// lost ownership epoch and is not repeatable ends here; the next owner decides
// about other requests.
func (c *Core) handleJournalRefusal(r *request, err error) {
	if verdict.CodeOf(err) != journal.CodeNotOwner {
		c.finishRequest(r, nil, err)
		return
	}
	if verdict.Of(err) != verdict.NotRun && !r.work.Repeatable && r.work.Call != nil {
		c.finishRequest(r, nil, withVerdict(err, verdict.MayHaveRun))
		return
	}
	c.suspendRequest(r)
	c.rerouteLater(r)
}
