// Package provider defines the interfaces of the platform services that the
// daemons use: a transactional table service, an object store, and a cloud API
// that starts, stops and lists instances. Clients of real services and test
// doubles implement them.
package provider

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

var (
	// ErrConditionFailed means that the condition of a write in the transaction
	// did not hold, so nothing was written.
	ErrConditionFailed = merry.Sentinel("table: condition failed")
	// ErrNotFound means that the row, object or instance does not exist.
	ErrNotFound = merry.Sentinel("not found")
	// ErrUnavailable means that the call failed and had no effect.
	ErrUnavailable = merry.Sentinel("platform service unavailable")
	// ErrUnknownOutcome means that the call may have taken effect: no response
	// that decides it was received.
	ErrUnknownOutcome = merry.Sentinel("outcome unknown")
	// ErrRefused means that the cloud refused to start instances or servers,
	// usually because it has no capacity for them.
	ErrRefused = merry.Sentinel("cloud refused the request")
)

// Row is one row of the table service. Version rises with each write, also across a
// restore of the service (see ComposeVersion); Write.IfVersion is compared with it.
type Row struct {
	Partition string
	Sort      string // sort key within the partition
	Version   uint64
	Value     []byte
}

// Write sets, deletes or only checks one row, if its condition holds.
type Write struct {
	Partition string
	Sort      string // sort key within the partition
	Value     []byte
	Delete    bool
	// IfVersion is the version that the row must have; 0 means that the row
	// must not exist. It is ignored if Unconditional is set.
	IfVersion     uint64
	Unconditional bool
	// CheckOnly checks the condition without writing the row.
	CheckOnly bool
}

// Table is the transactional table service. A read may return stale rows unless
// consistent is true.
type Table interface {
	Get(ctx context.Context, partition, sort string, consistent bool) (Row, error)
	// Query returns at most limit rows of a partition whose sort key is greater
	// than after, in the order of their sort keys.
	Query(ctx context.Context, partition, after string, limit int, consistent bool) ([]Row, error)
	// Transact applies all writes or none. The token is an idempotency token:
	// for some minutes, resending the same transaction with the same token does
	// not apply it again.
	Transact(ctx context.Context, token string, writes []Write) error
}

// ObjectStore stores values that are too large for the table.
type ObjectStore interface {
	Put(ctx context.Context, key string, value []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// Market is the purchasing option of an instance.
type Market string

const (
	// Reclaimable instances (spot instances) are cheaper, but the cloud can
	// reclaim them at short notice.
	Reclaimable Market = "reclaimable"
	// OnDemand instances run until they are stopped.
	OnDemand Market = "on-demand"
)

// LaunchRequest asks the cloud to start one instance. Token is an idempotency token:
// requests with the same Token start at most one instance.
type LaunchRequest struct {
	Token      string
	DataCentre entity.DataCentreID
	Class      string
	Market     Market
	Tags       map[string]string
}

// InstanceState is the state of an instance in the list that Cloud.Instances
// returns. The list lags behind the actual state.
type InstanceState string

const (
	// Pending instances are starting.
	Pending InstanceState = "pending"
	// Running instances have started.
	Running InstanceState = "running"
	// Leaving instances have a reclaim notice or are shutting down.
	Leaving InstanceState = "leaving"
	// Stopped instances have been shut down or terminated.
	Stopped InstanceState = "gone"
)

// Instance is one instance as the cloud reports it.
type Instance struct {
	ID         entity.InstanceID
	DataCentre entity.DataCentreID
	Class      string
	Market     Market
	State      InstanceState
	Address    string // IP address
	Tags       map[string]string
}

// Price is the current price of an instance class in a data centre.
type Price struct {
	DataCentre entity.DataCentreID
	Class      string
	Market     Market
	PerHour    float64
}

// Cloud starts, stops and lists instances and returns their prices.
type Cloud interface {
	Start(ctx context.Context, request LaunchRequest) (Instance, error)
	Stop(ctx context.Context, id entity.InstanceID) error
	Prices(ctx context.Context) ([]Price, error)
	// Instances lists the instances that have all the given tags. The list may
	// lag behind recent starts and stops.
	Instances(ctx context.Context, tags map[string]string) ([]Instance, error)
}

// ReclaimNotice is the cloud's announcement that it will reclaim the instance on which
// this process runs.
type ReclaimNotice struct {
	ReclaimAt time.Time // when the cloud will reclaim the instance
}
