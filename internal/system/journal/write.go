package journal

import (
	"errors"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// pendingRecord is a record that waits to be appended. body is the answer's
// complete body if the record only names the object that contains it.
type pendingRecord struct {
	record record
	body   []byte
}

// write is the one write of a shard that is in progress. It is repeated with
// the same content until it is known to have taken effect or to have failed for
// good. Its condition names one version and, for an append, an absent row, so
// that it takes effect at most once, however late its repetitions arrive.
type write struct {
	id           string
	writes       []provider.Write
	appendedSort string // sort key of the appended row, which proves the effect; empty: the shard's row proves it
	started      time.Time
	failures     int
	done         func(now time.Time)
}

// rowChange is a change of the shard's row and its manifest that waits to be
// written.
type rowChange struct {
	apply func(row *shardRow, newManifest *manifest)
	done  func(now time.Time)
}

// enqueueRecord adds a record to the next append.
func (j *Journal) enqueueRecord(now time.Time, s *shard, p pendingRecord) {
	s.entries[p.record.Hash].pendingCount++
	s.unwrittenBytes += p.record.size() + len(p.body)
	s.pendingRecords = append(s.pendingRecords, p)
	j.startWrite(now, s)
}

// removePending removes a record from the queue. It returns false if the
// record's append has already started.
func (s *shard) removePending(match func(*record) bool) bool {
	for i := range s.pendingRecords {
		p := &s.pendingRecords[i]
		if !match(&p.record) {
			continue
		}
		s.entries[p.record.Hash].pendingCount--
		s.unwrittenBytes -= p.record.size() + len(p.body)
		s.pendingRecords = append(s.pendingRecords[:i], s.pendingRecords[i+1:]...)
		return true
	}
	return false
}

// startWrite starts the shard's next write if it may: one at a time, spaced by
// MinAppendInterval and the write budget.
func (j *Journal) startWrite(now time.Time, s *shard) {
	if s.state != stateOwned || s.currentWrite != nil || s.writeScheduled || (len(s.pendingRecords) == 0 && s.pendingChange == nil) {
		return
	}
	start := s.lastWrite.Add(j.cfg.MinAppendInterval)
	if j.nextWriteAt.After(start) {
		start = j.nextWriteAt
	}
	if start.After(now) {
		s.writeScheduled = true
		j.schedule(start, func(now time.Time) {
			s.writeScheduled = false
			j.startWrite(now, s)
		})
		return
	}
	s.lastWrite = now
	j.spendWriteBudget(now)
	if len(s.pendingRecords) == 0 || (s.pendingChange != nil && !s.releasing) {
		j.writeChange(now, s)
		return
	}
	j.appendBatch(now, s)
}

// spendWriteBudget takes one write from the budget. The writes of a tenth of a
// second may be made at once.
func (j *Journal) spendWriteBudget(now time.Time) {
	burst := 100 * time.Millisecond
	if t := now.Add(-burst); j.nextWriteAt.Before(t) {
		j.nextWriteAt = t
	}
	j.nextWriteAt = j.nextWriteAt.Add(time.Duration(float64(time.Second) / j.cfg.WriteBudget))
}

// cutBatch removes the records of the next append from the queue and returns
// them.
func (j *Journal) cutBatch(s *shard) []pendingRecord {
	size := 0
	n := 0
	for n < len(s.pendingRecords) && (n == 0 || size+s.pendingRecords[n].record.size() <= j.cfg.MaxBatchBytes) {
		size += s.pendingRecords[n].record.size()
		n++
	}
	batch := s.pendingRecords[:n:n]
	s.pendingRecords = append([]pendingRecord(nil), s.pendingRecords[n:]...)
	return batch
}

func (j *Journal) appendBatch(now time.Time, s *shard) {
	batch := j.cutBatch(s)
	row := batchRow{WriteID: j.newWriteID(), Records: make([]record, len(batch))}
	for i := range batch {
		row.Records[i] = batch[i].record
	}
	s.sequence++
	sort := batchSortKey(s.row.Epoch, s.sequence)
	j.startTransaction(now, s, &write{
		id:           row.WriteID,
		appendedSort: sort,
		writes: []provider.Write{
			{Partition: shardPartition, Sort: shardSortKey(s.index), IfVersion: s.version, CheckOnly: true},
			{Partition: batchPartition(s.index), Sort: sort, Value: mustEncode(row)},
		},
		done: func(now time.Time) { j.applyAppended(now, s, batch, sort) },
	})
}

func (j *Journal) writeChange(now time.Time, s *shard) {
	c := s.pendingChange
	s.pendingChange = nil
	row, newManifest := s.row, s.manifest
	newManifest.Segments = slices.Clone(newManifest.Segments)
	row.WriteID = j.newWriteID()
	row.Sequence = s.sequence
	c.apply(&row, &newManifest)
	sort := shardSortKey(s.index)
	j.startTransaction(now, s, &write{
		id: row.WriteID,
		writes: []provider.Write{
			{Partition: shardPartition, Sort: sort, IfVersion: s.version, Value: mustEncode(row)},
			{Partition: manifestPartition, Sort: sort, Unconditional: true, Value: mustEncode(newManifest)},
		},
		done: func(now time.Time) {
			s.row, s.manifest = row, newManifest
			s.version++
			c.done(now)
		},
	})
}

// startTransaction issues the write and follows it up until its effect is
// known.
func (j *Journal) startTransaction(now time.Time, s *shard, w *write) {
	w.started = now
	s.currentWrite = w
	j.sendWrite(s, w)
}

func (j *Journal) sendWrite(s *shard, w *write) {
	op := provider.Operation{Kind: provider.TransactRows, Token: w.id, Writes: w.writes}
	j.issueTableOperation(op, j.ifWriteCurrent(s, w, func(now time.Time, r provider.Result) {
		switch {
		case r.Err == nil:
			j.finishWrite(now, s, w)
		case errors.Is(r.Err, provider.ErrConditionFailed):
			j.checkWrite(s, w)
		case errors.Is(r.Err, provider.ErrUnavailable):
			j.retryWrite(now, s, w, j.sendWrite)
		default:
			j.retryWrite(now, s, w, j.checkWrite)
		}
	}))
}

// ifWriteCurrent returns a result handler that calls f only if w is still the
// write in progress.
func (j *Journal) ifWriteCurrent(s *shard, w *write, f func(time.Time, provider.Result)) func(time.Time, provider.Result) {
	return func(now time.Time, r provider.Result) {
		if s.currentWrite == w {
			f(now, r)
		}
	}
}

func (j *Journal) retryWrite(now time.Time, s *shard, w *write, again func(*shard, *write)) {
	w.failures++
	j.schedule(now.Add(j.backoff(j.cfg.RetryDelay, maxRetryDelay, w.failures)), func(time.Time) {
		if s.currentWrite == w {
			again(s, w)
		}
	})
}

// checkWrite reads the written row to find out whether the write has taken
// effect.
func (j *Journal) checkWrite(s *shard, w *write) {
	if w.appendedSort == "" {
		j.checkOwnership(s, w)
		return
	}
	op := provider.Operation{Kind: provider.GetRow, Partition: batchPartition(s.index), Sort: w.appendedSort, Consistent: true}
	j.issueTableOperation(op, j.ifWriteCurrent(s, w, func(now time.Time, r provider.Result) {
		switch {
		case r.Err == nil && batchWriteID(r.Row) == w.id:
			j.finishWrite(now, s, w)
		case isTableResponse(r.Err):
			j.checkOwnership(s, w)
		default:
			j.retryWrite(now, s, w, j.checkWrite)
		}
	}))
}

func batchWriteID(row provider.Row) string {
	var b batchRow
	if codec.Decode(row.Value, &b) != nil {
		return ""
	}
	return b.WriteID
}

// checkOwnership reads the shard's row to find out whether the shard is still
// owned. If it is, a write without effect is repeated.
func (j *Journal) checkOwnership(s *shard, w *write) {
	op := provider.Operation{Kind: provider.GetRow, Partition: shardPartition, Sort: shardSortKey(s.index), Consistent: true}
	j.issueTableOperation(op, j.ifWriteCurrent(s, w, func(now time.Time, r provider.Result) {
		if r.Err != nil {
			j.retryWrite(now, s, w, j.checkWrite)
			return
		}
		row, ok := j.decodeShardRow(now, r.Row)
		switch {
		case !ok:
			j.retryWrite(now, s, w, j.checkWrite)
		case w.appendedSort == "" && row.WriteID == w.id:
			j.finishWrite(now, s, w)
		case r.Row.Version == s.version:
			j.retryWrite(now, s, w, j.sendWrite)
		default:
			j.loseShard(now, s, row, r.Row.Version)
		}
	}))
}

func (j *Journal) finishWrite(now time.Time, s *shard, w *write) {
	s.currentWrite = nil
	w.done(now)
	j.admitWaiting(now, s)
	j.startWrite(now, s)
	j.releaseIfUnused(now, s)
}

// applyAppended applies the records of a committed batch row.
func (j *Journal) applyAppended(now time.Time, s *shard, batch []pendingRecord, row string) {
	for i := range batch {
		p := &batch[i]
		s.unwrittenBytes -= p.record.size() + len(p.body)
		e := s.applyRecord(p.record, row)
		e.pendingCount--
		switch p.record.Kind {
		case recordClaimed:
			j.claimCommitted(now, p.record.Claim)
		case recordUndispatched:
			e.undispatchedClaim = nil
			j.emitRequestEvent(now, event.JournalClaimAbandoned, p.record.Claim.Request)
		case recordAnswered:
			j.answerCommitted(now, s, e, p.body)
		}
	}
	j.sealIfFull(now, s)
}

func (j *Journal) emitRequestEvent(now time.Time, n event.Number, id entity.RequestID) {
	j.ready.Events = append(j.ready.Events, event.Event{Number: n, At: now, Request: id})
}
