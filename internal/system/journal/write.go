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

// pendingRecord waits to be appended. Body is the answer's whole body when
// the record holds it by reference.
type pendingRecord struct {
	record record
	body   []byte
}

// write is the one write of a shard that is under way. It is made again with
// the same content until it is known to have taken effect or to have failed
// for good: since its condition names one version and, for an append, an
// absent row, it takes effect at most once, however many sends are delayed.
type write struct {
	operation string
	writes    []provider.Write
	sort      string // row that proves the effect; empty: the shard's row
	started   time.Time
	failures  int
	done      func(now time.Time)
}

// rowChange is a change of the shard's row and its manifest that waits to be
// written.
type rowChange struct {
	change func(row *shardRow, held *manifest)
	done   func(now time.Time)
}

// enqueue adds a record to the next append.
func (j *Journal) enqueue(now time.Time, s *shard, p pendingRecord) {
	s.entries[p.record.Hash].holds++
	s.heldBytes += p.record.size() + len(p.body)
	s.pending = append(s.pending, p)
	j.startWrite(now, s)
}

// unqueue takes a record out again unless its append is under way.
func (s *shard) unqueue(match func(*record) bool) bool {
	for i := range s.pending {
		p := &s.pending[i]
		if !match(&p.record) {
			continue
		}
		s.entries[p.record.Hash].holds--
		s.heldBytes -= p.record.size() + len(p.body)
		s.pending = append(s.pending[:i], s.pending[i+1:]...)
		return true
	}
	return false
}

// startWrite starts the shard's next write when it may: one at a time, spaced
// by the group delay and the write budget.
func (j *Journal) startWrite(now time.Time, s *shard) {
	if s.state != stateOwned || s.write != nil || s.armed || (len(s.pending) == 0 && s.change == nil) {
		return
	}
	start := s.lastWrite.Add(j.cfg.GroupDelay)
	if j.nextWrite.After(start) {
		start = j.nextWrite
	}
	if start.After(now) {
		s.armed = true
		j.at(start, func(now time.Time) {
			s.armed = false
			j.startWrite(now, s)
		})
		return
	}
	s.lastWrite = now
	j.spendWrite(now)
	if len(s.pending) == 0 || (s.change != nil && !s.releasing) {
		j.writeChange(now, s)
		return
	}
	j.append(now, s)
}

// spendWrite takes one write from the budget; a tenth of a second's writes
// may be made at once.
func (j *Journal) spendWrite(now time.Time) {
	burst := 100 * time.Millisecond
	if t := now.Add(-burst); j.nextWrite.Before(t) {
		j.nextWrite = t
	}
	j.nextWrite = j.nextWrite.Add(time.Duration(float64(time.Second) / j.cfg.WriteBudget))
}

// takeBatch cuts the records of the next append.
func (j *Journal) takeBatch(s *shard) []pendingRecord {
	size := 0
	n := 0
	for n < len(s.pending) && (n == 0 || size+s.pending[n].record.size() <= j.cfg.BatchBytes) {
		size += s.pending[n].record.size()
		n++
	}
	batch := s.pending[:n:n]
	s.pending = append([]pendingRecord(nil), s.pending[n:]...)
	return batch
}

func (j *Journal) append(now time.Time, s *shard) {
	batch := j.takeBatch(s)
	row := batchRow{Operation: j.newOperation(), Records: make([]record, len(batch))}
	for i := range batch {
		row.Records[i] = batch[i].record
	}
	s.sequence++
	sort := rowSort(s.row.Epoch, s.sequence)
	j.send(now, s, &write{
		operation: row.Operation,
		sort:      sort,
		writes: []provider.Write{
			{Partition: shardPartition, Sort: shardSort(s.index), IfVersion: s.version, CheckOnly: true},
			{Partition: entryPartition(s.index), Sort: sort, Value: mustEncode(row)},
		},
		done: func(now time.Time) { j.appended(now, s, batch, sort) },
	})
}

func (j *Journal) writeChange(now time.Time, s *shard) {
	c := s.change
	s.change = nil
	row, held := s.row, s.manifest
	held.Segments = slices.Clone(held.Segments)
	row.Operation = j.newOperation()
	row.Sequence = s.sequence
	c.change(&row, &held)
	sort := shardSort(s.index)
	j.send(now, s, &write{
		operation: row.Operation,
		writes: []provider.Write{
			{Partition: shardPartition, Sort: sort, IfVersion: s.version, Value: mustEncode(row)},
			{Partition: manifestPartition, Sort: sort, Unconditional: true, Value: mustEncode(held)},
		},
		done: func(now time.Time) {
			s.row, s.manifest = row, held
			s.version++
			c.done(now)
		},
	})
}

// send makes the write and looks after it until its effect is known.
func (j *Journal) send(now time.Time, s *shard, w *write) {
	w.started = now
	s.write = w
	j.transact(s, w)
}

func (j *Journal) transact(s *shard, w *write) {
	op := provider.Operation{Kind: provider.TransactRows, Token: w.operation, Writes: w.writes}
	j.callTable(op, j.whileWriting(s, w, func(now time.Time, r provider.Result) {
		switch {
		case r.Err == nil:
			j.wrote(now, s, w)
		case errors.Is(r.Err, provider.ErrConditionFailed):
			j.reread(s, w)
		case errors.Is(r.Err, provider.ErrUnavailable):
			j.retry(now, s, w, j.transact)
		default:
			j.retry(now, s, w, j.reread)
		}
	}))
}

// whileWriting calls f only if the write is still the one under way.
func (j *Journal) whileWriting(s *shard, w *write, f func(time.Time, provider.Result)) func(time.Time, provider.Result) {
	return func(now time.Time, r provider.Result) {
		if s.write == w {
			f(now, r)
		}
	}
}

func (j *Journal) retry(now time.Time, s *shard, w *write, again func(*shard, *write)) {
	w.failures++
	j.at(now.Add(j.backoff(j.cfg.RetryDelay, retryDelayMax, w.failures)), func(time.Time) {
		if s.write == w {
			again(s, w)
		}
	})
}

// reread looks whether the write has taken effect.
func (j *Journal) reread(s *shard, w *write) {
	if w.sort == "" {
		j.rereadShard(s, w)
		return
	}
	op := provider.Operation{Kind: provider.GetRow, Partition: entryPartition(s.index), Sort: w.sort, Consistent: true}
	j.callTable(op, j.whileWriting(s, w, func(now time.Time, r provider.Result) {
		switch {
		case r.Err == nil && batchOperation(r.Row) == w.operation:
			j.wrote(now, s, w)
		case answered(r.Err):
			j.rereadShard(s, w)
		default:
			j.retry(now, s, w, j.reread)
		}
	}))
}

func batchOperation(row provider.Row) string {
	var b batchRow
	if codec.Decode(row.Value, &b) != nil {
		return ""
	}
	return b.Operation
}

// rereadShard looks whether the shard is still owned. If it is, a write
// without effect may be made again.
func (j *Journal) rereadShard(s *shard, w *write) {
	op := provider.Operation{Kind: provider.GetRow, Partition: shardPartition, Sort: shardSort(s.index), Consistent: true}
	j.callTable(op, j.whileWriting(s, w, func(now time.Time, r provider.Result) {
		if r.Err != nil {
			j.retry(now, s, w, j.reread)
			return
		}
		row, ok := j.decodeShard(now, r.Row)
		switch {
		case !ok:
			j.retry(now, s, w, j.reread)
		case w.sort == "" && row.Operation == w.operation:
			j.wrote(now, s, w)
		case r.Row.Version == s.version:
			j.retry(now, s, w, j.transact)
		default:
			j.lose(now, s, row, r.Row.Version)
		}
	}))
}

func (j *Journal) wrote(now time.Time, s *shard, w *write) {
	s.write = nil
	w.done(now)
	j.admitWaiting(now, s)
	j.startWrite(now, s)
	j.mayRelease(now, s)
}

// appended takes over the records of a committed row.
func (j *Journal) appended(now time.Time, s *shard, batch []pendingRecord, row string) {
	for i := range batch {
		p := &batch[i]
		s.heldBytes -= p.record.size() + len(p.body)
		e := s.apply(p.record, row)
		e.holds--
		switch p.record.Kind {
		case recordClaimed:
			j.claimCommitted(now, p.record.Claim)
		case recordUndispatched:
			e.givenUp = nil
			j.emitRequest(now, event.JournalClaimGivenUp, p.record.Claim.Request)
		case recordAnswered:
			j.answerCommitted(now, s, e, p.body)
		}
	}
	j.maySeal(now, s)
}

func (j *Journal) emitRequest(now time.Time, n event.Number, id entity.RequestID) {
	j.ready.Events = append(j.ready.Events, event.Event{Number: n, At: now, Request: id})
}
