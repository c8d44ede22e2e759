package core

import (
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// rowKey identifies a row.
type rowKey struct{ partition, sort string }

// fakeTable simulates the table service and the object store.
type fakeTable struct {
	rows          map[rowKey]provider.Row
	resultByToken map[string]error // of transactions, by idempotency token
	objects       map[string][]byte
	down          bool
	replyLoss     float64 // fraction of replies lost after the operation took effect
	delay         time.Duration
	writes        int
}

// newFakeTable returns an empty table.
func newFakeTable() *fakeTable {
	return &fakeTable{
		rows: map[rowKey]provider.Row{}, resultByToken: map[string]error{}, objects: map[string][]byte{},
		delay: 3 * time.Millisecond,
	}
}

// perform carries out an operation after half of a random delay and returns its
// result after the other half.
func (f *fakeTable) perform(d *fakeDaemon, op Operation) {
	w := d.w
	half := f.delay/2 + time.Duration(w.rng.Int64N(int64(f.delay)))
	w.schedule(half, func() {
		r := provider.Result{ID: op.Operation.ID}
		if f.down {
			r.Err = provider.ErrUnavailable
		} else {
			f.apply(op.Operation, &r)
		}
		if !f.down && w.rng.Float64() < f.replyLoss {
			r = provider.Result{ID: op.Operation.ID, Err: provider.ErrUnknownOutcome}
		}
		w.schedule(half, func() { d.post(PlatformResult{System: op.System, Result: r}) })
	})
}

// apply carries out an operation.
func (f *fakeTable) apply(op provider.Operation, r *provider.Result) {
	switch op.Kind {
	case provider.GetRow:
		row, ok := f.rows[rowKey{op.Partition, op.Sort}]
		r.Row = row
		if !ok {
			r.Err = provider.ErrNotFound
		}
	case provider.QueryRows:
		r.Rows = f.query(op)
	case provider.TransactRows:
		r.Err = f.transact(op)
	case provider.PutObject:
		f.objects[op.Key] = op.Value
	case provider.GetObject:
		v, ok := f.objects[op.Key]
		r.Value = v
		if !ok {
			r.Err = provider.ErrNotFound
		}
	case provider.DeleteObject:
		delete(f.objects, op.Key)
	}
}

// query returns the rows of a partition in the order of their sort keys.
func (f *fakeTable) query(op provider.Operation) []provider.Row {
	var out []provider.Row
	for k, row := range f.rows {
		if k.partition == op.Partition && k.sort > op.After {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Sort < out[j].Sort })
	if op.Limit > 0 && len(out) > op.Limit {
		out = out[:op.Limit]
	}
	return out
}

// transact applies all writes or none. A token that was applied before is not
// applied again.
func (f *fakeTable) transact(op provider.Operation) error {
	if err, done := f.resultByToken[op.Token]; done && op.Token != "" {
		return err
	}
	err := f.check(op.Writes)
	if err == nil {
		f.write(op.Writes)
		f.resultByToken[op.Token] = nil
	}
	return err
}

// check tests the conditions of all writes.
func (f *fakeTable) check(writes []provider.Write) error {
	for _, wr := range writes {
		if !wr.Unconditional && f.rows[rowKey{wr.Partition, wr.Sort}].Version != wr.IfVersion {
			return provider.ErrConditionFailed
		}
	}
	return nil
}

// write applies writes whose conditions hold.
func (f *fakeTable) write(writes []provider.Write) {
	for _, wr := range writes {
		k := rowKey{wr.Partition, wr.Sort}
		switch {
		case wr.CheckOnly:
		case wr.Delete:
			delete(f.rows, k)
		default:
			f.writes++
			f.rows[k] = provider.Row{Partition: k.partition, Sort: k.sort, Version: f.rows[k].Version + 1, Value: wr.Value}
		}
	}
}
