package journal

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// startWaitTimer starts the timeout of the request's current wait:
// StoreTimeout, or until the request's deadline if that is earlier.
func (j *Journal) startWaitTimer(now time.Time, r *request) {
	r.waitSeq++
	wait := r.waitSeq
	at := now.Add(j.cfg.StoreTimeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(at) {
		at = r.Deadline
	}
	j.schedule(at, func(now time.Time) {
		if j.requests[r.Request] == r && r.waitSeq == wait {
			j.expireWait(now, r)
		}
	})
}

// expireWait refuses a request whose wait has timed out.
func (j *Journal) expireWait(now time.Time, r *request) {
	s := r.shard
	switch r.phase {
	case phaseWaiting:
		j.refuse(r, j.storeUnavailableError(r.unansweredVerdict()))
	case phaseAwaitingCommit:
		e := s.entries[r.hash]
		e.joined = removeID(e.joined, r.Request)
		j.refuse(r, j.storeUnavailableError(verdict.MayHaveRun))
	case phaseFetching:
		j.refuse(r, j.storeUnavailableError(verdict.Ran))
	case phaseResolving:
		j.refuseNotOwner(s, r)
	case phaseClaiming, phaseFinishing:
		j.expireLeader(now, s, r)
	}
}

// unansweredVerdict is the verdict on a request that ends without an answer. If
// a segment may contain its key, or if the request had joined one that may have
// run, the work may have run.
func (r *request) unansweredVerdict() verdict.Verdict {
	if r.mayBeInSegment || r.mayRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// expireLeader refuses a leader, and all requests that have joined it, because
// its record cannot be committed in time. The record may still be committed
// later.
func (j *Journal) expireLeader(now time.Time, s *shard, r *request) {
	e := s.entries[r.hash]
	e.leader = ""
	joined := e.joined
	e.joined = nil
	v := r.unansweredVerdict()
	if r.phase == phaseFinishing {
		v = finishedVerdict(e.pendingAnswer, r)
		j.discardAnswerIfFull(s, e)
	} else {
		j.withdrawClaim(now, s, e, r, false)
	}
	err := j.storeUnavailableError(v)
	j.refuse(r, err)
	for _, id := range joined {
		if other := j.requests[id]; other != nil {
			j.refuse(other, err)
		}
	}
	s.dropIfUnknown(r.hash, e)
	j.releaseIfUnused(now, s)
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

func (j *Journal) storeUnavailableError(v verdict.Verdict) error {
	return verdict.WithRetryAfter(
		verdict.New(v, CodeStoreUnavailable, "the journal's store does not answer"), j.cfg.RetryAfter)
}

// refuse ends a request with an error.
func (j *Journal) refuse(r *request, err error) {
	j.removeRequest(r)
	j.emitOutcome(Outcome{Request: r.Request, Kind: Refused, Err: err})
}

// refuseNotOwner ends a request whose answer this daemon can neither commit nor
// read, and names the shard's owner.
func (j *Journal) refuseNotOwner(s *shard, r *request) {
	j.removeRequest(r)
	err := verdict.New(r.unansweredVerdict(), CodeNotOwner, "another daemon owns the key's shard")
	j.emitOutcome(Outcome{Request: r.Request, Kind: Refused, Owner: j.owner(s), Err: err})
}

func (j *Journal) removeRequest(r *request) {
	r.waitSeq++
	if r.phase == phaseWaiting {
		r.shard.waiting = removeID(r.shard.waiting, r.Request)
	}
	delete(j.requests, r.Request)
	r.shard.requests.Delete(r.Request)
}
