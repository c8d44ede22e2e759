package journal

import (
	"errors"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// loadShard reads the filters of the shard's segments and the rows that are not
// in segments. It runs after the takeover's transaction is known to have taken
// effect, so that no previous owner can append any more.
func (j *Journal) loadShard(now time.Time, s *shard) {
	j.readShard(now, s, func(now time.Time) { j.startOwning(now, s) })
}

// readShard reads the shard's manifest, segment filters and batch rows into
// memory in place of what was there.
func (j *Journal) readShard(now time.Time, s *shard, done func(time.Time)) {
	s.entries = make(map[keyHash]*entry)
	s.rowOrder = nil
	s.hotBytes = 0
	s.segments = nil
	j.readManifest(now, s, 0, func(now time.Time) {
		j.readFilters(now, s, 0, func(now time.Time) {
			j.readRows(now, s, s.manifest.Sealed, 0, done)
		})
	})
}

func (j *Journal) readManifest(_ time.Time, s *shard, failures int, done func(time.Time)) {
	op := provider.Operation{
		Kind: provider.GetRow, Partition: manifestPartition, Sort: shardSortKey(s.index), Consistent: true,
	}
	j.issueTableOperation(op, j.ifStateUnchanged(s, func(now time.Time, r provider.Result) {
		s.manifest = manifest{}
		err := r.Err
		if err == nil {
			err = codec.Decode(r.Row.Value, &s.manifest)
		}
		if err != nil && !errors.Is(err, provider.ErrNotFound) {
			failures++
			j.scheduleForShard(now, s, j.backoff(j.cfg.RetryDelay, maxRetryDelay, failures), func(now time.Time) {
				j.readManifest(now, s, failures, done)
			})
			return
		}
		done(now)
	}))
}

func (j *Journal) readRows(_ time.Time, s *shard, after string, failures int, done func(time.Time)) {
	op := provider.Operation{
		Kind: provider.QueryRows, Partition: batchPartition(s.index), After: after, Limit: queryPageRows, Consistent: true,
	}
	j.issueTableOperation(op, j.ifStateUnchanged(s, func(now time.Time, r provider.Result) {
		if r.Err != nil {
			failures++
			j.scheduleForShard(now, s, j.backoff(j.cfg.RetryDelay, maxRetryDelay, failures), func(now time.Time) {
				j.readRows(now, s, after, failures, done)
			})
			return
		}
		if len(r.Rows) == 0 {
			done(now)
			return
		}
		for _, row := range r.Rows {
			j.replayRow(now, s, row)
		}
		j.readRows(now, s, r.Rows[len(r.Rows)-1].Sort, 0, done)
	}))
}

// replayRow applies the records of one batch row.
func (j *Journal) replayRow(now time.Time, s *shard, row provider.Row) {
	var b batchRow
	if err := codec.Decode(row.Value, &b); err != nil {
		j.emitEvent(now, event.JournalRowUnreadable, row.Partition+" "+row.Sort)
		return
	}
	for i := range b.Records {
		s.applyRecord(b.Records[i], row.Sort)
	}
}

// readNewOwnersJournal reads what the shard's new owner has written, to
// resolve the requests that were in progress here when ownership ended.
func (j *Journal) readNewOwnersJournal(now time.Time, s *shard) {
	if !s.hasResolvingRequests() {
		j.finishResolving(now, s)
		return
	}
	op := provider.Operation{Kind: provider.GetRow, Partition: shardPartition, Sort: shardSortKey(s.index), Consistent: true}
	j.issueTableOperation(op, j.ifStateUnchanged(s, func(now time.Time, r provider.Result) {
		row, ok := shardRow{}, false
		if r.Err == nil {
			row, ok = j.decodeShardRow(now, r.Row)
		}
		if !ok {
			j.scheduleForShard(now, s, j.jitter(j.cfg.RetryDelay), func(now time.Time) { j.readNewOwnersJournal(now, s) })
			return
		}
		s.setRow(row, r.Row.Version)
		j.readShard(now, s, func(now time.Time) { j.confirmRowUnchanged(now, s) })
	}))
}

// confirmRowUnchanged reads the shard's row again. If its version has changed,
// rows may have been moved into a segment during the read, and the journal is
// read again; otherwise the requests are resolved.
func (j *Journal) confirmRowUnchanged(now time.Time, s *shard) {
	op := provider.Operation{Kind: provider.GetRow, Partition: shardPartition, Sort: shardSortKey(s.index), Consistent: true}
	j.issueTableOperation(op, j.ifStateUnchanged(s, func(now time.Time, r provider.Result) {
		if r.Err != nil || r.Row.Version != s.version {
			j.scheduleForShard(now, s, j.jitter(j.cfg.RetryDelay), func(now time.Time) { j.readNewOwnersJournal(now, s) })
			return
		}
		j.resolveRequests(now, s)
		j.finishResolving(now, s)
	}))
}

func (s *shard) hasResolvingRequests() bool {
	for _, id := range s.requests.Keys() {
		if s.requests.Get(id).phase == phaseResolving {
			return true
		}
	}
	return false
}

func (j *Journal) resolveRequests(now time.Time, s *shard) {
	for _, id := range s.requests.Keys() {
		if r := s.requests.Get(id); r.phase == phaseResolving {
			j.resolveRequest(now, s, r)
		}
	}
}

// resolveRequest ends a request with the answer from the new owner's journal, or
// refuses it if there is none.
func (j *Journal) resolveRequest(now time.Time, s *shard, r *request) {
	e := s.entries[r.hash]
	if e == nil {
		if found := j.startLookup(now, s, r); found {
			return
		}
	}
	if e == nil || e.record.Kind != recordAnswered {
		j.emitAnswerDropped(now, r)
		j.refuseNotOwner(s, r)
		return
	}
	if e.digest != r.Digest {
		j.emitAnswerDropped(now, r)
		j.refuse(r, verdict.New(r.unansweredVerdict(), CodeKeyReused, "the key was used with other content"))
		return
	}
	if e.record.Answer.Request != r.Request {
		j.emitAnswerDropped(now, r)
	}
	j.deliver(now, r, e.record.Answer)
}

func (j *Journal) emitAnswerDropped(now time.Time, r *request) {
	if r.finished {
		j.emitRequestEvent(now, event.JournalAnswerDropped, r.Request)
	}
}

// finishResolving stops work on a shard that this daemon no longer owns, once
// no request is left to resolve.
func (j *Journal) finishResolving(now time.Time, s *shard) {
	if s.hasResolvingRequests() {
		// A segment is being read for a request; finishLookup calls this again.
		return
	}
	s.clearOwnerState()
	s.setState(stateNotOwned)
	j.evaluateTakeover(now, s)
}
