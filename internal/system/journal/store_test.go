package journal

import (
	"maps"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// store simulates the table service and the object store.
type store struct {
	w         *world
	rows      tableRows
	objects   map[string][]byte
	staleRows tableRows // what a stale read returns
	answers   map[keyHash]entity.RequestID

	latency     time.Duration
	jitter      time.Duration
	down        bool
	objectsDown bool
	stale       bool
	// fault, if set, decides what goes wrong with an operation.
	fault func(d *daemon, op provider.Operation) fault

	transactions, rowWrites, puts, reads int
	readBytes                            int
}

// fault is what goes wrong with one operation.
type fault struct {
	loseReply   bool          // the operation takes effect, but its outcome is reported as unknown
	loseRequest bool          // the operation takes no effect, and its outcome is reported as unknown
	effectDelay time.Duration // the operation takes effect this much later; with loseReply, after the outcome is reported as unknown
	replyDelay  time.Duration // the reply arrives this much later
}

// tableRows holds rows by partition and sort key.
type tableRows map[string]map[string]provider.Row

func (s *store) submit(d *daemon, op provider.Operation) {
	w := s.w
	var f fault
	if s.fault != nil {
		f = s.fault(d, op)
	}
	trip := s.latency
	if s.jitter > 0 {
		trip += time.Duration(w.rand.Int64N(int64(s.jitter)))
	}
	reply := func(r provider.Result) {
		w.schedule(trip/2+f.replyDelay, d, func() { d.journal.TableResult(w.now, r) })
	}
	if f.loseReply || f.loseRequest {
		if !f.loseRequest {
			w.schedule(trip/2+f.effectDelay, nil, func() { s.perform(op) })
		}
		w.schedule(trip, d, func() {
			d.journal.TableResult(w.now, provider.Result{ID: op.ID, Err: provider.ErrUnknownOutcome})
		})
		return
	}
	w.schedule(trip/2+f.effectDelay, nil, func() { reply(s.perform(op)) })
}

func (s *store) perform(op provider.Operation) provider.Result {
	r := provider.Result{ID: op.ID}
	object := op.Kind >= provider.PutObject
	if s.down && !object || s.objectsDown && object {
		r.Err = provider.ErrUnavailable
		return r
	}
	switch op.Kind {
	case provider.GetRow:
		s.reads++
		row, ok := s.visibleRows(op.Consistent)[op.Partition][op.Sort]
		r.Row = row
		if !ok {
			r.Err = provider.ErrNotFound
		}
	case provider.QueryRows:
		s.reads++
		r.Rows = s.query(op)
	case provider.TransactRows:
		r.Err = s.transact(op)
	case provider.PutObject:
		s.puts++
		s.objects[op.Key] = slices.Clone(op.Value)
	case provider.GetObject:
		s.reads++
		value, ok := s.objects[op.Key]
		s.readBytes += len(value)
		r.Value = value
		if !ok {
			r.Err = provider.ErrNotFound
		}
	case provider.DeleteObject:
		delete(s.objects, op.Key)
	}
	return r
}

func (s *store) visibleRows(consistent bool) tableRows {
	if !consistent && s.stale && s.staleRows != nil {
		return s.staleRows
	}
	return s.rows
}

func (s *store) query(op provider.Operation) []provider.Row {
	var rows []provider.Row
	for _, row := range s.visibleRows(op.Consistent)[op.Partition] {
		if row.Sort > op.After {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b provider.Row) int {
		if a.Sort < b.Sort {
			return -1
		}
		return 1
	})
	rows = rows[:min(len(rows), op.Limit)]
	for _, row := range rows {
		s.readBytes += len(row.Value)
	}
	return rows
}

func (s *store) transact(op provider.Operation) error {
	for _, write := range op.Writes {
		if !write.Unconditional && s.rows[write.Partition][write.Sort].Version != write.IfVersion {
			return provider.ErrConditionFailed
		}
	}
	s.transactions++
	for _, write := range op.Writes {
		if write.CheckOnly {
			continue
		}
		s.rowWrites++
		if write.Delete {
			delete(s.rows[write.Partition], write.Sort)
			continue
		}
		row := provider.Row{
			Partition: write.Partition, Sort: write.Sort,
			Version: s.rows[write.Partition][write.Sort].Version + 1, Value: slices.Clone(write.Value),
		}
		s.putRow(row)
		s.checkAnswers(row)
	}
	return nil
}

func (s *store) putRow(row provider.Row) {
	if s.rows[row.Partition] == nil {
		s.rows[row.Partition] = map[string]provider.Row{}
	}
	s.rows[row.Partition][row.Sort] = row
}

// checkAnswers records which request's answer the store holds for each key, and
// checks that no key gets a second answer.
func (s *store) checkAnswers(row provider.Row) {
	var b batchRow
	if row.Partition == shardPartition || row.Partition == manifestPartition || codec.Decode(row.Value, &b) != nil {
		return
	}
	for _, rec := range b.Records {
		if rec.Kind != recordAnswered {
			continue
		}
		if first, ok := s.answers[rec.Hash]; ok && first != rec.Answer.Request {
			s.w.t.Fatalf("answers of %s and %s were committed for one key", first, rec.Answer.Request)
		}
		s.answers[rec.Hash] = rec.Answer.Request
	}
}

// snapshot copies the present rows for stale reads.
func (s *store) snapshot() {
	s.staleRows = tableRows{}
	for partition, rows := range s.rows {
		s.staleRows[partition] = maps.Clone(rows)
	}
}
