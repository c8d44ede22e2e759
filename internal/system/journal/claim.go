package journal

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// Claim writes a claim to the journal. The executor dispatches the attempt only
// after Claimed. Once Claim was called for a request, each of its attempts
// needs a committed claim before its dispatch.
func (j *Journal) Claim(now time.Time, id entity.RequestID, c Claim) {
	r, e := j.leaderRequest(id)
	if r == nil || r.phase != phaseRunning {
		return
	}
	c.Owner, c.Epoch, c.Request = j.cfg.Self, r.shard.row.Epoch, id
	r.claim = &c
	r.phase = phaseClaiming
	j.startWaitTimer(now, r)
	j.enqueueRecord(now, r.shard, pendingRecord{record: e.newRecord(now, r.hash, recordClaimed, &c, nil)})
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

// claimCommitted emits Claimed for the request that waits for the claim. If the
// request has ended meanwhile, nothing is emitted and the attempt is never
// dispatched.
func (j *Journal) claimCommitted(now time.Time, c *Claim) {
	r, _ := j.leaderRequest(c.Request)
	if r == nil || r.phase != phaseClaiming || !sameClaim(r.claim, c) {
		return
	}
	r.phase = phaseRunning
	r.waitSeq++
	r.mayRun = true
	j.emitRequestEvent(now, event.JournalClaimed, r.Request)
	j.emitOutcome(Outcome{Request: r.Request, Kind: Claimed, Claim: c})
}

// GiveUp ends a request without an answer; no outcome follows. With
// undispatched the executor states that no attempt of the request was ever sent
// to a backend server. Requests that have joined it are admitted again.
func (j *Journal) GiveUp(now time.Time, id entity.RequestID, undispatched bool) {
	r := j.requests[id]
	if r == nil {
		return
	}
	j.removeRequest(r)
	s := r.shard
	e := s.entries[r.hash]
	if e == nil {
		return
	}
	e.joined = removeID(e.joined, id)
	if e.leader == id {
		e.leader = ""
		j.withdrawClaim(now, s, e, r, undispatched)
		j.readmitJoined(now, s, e, !undispatched && r.dispatchable())
	}
	s.dropIfUnknown(r.hash, e)
	j.releaseIfUnused(now, s)
}

// withdrawClaim ensures that a claim whose request ends before dispatch is not
// taken for a dispatched one: it removes the claim if its append has not
// started, and otherwise records it as undispatched.
func (j *Journal) withdrawClaim(now time.Time, s *shard, e *entry, r *request, undispatched bool) {
	if r.claim == nil || s.state != stateOwned {
		return
	}
	claiming := r.phase == phaseClaiming
	if claiming && s.removePending(func(rec *record) bool { return rec.Kind == recordClaimed && sameClaim(rec.Claim, r.claim) }) {
		return
	}
	if !undispatched && (!claiming || r.mayRun) {
		return
	}
	e.undispatchedClaim = r.claim
	j.enqueueRecord(now, s, pendingRecord{record: e.newRecord(now, r.hash, recordUndispatched, r.claim, nil)})
}

// dispatchable reports whether the executor was allowed to dispatch the
// request.
func (r *request) dispatchable() bool {
	return r.mayRun || r.finished || r.phase == phaseRunning && r.Repeatable
}

// readmitJoined admits the requests that had joined a leader that has ended. If
// the leader may have run, they count as requests that may have run, too.
func (j *Journal) readmitJoined(now time.Time, s *shard, e *entry, mayRun bool) {
	joined := e.joined
	e.joined = nil
	for _, id := range joined {
		if r := j.requests[id]; r != nil {
			r.mayRun = r.mayRun || mayRun
			j.admit(now, s, r)
		}
	}
}

func removeID(ids []entity.RequestID, id entity.RequestID) []entity.RequestID {
	for i := range ids {
		if ids[i] == id {
			return append(ids[:i:i], ids[i+1:]...)
		}
	}
	return ids
}
