package journal

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// phase is what a request waits for.
type phase uint8

const (
	// phaseWaiting: for the shard, the table or a segment.
	phaseWaiting phase = iota
	// phaseRunning: the executor runs it.
	phaseRunning
	// phaseClaiming: its claim is to become durable.
	phaseClaiming
	// phaseFinishing: its answer is to become durable.
	phaseFinishing
	// phaseJoined: another request with its key runs.
	phaseJoined
	// phaseAwaiting: the key's answer is to become durable; nobody runs it.
	phaseAwaiting
	// phaseFetching: the key's answer is being read from the object store.
	phaseFetching
	// phaseResolving: ownership is lost; the winner's journal is being read.
	phaseResolving
)

// request is one request that the executor has begun and not ended.
type request struct {
	Begin
	hash  keyHash
	shard *shard
	phase phase
	wait  uint64 // rises with every wait, so that older timers are void

	claim    *Claim // the claim made last
	mayRun   bool   // the request may have been dispatched
	finished bool   // an answer was passed to Finish
	maybeOld bool   // a segment's filter holds the key
	absentAt uint64 // version of the shard's row whose segments do not hold the key
}

// Begin asks, on the owner of the key's shard, whether a request is to be run.
// Exactly one of Started, Joined, Resume, Committed and Refused follows, with
// two exceptions: a request whose key's answer is being committed gets just
// the Committed, and a request that Joined is told Started or Resume when its
// leader is given up. A request id that is known already is ignored.
func (j *Journal) Begin(now time.Time, b Begin) {
	if j.requests[b.Request] != nil {
		return
	}
	h := hashOf(b.Key)
	s := j.shards[h.shard(j.cfg.Shards)]
	r := &request{Begin: b, hash: h, shard: s}
	j.requests[b.Request] = r
	s.requests.Put(b.Request, r)
	j.route(now, s, r)
}

// route admits the request on the owner, lets it wait where the shard is
// about to be owned, and else names the owner.
func (j *Journal) route(now time.Time, s *shard, r *request) {
	if s.releasing || j.leaving {
		j.refuseNotOwner(s, r)
		return
	}
	switch s.state {
	case stateOwned:
		j.admit(now, s, r)
	case stateTaking, stateLoading:
		j.hold(now, s, r)
	default:
		if j.owner(s) != j.cfg.Self {
			j.refuseNotOwner(s, r)
			return
		}
		j.hold(now, s, r)
		j.evaluate(now, s)
	}
}

// hold lets the request wait until the shard can admit it.
func (j *Journal) hold(now time.Time, s *shard, r *request) {
	j.startWaiting(now, r)
	s.waiting = append(s.waiting, r.Request)
}

// startWaiting sets the limit of a wait, unless the request waits already: a
// wait for one thing after another has one limit.
func (j *Journal) startWaiting(now time.Time, r *request) {
	if r.phase == phaseWaiting && r.wait > 0 {
		return
	}
	r.phase = phaseWaiting
	j.arm(now, r)
}

// admitWaiting admits what was held.
func (j *Journal) admitWaiting(now time.Time, s *shard) {
	if s.state != stateOwned || len(s.waiting) == 0 || j.blocked(now, s) {
		return
	}
	held := s.waiting
	s.waiting = nil
	for _, id := range held {
		if r := j.requests[id]; r != nil && r.phase == phaseWaiting {
			j.admit(now, s, r)
		}
	}
}

// admit decides what becomes of a request on the shard's owner.
func (j *Journal) admit(now time.Time, s *shard, r *request) {
	e := s.entries[r.hash]
	if e == nil && j.lookUp(now, s, r) {
		return
	}
	if e == nil {
		j.admitNew(now, s, r)
		return
	}
	if e.digest != r.Digest || e.repeatable != r.Repeatable {
		j.refuse(r, verdict.New(verdict.NotRun, CodeKeyReused, "the key was used with other content"))
		return
	}
	switch {
	case e.record.Kind == recordAnswered:
		j.deliver(now, r, e.record.Answer)
	case e.leader != "":
		r.phase = phaseJoined
		r.wait++
		e.joined = append(e.joined, r.Request)
		j.outcome(Outcome{Request: r.Request, Kind: Joined, Leader: e.leader})
	case e.answer != nil:
		r.phase = phaseAwaiting
		j.arm(now, r)
		e.joined = append(e.joined, r.Request)
	case e.standing() && !e.repeatable && !r.Resumable:
		j.refuse(r, verdict.New(verdict.MayHaveRun, CodeOutcomeUnknown, "an earlier claim of the key has no answer"))
	case j.blocked(now, s):
		j.hold(now, s, r)
	case e.standing():
		claim := *e.record.Claim
		j.lead(e, r)
		r.mayRun = true
		j.outcome(Outcome{Request: r.Request, Kind: Resume, Claim: &claim})
	default:
		j.lead(e, r)
		j.outcome(Outcome{Request: r.Request, Kind: Started})
	}
}

// admitNew admits a request whose key is new.
func (j *Journal) admitNew(now time.Time, s *shard, r *request) {
	if j.blocked(now, s) {
		j.hold(now, s, r)
		return
	}
	e := &entry{digest: r.Digest, repeatable: r.Repeatable}
	s.entries[r.hash] = e
	j.lead(e, r)
	j.outcome(Outcome{Request: r.Request, Kind: Started})
}

// lead makes the request the one that runs for its key. Repeatable work may
// be dispatched from now on; other work only after its claim.
func (j *Journal) lead(e *entry, r *request) {
	e.leader = r.Request
	r.phase = phaseRunning
	r.wait++
}

// leads returns the request and its entry if it runs for its key.
func (j *Journal) leads(id entity.RequestID) (*request, *entry) {
	r := j.requests[id]
	if r == nil {
		return nil, nil
	}
	e := r.shard.entries[r.hash]
	if e == nil || e.leader != id { // only an owner's entries have leaders
		return nil, nil
	}
	return r, e
}
