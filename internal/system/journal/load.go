package journal

import (
	"errors"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// load reads the segments' filters and the rows after them. It runs after the
// takeover's transaction is known to have taken effect: no predecessor can
// append any more.
func (j *Journal) load(now time.Time, s *shard) {
	j.readShard(now, s, func(now time.Time) { j.loaded(now, s) })
}

// readShard reads what the shard's journal holds, as the row known now says.
func (j *Journal) readShard(now time.Time, s *shard, done func(time.Time)) {
	s.entries = make(map[keyHash]*entry)
	s.order = nil
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
		Kind: provider.GetRow, Partition: manifestPartition, Sort: shardSort(s.index), Consistent: true,
	}
	j.callTable(op, j.whileIn(s, func(now time.Time, r provider.Result) {
		s.manifest = manifest{}
		err := r.Err
		if err == nil {
			err = codec.Decode(r.Row.Value, &s.manifest)
		}
		if err != nil && !errors.Is(err, provider.ErrNotFound) {
			failures++
			j.later(now, s, j.backoff(j.cfg.RetryDelay, retryDelayMax, failures), func(now time.Time) {
				j.readManifest(now, s, failures, done)
			})
			return
		}
		done(now)
	}))
}

func (j *Journal) readRows(_ time.Time, s *shard, after string, failures int, done func(time.Time)) {
	op := provider.Operation{
		Kind: provider.QueryRows, Partition: entryPartition(s.index), After: after, Limit: queryLimit, Consistent: true,
	}
	j.callTable(op, j.whileIn(s, func(now time.Time, r provider.Result) {
		if r.Err != nil {
			failures++
			j.later(now, s, j.backoff(j.cfg.RetryDelay, retryDelayMax, failures), func(now time.Time) {
				j.readRows(now, s, after, failures, done)
			})
			return
		}
		if len(r.Rows) == 0 {
			done(now)
			return
		}
		for _, row := range r.Rows {
			j.replay(now, s, row)
		}
		j.readRows(now, s, r.Rows[len(r.Rows)-1].Sort, 0, done)
	}))
}

// replay applies one row that was read.
func (j *Journal) replay(now time.Time, s *shard, row provider.Row) {
	var b batchRow
	if err := codec.Decode(row.Value, &b); err != nil {
		j.emit(now, event.JournalRowUnreadable, row.Partition+" "+row.Sort)
		return
	}
	for i := range b.Records {
		s.apply(b.Records[i], row.Sort)
	}
}

// follow reads the winner's journal for the requests that are to be resolved.
func (j *Journal) follow(now time.Time, s *shard) {
	if !s.resolving() {
		j.followed(now, s)
		return
	}
	op := provider.Operation{Kind: provider.GetRow, Partition: shardPartition, Sort: shardSort(s.index), Consistent: true}
	j.callTable(op, j.whileIn(s, func(now time.Time, r provider.Result) {
		row, ok := shardRow{}, false
		if r.Err == nil {
			row, ok = j.decodeShard(now, r.Row)
		}
		if !ok {
			j.later(now, s, j.jitter(j.cfg.RetryDelay), func(now time.Time) { j.follow(now, s) })
			return
		}
		s.setRow(row, r.Row.Version)
		j.readShard(now, s, func(now time.Time) { j.confirmFollowed(now, s) })
	}))
}

// confirmFollowed reads the shard's row again: rows may have been moved into
// a segment while they were read.
func (j *Journal) confirmFollowed(now time.Time, s *shard) {
	op := provider.Operation{Kind: provider.GetRow, Partition: shardPartition, Sort: shardSort(s.index), Consistent: true}
	j.callTable(op, j.whileIn(s, func(now time.Time, r provider.Result) {
		if r.Err != nil || r.Row.Version != s.version {
			j.later(now, s, j.jitter(j.cfg.RetryDelay), func(now time.Time) { j.follow(now, s) })
			return
		}
		j.resolveAll(now, s)
		j.followed(now, s)
	}))
}

func (s *shard) resolving() bool {
	for _, id := range s.requests.Keys() {
		if s.requests.Get(id).phase == phaseResolving {
			return true
		}
	}
	return false
}

func (j *Journal) resolveAll(now time.Time, s *shard) {
	for _, id := range s.requests.Keys() {
		if r := s.requests.Get(id); r.phase == phaseResolving {
			j.resolve(now, s, r)
		}
	}
}

// resolve gives a request the winner's answer, or refuses it.
func (j *Journal) resolve(now time.Time, s *shard, r *request) {
	e := s.entries[r.hash]
	if e == nil {
		if found := j.lookUp(now, s, r); found {
			return
		}
	}
	if e == nil || e.record.Kind != recordAnswered {
		j.dropAnswer(now, r)
		j.refuseNotOwner(s, r)
		return
	}
	if e.digest != r.Digest {
		j.dropAnswer(now, r)
		j.refuse(r, verdict.New(r.verdict(), CodeKeyReused, "the key was used with other content"))
		return
	}
	if e.record.Answer.Request != r.Request {
		j.dropAnswer(now, r)
	}
	j.deliver(now, r, e.record.Answer)
}

func (j *Journal) dropAnswer(now time.Time, r *request) {
	if r.finished {
		j.emitRequest(now, event.JournalAnswerDropped, r.Request)
	}
}

// followed ends the work on a shard that another daemon owns.
func (j *Journal) followed(now time.Time, s *shard) {
	if s.resolving() {
		// A segment is being read for a request; its end comes back here.
		return
	}
	s.clear()
	s.enter(stateForeign)
	j.evaluate(now, s)
}
