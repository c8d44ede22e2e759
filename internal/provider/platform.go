// Package provider defines what the system needs of the platform: a
// transactional table service, an object store, a cloud API and a list of
// instances. Clients and stand-ins implement these interfaces.
package provider

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

var (
	// ErrConditionFailed: a write's condition did not hold; nothing was written.
	ErrConditionFailed = merry.Sentinel("table: condition failed")
	// ErrNotFound: there is no such row or object.
	ErrNotFound = merry.Sentinel("not found")
	// ErrUnavailable: the service refused the call before any effect.
	ErrUnavailable = merry.Sentinel("platform service unavailable")
	// ErrUnknownOutcome: the call may have taken effect; its reply is lost.
	ErrUnknownOutcome = merry.Sentinel("outcome unknown")
	// ErrRefused: the cloud has no capacity for the order.
	ErrRefused = merry.Sentinel("cloud refused the order")
)

// Row is one row of the table service. Version starts at 1 and rises by one
// with each write; it is the subject of conditions.
type Row struct {
	Partition string
	Sort      string
	Version   uint64
	Value     []byte
}

// Write sets or deletes one row if its condition holds.
type Write struct {
	Partition string
	Sort      string
	Value     []byte
	Delete    bool
	// IfVersion is the version that the row must have; 0 means that the row
	// must not exist. Ignored with Unconditional.
	IfVersion     uint64
	Unconditional bool
	// CheckOnly only checks the condition and writes nothing.
	CheckOnly bool
}

// Table is the transactional table service. Reads may be stale unless
// consistent. A transaction writes all or nothing.
type Table interface {
	Get(ctx context.Context, partition, sort string, consistent bool) (Row, error)
	// Query returns rows of a partition whose sort key is above after, in
	// order, at most limit of them.
	Query(ctx context.Context, partition, after string, limit int, consistent bool) ([]Row, error)
	// Transact applies all writes or none. The token makes a resend of the
	// same transaction harmless for some minutes.
	Transact(ctx context.Context, token string, writes []Write) error
}

// ObjectStore keeps large values.
type ObjectStore interface {
	Put(ctx context.Context, key string, value []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// Market says how an instance is paid.
type Market string

const (
	// Reclaimable instances are cheap and can be taken back at short notice.
	Reclaimable Market = "reclaimable"
	// OnDemand instances stay until stopped.
	OnDemand Market = "on-demand"
)

// Order asks the cloud for one instance. The same Token never starts two.
type Order struct {
	Token      string
	DataCentre entity.DataCentreID
	Class      string
	Market     Market
	Tags       map[string]string
}

// InstanceState is the state in the platform's lagging list.
type InstanceState string

const (
	// Pending instances are starting.
	Pending InstanceState = "pending"
	// Running instances are up.
	Running InstanceState = "running"
	// Leaving instances have a reclaim notice or are shutting down.
	Leaving InstanceState = "leaving"
	// Gone instances have stopped.
	Gone InstanceState = "gone"
)

// Instance is an entry of the platform's list.
type Instance struct {
	ID         entity.InstanceID
	DataCentre entity.DataCentreID
	Class      string
	Market     Market
	State      InstanceState
	Address    string // IP number
	Tags       map[string]string
}

// Price is the present price of a class in a data centre.
type Price struct {
	DataCentre entity.DataCentreID
	Class      string
	Market     Market
	PerHour    float64
}

// Cloud starts and stops instances and tells prices.
type Cloud interface {
	Start(ctx context.Context, o Order) (Instance, error)
	Stop(ctx context.Context, id entity.InstanceID) error
	Prices(ctx context.Context) ([]Price, error)
	// Instances returns the lagging list, filtered by tags.
	Instances(ctx context.Context, tags map[string]string) ([]Instance, error)
}

// Notice is an announced reclaim of the instance it is read on.
type Notice struct {
	At time.Time // when the instance will be taken
}
