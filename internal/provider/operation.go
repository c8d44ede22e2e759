package provider

import "context"

// OperationID matches a Result to its Operation. It is unique within the
// component that issued the operation.
type OperationID uint64

// OperationKind is the table service or object store call that an Operation makes.
type OperationKind uint8

const (
	// GetRow reads one row of the table.
	GetRow OperationKind = iota + 1
	// QueryRows reads rows of one partition in the order of their sort keys.
	QueryRows
	// TransactRows writes several rows atomically.
	TransactRows
	// PutObject stores an object.
	PutObject
	// GetObject reads an object.
	GetObject
	// DeleteObject deletes an object.
	DeleteObject
)

// Operation describes a call to the table service or the object store. A
// component that does no I/O itself returns it to its caller, which passes it to
// Perform. Only the fields that its kind uses are set.
type Operation struct {
	ID         OperationID
	Kind       OperationKind
	Partition  string
	Sort       string  // GetRow: sort key of the row
	After      string  // QueryRows: only rows whose sort key is greater
	Limit      int     // QueryRows: maximum number of rows
	Consistent bool    // GetRow, QueryRows: strongly consistent read
	Token      string  // TransactRows: idempotency token, see Table.Transact
	Writes     []Write // TransactRows
	Key        string  // PutObject, GetObject, DeleteObject
	Value      []byte  // PutObject
}

// Result is the outcome of the Operation with the same ID. Err is nil or wraps
// one of the sentinel errors of this package.
type Result struct {
	ID    OperationID
	Row   Row
	Rows  []Row
	Value []byte
	Err   error
}

// Perform makes the call that op describes and never retries it.
func Perform(ctx context.Context, table Table, objects ObjectStore, op Operation) Result {
	result := Result{ID: op.ID}
	switch op.Kind {
	case GetRow:
		result.Row, result.Err = table.Get(ctx, op.Partition, op.Sort, op.Consistent)
	case QueryRows:
		result.Rows, result.Err = table.Query(ctx, op.Partition, op.After, op.Limit, op.Consistent)
	case TransactRows:
		result.Err = table.Transact(ctx, op.Token, op.Writes)
	case PutObject:
		result.Err = objects.Put(ctx, op.Key, op.Value)
	case GetObject:
		result.Value, result.Err = objects.Get(ctx, op.Key)
	case DeleteObject:
		result.Err = objects.Delete(ctx, op.Key)
	}
	return result
}
