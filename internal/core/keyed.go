package core

import (
	"slices"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/journal"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// journalKey returns the name of the work's key.
func (w *Work) journalKey() journal.Key {
	return journal.Key{Organisation: w.Organisation, Service: w.Service, Value: w.Key}
}

// begin asks the journal whether the request is to be run here.
func (c *Core) begin(r *request) {
	r.stage = stageJournal
	r.begun = true
	c.Journal.Begin(c.now, journal.Begin{
		Request: r.id, Key: r.work.journalKey(), Digest: r.work.Digest,
		Repeatable: r.work.Repeatable, Resumable: r.work.Completion != nil,
		Deadline: r.deadline,
	})
}

// claim makes the dispatch of the pending attempt durable before it.
func (c *Core) claim(r *request) {
	c.Journal.Claim(c.now, r.id, journal.Claim{Attempt: r.pending, Backend: r.pendingBackend.ID})
}

// commit makes the answer durable before its release.
func (c *Core) commit(r *request, a *Answer) {
	body, err := codec.Encode(a)
	if err != nil {
		c.fail(r, verdict.Wrap(err, verdict.Ran, "internal"))
		return
	}
	c.Journal.Finish(c.now, r.id, journal.Answer{Status: a.Status, Body: body})
}

// collectJournal takes the outputs of the journal.
func (c *Core) collectJournal() bool {
	ready := c.Journal.Ready()
	for _, op := range ready.Operations {
		c.out.Operations = append(c.out.Operations, Operation{System: SystemJournal, Operation: op})
	}
	for i := range ready.Outcomes {
		c.journalSays(&ready.Outcomes[i])
	}
	c.out.Events = append(c.out.Events, ready.Events...)
	return len(ready.Outcomes) > 0
}

// journalSays takes one outcome of the journal.
func (c *Core) journalSays(o *journal.Outcome) {
	r := c.requests.Get(o.Request)
	if r == nil || !r.begun {
		return
	}
	switch o.Kind {
	case journal.Started:
		c.start(r)
	case journal.Joined:
		c.join(r, o.Leader)
	case journal.Resume:
		c.resumeClaim(r, o.Claim)
	case journal.Claimed:
		c.claimed(r, o.Claim)
	case journal.Committed:
		r.begun = false
		c.committed(r, o.Answer)
	case journal.Refused:
		r.begun = false
		c.journalRefused(r, o.Err)
	}
}

// resumeClaim goes on with a run that an earlier owner has claimed.
func (c *Core) resumeClaim(r *request, cl *journal.Claim) {
	r.mayHaveRun = true
	r.last = max(r.last, cl.Attempt)
	r.progress = nil
	b := c.backendServer(r.work.Service, cl.Backend)
	if b == nil || r.work.Completion == nil {
		c.lostAttempt(r, verdict.New(verdict.MayHaveRun, "outcome-unknown", "an earlier run of this key cannot be resumed"))
		return
	}
	r.stream = cl.Request
	c.resume(r, cl.Attempt, *b)
}

// backendServer finds a backend server in the service document.
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

// claimed dispatches the attempt whose claim is durable, if it is still wanted.
func (c *Core) claimed(r *request, cl *journal.Claim) {
	if r.pending == 0 || r.pendingBackend == nil {
		return
	}
	if cl != nil && cl.Attempt != r.pending {
		return
	}
	c.dispatch(r)
}

// committed releases the answer that stands in the journal. It need not be the
// one that this daemon has produced.
func (c *Core) committed(r *request, a *journal.Answer) {
	if a.Failure != nil {
		c.finish(r, nil, a.Failure.Err())
		return
	}
	var answer Answer
	if err := codec.Decode(a.Body, &answer); err != nil {
		c.finish(r, nil, verdict.Wrap(err, verdict.Ran, "internal"))
		return
	}
	r.replaceTokens(answer.Tokens)
	c.finish(r, &answer, nil)
}

// replaceTokens takes the tokens of another run. What followers have seen of
// the earlier one is compared before anything more is delivered.
func (r *request) replaceTokens(tokens []string) {
	for i := range r.followers {
		f := &r.followers[i]
		if f.sent > 0 && f.sent <= len(r.tokens) {
			f.seen = r.tokens[:f.sent]
		}
	}
	r.tokens = slices.Clip(tokens)
}

// join lets a request follow the one that runs for its key.
func (c *Core) join(r *request, leader entity.RequestID) {
	r.stage = stageJoined
	l := c.requests.Get(leader)
	if l == nil {
		return
	}
	l.joined = append(l.joined, r.id)
	r.replaceTokens(l.tokens)
	c.touch(r)
}

// mirror passes new tokens on to the requests that have joined this one.
func (c *Core) mirror(leader *request) {
	for _, id := range leader.joined {
		r := c.requests.Get(id)
		if r == nil || r.stage != stageJoined {
			continue
		}
		r.tokens = slices.Clip(leader.tokens)
		c.touch(r)
	}
}

// journalRefused ends the request, or sends it to another owner. A run that
// was started under a lost epoch ends here; the next owner decides about it.
func (c *Core) journalRefused(r *request, err error) {
	if verdict.CodeOf(err) != journal.CodeNotOwner {
		c.finish(r, nil, err)
		return
	}
	if verdict.Of(err) != verdict.NotRun && !r.work.Repeatable && r.work.Call != nil {
		c.finish(r, nil, withVerdict(err, verdict.MayHaveRun))
		return
	}
	c.suspend(r)
	c.reroute(r)
}
