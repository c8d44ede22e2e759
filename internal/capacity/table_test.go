package capacity

import (
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// rowKey names a row.
type rowKey struct{ partition, sort string }

// table plays the table service and the object store.
type table struct {
	rows    map[rowKey]provider.Row
	sorted  map[string][]string // sort keys by partition, in order
	objects map[string][]byte
	delay   time.Duration // of each call; from the half of it to three halves
}

func newTable() *table {
	return &table{
		rows: map[rowKey]provider.Row{}, sorted: map[string][]string{},
		objects: map[string][]byte{}, delay: 5 * time.Millisecond,
	}
}

// perform carries out an operation and posts its result.
func (t *table) perform(n *node, op core.Operation) {
	f := n.fleet
	half := t.delay/4 + time.Duration(f.rng.Int64N(int64(t.delay/2)))
	f.after(half, func() {
		r := provider.Result{ID: op.Operation.ID}
		t.apply(&op.Operation, &r)
		n.traffic.operation(&op.Operation, &r)
		f.calls.add(&op.Operation, f.now)
		f.after(half, func() { n.post(core.PlatformResult{System: op.System, Result: r}) })
	})
}

// apply carries out an operation.
func (t *table) apply(op *provider.Operation, r *provider.Result) {
	found := true
	switch op.Kind {
	case provider.GetRow:
		r.Row, found = t.rows[rowKey{op.Partition, op.Sort}]
	case provider.QueryRows:
		r.Rows = t.query(op)
	case provider.TransactRows:
		r.Err = t.transact(op.Writes)
	case provider.PutObject:
		t.objects[op.Key] = op.Value
	case provider.GetObject:
		r.Value, found = t.objects[op.Key]
	case provider.DeleteObject:
		delete(t.objects, op.Key)
	}
	if !found {
		r.Err = provider.ErrNotFound
	}
}

// query returns rows of a partition in order.
func (t *table) query(op *provider.Operation) []provider.Row {
	keys := t.sorted[op.Partition]
	var out []provider.Row
	for _, k := range keys[sort.SearchStrings(keys, op.After):] {
		if k > op.After && (op.Limit <= 0 || len(out) < op.Limit) {
			out = append(out, t.rows[rowKey{op.Partition, k}])
		}
	}
	return out
}

// transact applies all writes or none.
func (t *table) transact(writes []provider.Write) error {
	for _, w := range writes {
		if !w.Unconditional && t.rows[rowKey{w.Partition, w.Sort}].Version != w.IfVersion {
			return provider.ErrConditionFailed
		}
	}
	for _, w := range writes {
		t.write(w)
	}
	return nil
}

// write applies one write and keeps the order of the sort keys.
func (t *table) write(w provider.Write) {
	if w.CheckOnly {
		return
	}
	k := rowKey{w.Partition, w.Sort}
	keys := t.sorted[w.Partition]
	i := sort.SearchStrings(keys, w.Sort)
	old, exists := t.rows[k]
	switch {
	case w.Delete && exists:
		delete(t.rows, k)
		t.sorted[w.Partition] = append(keys[:i], keys[i+1:]...)
	case w.Delete:
	default:
		if !exists {
			keys = append(keys, "")
			copy(keys[i+1:], keys[i:])
			keys[i] = w.Sort
			t.sorted[w.Partition] = keys
		}
		t.rows[k] = provider.Row{Partition: w.Partition, Sort: w.Sort, Version: old.Version + 1, Value: w.Value}
	}
}
