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

// Finish commits the final outcome of a request. Committed follows for it and
// for all that have joined it, or Refused. The body must not be changed
// afterwards.
func (j *Journal) Finish(now time.Time, id entity.RequestID, a Answer) {
	r, e := j.leads(id)
	if r == nil || r.phase != phaseRunning {
		return
	}
	a.Request = id
	a.Object = ""
	r.phase = phaseFinishing
	r.finished = true
	j.arm(now, r)
	e.answer = &a
	if len(a.Body) <= j.cfg.InlineLimit {
		j.enqueue(now, r.shard, pendingRecord{record: e.newRecord(now, r.hash, recordAnswered, nil, &a)})
		return
	}
	j.offload(now, r.shard, r.hash, e, &a)
}

// offload stores a large body under a name of its own before the answer is
// appended. Storing it twice stores the same.
func (j *Journal) offload(now time.Time, s *shard, h keyHash, e *entry, a *Answer) {
	stub := *a
	stub.Body = nil
	stub.Object = fmt.Sprintf("journal/%02d/answer/%x/%s", s.index, h[:], a.Request)
	generation := s.generation
	failures := 0
	s.heldBytes += len(a.Body)
	current := func() bool { return s.generation == generation && e.answer == a }
	var put func(time.Time)
	put = func(time.Time) {
		if !current() {
			return
		}
		op := provider.Operation{Kind: provider.PutObject, Key: stub.Object, Value: a.Body}
		j.call(op, func(now time.Time, r provider.Result) {
			if !current() {
				return
			}
			if r.Err != nil {
				failures++
				j.at(now.Add(j.backoff(j.cfg.RetryDelay, retryDelayMax, failures)), put)
				return
			}
			s.heldBytes -= len(a.Body)
			j.enqueue(now, s, pendingRecord{record: e.newRecord(now, h, recordAnswered, nil, &stub), body: a.Body})
		})
	}
	put(now)
}

// letGoAnswer gives up an answer that cannot be committed in time. It is kept
// for a later commit, so that a caller who asks again gets it, unless too
// many are kept already.
func (j *Journal) letGoAnswer(s *shard, e *entry) {
	if s.heldBytes <= heldBytesMax {
		return
	}
	a := e.answer
	switch {
	case s.unqueue(func(rec *record) bool { return rec.Answer != nil && rec.Answer.Request == a.Request }):
		e.answer = nil
	case e.holds == 0: // the body is still on its way to the object store
		s.heldBytes -= len(a.Body)
		e.answer = nil
	}
}

// answerCommitted hands the key's answer to all who wait for it.
func (j *Journal) answerCommitted(now time.Time, s *shard, e *entry, body []byte) {
	a := e.record.Answer
	if e.answer != nil && e.answer.Request == a.Request && a.Object != "" {
		whole := *a
		whole.Body = body
		a = &whole
	}
	e.answer = nil
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
	j.emitRequest(now, event.JournalAnswered, a.Request)
}

// deliver hands out a committed answer, with its body.
func (j *Journal) deliver(now time.Time, r *request, a *Answer) {
	if a.Object != "" && a.Body == nil {
		j.fetch(now, r, a)
		return
	}
	j.forget(r)
	j.outcome(Outcome{Request: r.Request, Kind: Committed, Answer: a})
}

// fetch reads the body of an answer. The answer is final, whoever owns the
// shard meanwhile.
func (j *Journal) fetch(now time.Time, r *request, a *Answer) {
	r.phase = phaseFetching
	j.arm(now, r)
	wait := r.wait
	failures := 0
	var get func(time.Time)
	get = func(time.Time) {
		if r.wait != wait {
			return
		}
		j.call(provider.Operation{Kind: provider.GetObject, Key: a.Object}, func(now time.Time, res provider.Result) {
			if r.wait != wait {
				return
			}
			switch {
			case res.Err == nil:
				whole := *a
				whole.Body = res.Value
				j.deliver(now, r, &whole)
			case errors.Is(res.Err, provider.ErrNotFound):
				j.refuse(r, verdict.New(verdict.Ran, CodeStoreUnavailable, "the answer is no longer kept"))
			default:
				failures++
				j.at(now.Add(j.backoff(j.cfg.RetryDelay, retryDelayMax, failures)), get)
			}
		})
	}
	get(now)
}
