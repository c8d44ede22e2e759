package journal

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// phase is what a request waits for.
type phase uint8

const (
	// phaseWaiting: waits for the shard, the table service or a segment.
	phaseWaiting phase = iota
	// phaseRunning: the executor runs it.
	phaseRunning
	// phaseClaiming: waits until its claim is durable.
	phaseClaiming
	// phaseFinishing: waits until its answer is durable.
	phaseFinishing
	// phaseJoined: another request with the same key runs.
	phaseJoined
	// phaseAwaitingCommit: waits until the key's answer is durable; the request
	// that produced the answer has ended.
	phaseAwaitingCommit
	// phaseFetching: waits for the answer's body from the object store.
	phaseFetching
	// phaseResolving: the shard is no longer owned here; waits for the new
	// owner's journal.
	phaseResolving
)

// request is a request that the executor has submitted and that has not ended.
type request struct {
	KeyedRequest
	hash    keyHash
	shard   *shard
	phase   phase
	waitSeq uint64 // incremented with every wait, so that timers of earlier waits are ignored

	claim           *Claim // the latest claim
	mayRun          bool   // the request may have been dispatched
	finished        bool   // an answer was passed to Finish
	mayBeInSegment  bool   // a segment's filter matches the key, so that an earlier request may have run
	absentAtVersion uint64 // version of the shard's row whose segments do not contain the key
}

// Submit asks, on the owner of the key's shard, whether a request is to be run.
// An outcome follows; the first is one of Started, Joined, Resume, Committed and
// Refused. If the key's answer is being committed, the first outcome is
// Committed or Refused. A request that got Joined gets Started or Resume later
// if its leader is given up. A request whose ID is already known is ignored.
func (j *Journal) Submit(now time.Time, keyed KeyedRequest) {
	if j.requests[keyed.Request] != nil {
		return
	}
	h := hashKey(keyed.Key)
	s := j.shards[h.shard(j.cfg.Shards)]
	r := &request{KeyedRequest: keyed, hash: h, shard: s}
	j.requests[keyed.Request] = r
	s.requests.Put(keyed.Request, r)
	j.route(now, s, r)
}

// route admits the request if this daemon owns the shard, queues it if this
// daemon is about to own the shard, and otherwise refuses it with the owner's
// name.
func (j *Journal) route(now time.Time, s *shard, r *request) {
	if s.releasing || j.leaving {
		j.refuseNotOwner(s, r)
		return
	}
	switch s.state {
	case stateOwned:
		j.admit(now, s, r)
	case stateTakingOver, stateLoading:
		j.queueRequest(now, s, r)
	default:
		if j.owner(s) != j.cfg.Self {
			j.refuseNotOwner(s, r)
			return
		}
		j.queueRequest(now, s, r)
		j.evaluateTakeover(now, s)
	}
}

// queueRequest makes the request wait until the shard can admit it.
func (j *Journal) queueRequest(now time.Time, s *shard, r *request) {
	j.startWaiting(now, r)
	s.waiting = append(s.waiting, r.Request)
}

// startWaiting starts the timeout of a wait, unless the request already waits:
// consecutive waits for different things share one timeout.
func (j *Journal) startWaiting(now time.Time, r *request) {
	if r.phase == phaseWaiting && r.waitSeq > 0 {
		return
	}
	r.phase = phaseWaiting
	j.startWaitTimer(now, r)
}

// admitWaiting admits the queued requests if the shard can admit any.
func (j *Journal) admitWaiting(now time.Time, s *shard) {
	if s.state != stateOwned || len(s.waiting) == 0 || j.writesBlocked(now, s) {
		return
	}
	waiting := s.waiting
	s.waiting = nil
	for _, id := range waiting {
		if r := j.requests[id]; r != nil && r.phase == phaseWaiting {
			j.admit(now, s, r)
		}
	}
}

// admit decides on a request on the shard's owner.
func (j *Journal) admit(now time.Time, s *shard, r *request) {
	e := s.entries[r.hash]
	if e == nil && j.startLookup(now, s, r) {
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
		r.waitSeq++
		e.joined = append(e.joined, r.Request)
		j.emitOutcome(Outcome{Request: r.Request, Kind: Joined, Leader: e.leader})
	case e.pendingAnswer != nil:
		r.phase = phaseAwaitingCommit
		j.startWaitTimer(now, r)
		e.joined = append(e.joined, r.Request)
	case e.hasOpenClaim() && !e.repeatable && !r.Resumable:
		j.refuse(r, verdict.New(verdict.MayHaveRun, CodeOutcomeUnknown, "an earlier claim of the key has no answer"))
	case j.writesBlocked(now, s):
		j.queueRequest(now, s, r)
	case e.hasOpenClaim():
		claim := *e.record.Claim
		j.makeLeader(e, r)
		r.mayRun = true
		j.emitOutcome(Outcome{Request: r.Request, Kind: Resume, Claim: &claim})
	default:
		j.makeLeader(e, r)
		j.emitOutcome(Outcome{Request: r.Request, Kind: Started})
	}
}

// admitNew admits a request whose key is new.
func (j *Journal) admitNew(now time.Time, s *shard, r *request) {
	if j.writesBlocked(now, s) {
		j.queueRequest(now, s, r)
		return
	}
	e := &entry{digest: r.Digest, repeatable: r.Repeatable}
	s.entries[r.hash] = e
	j.makeLeader(e, r)
	j.emitOutcome(Outcome{Request: r.Request, Kind: Started})
}

// makeLeader makes the request the one that runs for its key. Repeatable work
// may be dispatched from now on; other work only after its claim is committed.
func (j *Journal) makeLeader(e *entry, r *request) {
	e.leader = r.Request
	r.phase = phaseRunning
	r.waitSeq++
}

// leaderRequest returns the request and its key's entry if the request is the
// one that runs for its key.
func (j *Journal) leaderRequest(id entity.RequestID) (*request, *entry) {
	r := j.requests[id]
	if r == nil {
		return nil, nil
	}
	e := r.shard.entries[r.hash]
	if e == nil || e.leader != id { // only entries of a shard that this daemon owns have leaders
		return nil, nil
	}
	return r, e
}
