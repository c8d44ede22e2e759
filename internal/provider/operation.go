package provider

import "context"

// OperationID matches a result to its operation. It is unique within the
// system that issued the operation.
type OperationID uint64

// OperationKind says what an operation asks of the platform.
type OperationKind uint8

const (
	// GetRow reads one row.
	GetRow OperationKind = iota + 1
	// QueryRows reads rows of a partition in order.
	QueryRows
	// TransactRows writes rows, all or none.
	TransactRows
	// PutObject stores an object.
	PutObject
	// GetObject reads an object.
	GetObject
	// DeleteObject removes an object.
	DeleteObject
)

// Operation is a call on the table service or the object store that a system
// asks its caller to perform. Only the fields of its kind are set.
type Operation struct {
	ID         OperationID
	Kind       OperationKind
	Partition  string
	Sort       string // GetRow
	After      string // QueryRows
	Limit      int    // QueryRows
	Consistent bool
	Token      string  // TransactRows
	Writes     []Write // TransactRows
	Key        string  // objects
	Value      []byte  // PutObject
}

// Result is the outcome of an operation. Err wraps one of the sentinels of
// this package.
type Result struct {
	ID    OperationID
	Row   Row
	Rows  []Row
	Value []byte
	Err   error
}

// Perform carries out an operation. It sends it once and never again.
func Perform(ctx context.Context, t Table, s ObjectStore, op Operation) Result {
	r := Result{ID: op.ID}
	switch op.Kind {
	case GetRow:
		r.Row, r.Err = t.Get(ctx, op.Partition, op.Sort, op.Consistent)
	case QueryRows:
		r.Rows, r.Err = t.Query(ctx, op.Partition, op.After, op.Limit, op.Consistent)
	case TransactRows:
		r.Err = t.Transact(ctx, op.Token, op.Writes)
	case PutObject:
		r.Err = s.Put(ctx, op.Key, op.Value)
	case GetObject:
		r.Value, r.Err = s.Get(ctx, op.Key)
	case DeleteObject:
		r.Err = s.Delete(ctx, op.Key)
	}
	return r
}
