package journal

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
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
	case e.standing() && !e.repeatable:
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
	if r == nil || r.shard.state != stateOwned {
		return nil, nil
	}
	e := r.shard.entries[r.hash]
	if e == nil || e.leader != id {
		return nil, nil
	}
	return r, e
}

// Claim makes a claim durable. The executor dispatches the attempt only after
// Claimed. A request for which Claim is called is dispatched under claims only.
func (j *Journal) Claim(now time.Time, id entity.RequestID, c Claim) {
	r, e := j.leads(id)
	if r == nil || r.phase != phaseRunning {
		return
	}
	c.Owner, c.Epoch, c.Request = j.cfg.Self, r.shard.row.Epoch, id
	r.claim = &c
	r.phase = phaseClaiming
	j.arm(now, r)
	j.enqueue(now, r.shard, pendingRecord{record: e.newRecord(now, r.hash, recordClaimed, &c, nil)})
}

func (e *entry) newRecord(now time.Time, h keyHash, kind recordKind, c *Claim, a *Answer) record {
	return record{
		Hash: h, Digest: e.digest, Kind: kind, Repeatable: e.repeatable,
		Claim: c, Answer: a, At: now.UnixMicro(),
	}
}

func sameClaim(a, b *Claim) bool {
	return a.Request == b.Request && a.Attempt == b.Attempt && a.Epoch == b.Epoch
}

// claimCommitted lets the request go that still waits for the claim. A claim
// that was given up meanwhile stays undispatched: nobody waits for it.
func (j *Journal) claimCommitted(now time.Time, c *Claim) {
	r, _ := j.leads(c.Request)
	if r == nil || r.phase != phaseClaiming || !sameClaim(r.claim, c) {
		return
	}
	r.phase = phaseRunning
	r.wait++
	r.mayRun = true
	j.emitRequest(now, event.JournalClaimed, r.Request)
	j.outcome(Outcome{Request: r.Request, Kind: Claimed, Claim: c})
}

// GiveUp ends a request without an answer; no outcome follows. With
// undispatched the executor states that no attempt of the request was ever
// sent to a backend server. Requests that have joined it are admitted anew.
func (j *Journal) GiveUp(now time.Time, id entity.RequestID, undispatched bool) {
	r := j.requests[id]
	if r == nil {
		return
	}
	j.forget(r)
	s := r.shard
	e := s.entries[r.hash]
	if e == nil {
		return
	}
	e.joined = without(e.joined, id)
	if e.leader == id {
		e.leader = ""
		j.endClaim(now, s, e, r, undispatched)
		j.readmit(now, s, e, !undispatched && r.dispatchable())
	}
	s.drop(r.hash, e)
	j.mayRelease(now, s)
}

// endClaim sees to it that the claim of a request that is given up before
// dispatch is recorded as such.
func (j *Journal) endClaim(now time.Time, s *shard, e *entry, r *request, undispatched bool) {
	if r.claim == nil || s.state != stateOwned {
		return
	}
	claiming := r.phase == phaseClaiming
	if claiming && s.unqueue(func(rec *record) bool { return rec.Kind == recordClaimed && sameClaim(rec.Claim, r.claim) }) {
		return
	}
	if !undispatched && (!claiming || r.mayRun) {
		return
	}
	e.givenUp = r.claim
	j.enqueue(now, s, pendingRecord{record: e.newRecord(now, r.hash, recordUndispatched, r.claim, nil)})
}

// dispatchable tells whether the executor was free to dispatch the request.
func (r *request) dispatchable() bool {
	return r.mayRun || r.finished || r.phase == phaseRunning && r.Repeatable
}

// readmit admits the requests that had joined one that is gone. If that one
// may have run, so may they.
func (j *Journal) readmit(now time.Time, s *shard, e *entry, mayRun bool) {
	joined := e.joined
	e.joined = nil
	for _, id := range joined {
		if r := j.requests[id]; r != nil {
			r.mayRun = r.mayRun || mayRun
			j.admit(now, s, r)
		}
	}
}

func without(ids []entity.RequestID, id entity.RequestID) []entity.RequestID {
	for i := range ids {
		if ids[i] == id {
			return append(ids[:i:i], ids[i+1:]...)
		}
	}
	return ids
}

// Disown starts the graceful hand-over of all shards. No new request is
// admitted; running ones have ReleaseGrace to finish.
func (j *Journal) Disown(now time.Time) {
	if j.leaving {
		return
	}
	j.leaving = true
	j.place()
	for _, s := range j.shards {
		j.release(now, s)
	}
}

// Disowned tells whether the hand-over that Disown has started is over.
func (j *Journal) Disowned() bool {
	for _, s := range j.shards {
		if s.state != stateForeign {
			return false
		}
	}
	return j.leaving
}

// arm sets the limit of the request's present wait.
func (j *Journal) arm(now time.Time, r *request) {
	r.wait++
	wait := r.wait
	at := now.Add(j.cfg.TryFor)
	if !r.Deadline.IsZero() && r.Deadline.Before(at) {
		at = r.Deadline
	}
	j.at(at, func(now time.Time) {
		if j.requests[r.Request] == r && r.wait == wait {
			j.expire(now, r)
		}
	})
}

// expire refuses a request whose wait has lasted too long.
func (j *Journal) expire(now time.Time, r *request) {
	s := r.shard
	switch r.phase {
	case phaseWaiting:
		j.refuse(r, j.unavailable(r.verdict()))
	case phaseAwaiting:
		e := s.entries[r.hash]
		e.joined = without(e.joined, r.Request)
		j.refuse(r, j.unavailable(verdict.MayHaveRun))
	case phaseFetching:
		j.refuse(r, j.unavailable(verdict.Ran))
	case phaseResolving:
		j.refuseNotOwner(s, r)
	case phaseClaiming, phaseFinishing:
		j.expireLeader(now, s, r)
	}
}

// verdict is the verdict on a request without an answer. Where its key may be
// an old one, or it had joined another request, that one may have run.
func (r *request) verdict() verdict.Verdict {
	if r.maybeOld || r.mayRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// expireLeader refuses a leader, and all who have joined it, because its
// record cannot be committed. The record may be committed later all the same.
func (j *Journal) expireLeader(now time.Time, s *shard, r *request) {
	e := s.entries[r.hash]
	e.leader = ""
	joined := e.joined
	e.joined = nil
	v := r.verdict()
	if r.phase == phaseFinishing {
		v = finishedVerdict(e.answer, r)
		j.letGoAnswer(s, e)
	} else {
		j.endClaim(now, s, e, r, false)
	}
	err := j.unavailable(v)
	j.refuse(r, err)
	for _, id := range joined {
		if other := j.requests[id]; other != nil {
			j.refuse(other, err)
		}
	}
	s.drop(r.hash, e)
	j.mayRelease(now, s)
}

// finishedVerdict is the verdict on a request whose outcome is known but
// cannot be committed.
func finishedVerdict(a *Answer, r *request) verdict.Verdict {
	if a == nil || a.Failure == nil {
		return verdict.Ran
	}
	if r.mayRun && a.Failure.Verdict == verdict.NotRun {
		return verdict.MayHaveRun
	}
	return a.Failure.Verdict
}

func (j *Journal) unavailable(v verdict.Verdict) error {
	return verdict.WithRetryAfter(
		verdict.New(v, CodeStoreUnavailable, "the journal's store does not answer"), j.cfg.RetryAfter)
}

// refuse ends a request with an error.
func (j *Journal) refuse(r *request, err error) {
	j.forget(r)
	j.outcome(Outcome{Request: r.Request, Kind: Refused, Err: err})
}

// refuseNotOwner ends a request whose answer this daemon cannot commit or read.
func (j *Journal) refuseNotOwner(s *shard, r *request) {
	j.forget(r)
	err := verdict.New(r.verdict(), CodeNotOwner, "another daemon owns the key's shard")
	j.outcome(Outcome{Request: r.Request, Kind: Refused, Owner: j.owner(s), Err: err})
}

func (j *Journal) forget(r *request) {
	r.wait++
	if r.phase == phaseWaiting {
		r.shard.waiting = without(r.shard.waiting, r.Request)
	}
	delete(j.requests, r.Request)
	r.shard.requests.Delete(r.Request)
}
