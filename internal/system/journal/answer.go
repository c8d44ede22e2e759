package journal

import (
	"errors"
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// Finish commits the final outcome of a request: an answer or a final failure.
// Either Committed follows, for it and for all requests that have joined it, or
// Refused. The body must not be changed afterwards.
func (j *Journal) Finish(now time.Time, id entity.RequestID, a Answer) {
	r, e := j.leaderRequest(id)
	if r == nil || r.phase != phaseRunning {
		return
	}
	a.Request = id
	a.Object = ""
	r.phase = phaseFinishing
	r.finished = true
	j.startWaitTimer(now, r)
	e.pendingAnswer = &a
	if len(a.Body) <= j.cfg.MaxInlineBytes {
		j.enqueueRecord(now, r.shard, pendingRecord{record: e.newRecord(now, r.hash, recordAnswered, nil, &a)})
		return
	}
	j.storeBody(now, r.shard, r.hash, e, &a)
}

// storeBody puts a large body into the object store; only then is the answer,
// which names the object, appended. The object's name contains the request's
// ID, so a repeated put writes the same content.
func (j *Journal) storeBody(now time.Time, s *shard, h keyHash, e *entry, a *Answer) {
	stub := *a
	stub.Body = nil
	stub.Object = fmt.Sprintf("journal/%02d/answer/%x/%s", s.index, h[:], a.Request)
	generation := s.generation
	failures := 0
	s.unwrittenBytes += len(a.Body)
	current := func() bool { return s.generation == generation && e.pendingAnswer == a }
	var put func(time.Time)
	put = func(time.Time) {
		if !current() {
			return
		}
		op := provider.Operation{Kind: provider.PutObject, Key: stub.Object, Value: a.Body}
		j.issueOperation(op, func(now time.Time, r provider.Result) {
			if !current() {
				return
			}
			if r.Err != nil {
				failures++
				j.schedule(now.Add(j.backoff(j.cfg.RetryDelay, maxRetryDelay, failures)), put)
				return
			}
			s.unwrittenBytes -= len(a.Body)
			j.enqueueRecord(now, s, pendingRecord{record: e.newRecord(now, h, recordAnswered, nil, &stub), body: a.Body})
		})
	}
	put(now)
}

// discardAnswerIfFull is called for an answer that could not be committed in
// time. The answer stays queued for a later commit, so that a caller who
// repeats the request gets it. It is discarded if the shard has more than
// maxUnwrittenBytes queued, unless its append is already in progress.
func (j *Journal) discardAnswerIfFull(s *shard, e *entry) {
	if s.unwrittenBytes <= maxUnwrittenBytes {
		return
	}
	a := e.pendingAnswer
	switch {
	case s.removePending(func(rec *record) bool { return rec.Answer != nil && rec.Answer.Request == a.Request }):
		e.pendingAnswer = nil
	case e.pendingCount == 0: // the body is still being put into the object store
		s.unwrittenBytes -= len(a.Body)
		e.pendingAnswer = nil
	}
}

// answerCommitted delivers the key's committed answer to its leader and to all
// requests that have joined it.
func (j *Journal) answerCommitted(now time.Time, s *shard, e *entry, body []byte) {
	a := e.record.Answer
	if e.pendingAnswer != nil && e.pendingAnswer.Request == a.Request && a.Object != "" {
		complete := *a
		complete.Body = body
		a = &complete
	}
	e.pendingAnswer = nil
	receivers := e.joined
	if e.leader != "" {
		receivers = append([]entity.RequestID{e.leader}, receivers...)
	}
	e.leader, e.joined = "", nil
	for _, id := range receivers {
		if r := j.requests[id]; r != nil {
			j.deliver(now, r, a)
		}
	}
	j.emitRequestEvent(now, event.JournalAnswered, a.Request)
}

// deliver ends a request with a committed answer, after reading the body if it
// is in the object store.
func (j *Journal) deliver(now time.Time, r *request, a *Answer) {
	if a.Object != "" && a.Body == nil {
		j.fetchBody(now, r, a)
		return
	}
	j.removeRequest(r)
	j.emitOutcome(Outcome{Request: r.Request, Kind: Committed, Answer: a})
}

// fetchBody reads an answer's body from the object store. It does not check who
// owns the shard, since a committed answer is final.
func (j *Journal) fetchBody(now time.Time, r *request, a *Answer) {
	r.phase = phaseFetching
	j.startWaitTimer(now, r)
	wait := r.waitSeq
	failures := 0
	var get func(time.Time)
	get = func(time.Time) {
		if r.waitSeq != wait {
			return
		}
		j.issueOperation(provider.Operation{Kind: provider.GetObject, Key: a.Object}, func(now time.Time, res provider.Result) {
			if r.waitSeq != wait {
				return
			}
			switch {
			case res.Err == nil:
				complete := *a
				complete.Body = res.Value
				j.deliver(now, r, &complete)
			case errors.Is(res.Err, provider.ErrNotFound):
				j.refuse(r, verdict.New(verdict.Ran, CodeStoreUnavailable, "the answer is no longer kept"))
			default:
				failures++
				j.schedule(now.Add(j.backoff(j.cfg.RetryDelay, maxRetryDelay, failures)), get)
			}
		})
	}
	get(now)
}
