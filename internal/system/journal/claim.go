package journal

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

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
