package capacity

import (
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// rowKey identifies a row of the table.
type rowKey struct{ partition, sort string }

// table simulates the table service and the object store.
type table struct {
	rows      map[rowKey]provider.Row
	sortKeys  map[string][]string // sort keys by partition, in order
	objects   map[string][]byte
	callDelay time.Duration // mean; a call takes between half and one and a half of it
}

func newTable() *table {
	return &table{
		rows: map[rowKey]provider.Row{}, sortKeys: map[string][]string{},
		objects: map[string][]byte{}, callDelay: 5 * time.Millisecond,
	}
}

// performOperation applies an operation halfway through a random call delay and
// posts its result to daemon n at the end of the delay.
func (t *table) performOperation(n *node, op core.Operation) {
	f := n.fleet
	oneWayDelay := t.callDelay/4 + time.Duration(f.rng.Int64N(int64(t.callDelay/2)))
	f.schedule(oneWayDelay, func() {
		r := provider.Result{ID: op.Operation.ID}
		t.applyOperation(&op.Operation, &r)
		n.traffic.countOperation(&op.Operation, &r)
		f.tableCalls.count(&op.Operation, f.now)
		f.schedule(oneWayDelay, func() { n.postInput(core.PlatformResult{System: op.System, Result: r}) })
	})
}

// applyOperation applies an operation to the table and sets its result.
func (t *table) applyOperation(op *provider.Operation, r *provider.Result) {
	found := true
	switch op.Kind {
	case provider.GetRow:
		r.Row, found = t.rows[rowKey{op.Partition, op.Sort}]
	case provider.QueryRows:
		r.Rows = t.queryRows(op)
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

// queryRows returns the rows of a partition after a sort key, in the order of
// their sort keys and up to the limit.
func (t *table) queryRows(op *provider.Operation) []provider.Row {
	keys := t.sortKeys[op.Partition]
	var out []provider.Row
	for _, k := range keys[sort.SearchStrings(keys, op.After):] {
		if k > op.After && (op.Limit <= 0 || len(out) < op.Limit) {
			out = append(out, t.rows[rowKey{op.Partition, k}])
		}
	}
	return out
}

// transact applies all writes, or none if a condition fails.
func (t *table) transact(writes []provider.Write) error {
	for _, w := range writes {
		if !w.Unconditional && t.rows[rowKey{w.Partition, w.Sort}].Version != w.IfVersion {
			return provider.ErrConditionFailed
		}
	}
	for _, w := range writes {
		t.applyWrite(w)
	}
	return nil
}

// applyWrite applies one write and updates the sorted list of sort keys.
func (t *table) applyWrite(w provider.Write) {
	if w.CheckOnly {
		return
	}
	k := rowKey{w.Partition, w.Sort}
	keys := t.sortKeys[w.Partition]
	i := sort.SearchStrings(keys, w.Sort)
	old, exists := t.rows[k]
	switch {
	case w.Delete && exists:
		delete(t.rows, k)
		t.sortKeys[w.Partition] = append(keys[:i], keys[i+1:]...)
	case w.Delete:
	default:
		if !exists {
			keys = append(keys, "")
			copy(keys[i+1:], keys[i:])
			keys[i] = w.Sort
			t.sortKeys[w.Partition] = keys
		}
		t.rows[k] = provider.Row{Partition: w.Partition, Sort: w.Sort, Version: old.Version + 1, Value: w.Value}
	}
}
