package journal

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

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
