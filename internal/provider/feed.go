package provider

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

var (
	// ErrHistoryLost means that a feed no longer has the changes after the
	// requested version, also because that version is of an earlier generation. The
	// caller must read the complete list again.
	ErrHistoryLost = merry.Sentinel("feed no longer has the changes after the requested version")
	// ErrFenced means that a call was rejected because a call with a higher epoch
	// has been accepted.
	ErrFenced = merry.Sentinel("a higher epoch has been used")
)

// Change is the latest state of one entry of a watched list.
type Change[T any] struct {
	ID      string
	Version uint64 // of the table service after this change; see ComposeVersion
	Value   T
	Removed bool
	Err     error // why the entry cannot be decoded; Value is then not set
}

// Position is a point in the table service's history of changes.
type Position struct {
	Version uint64        // see ComposeVersion
	Clock   time.Duration // reading of the service's monotonic clock
}

// Feed reads a list of entries and watches it for changes.
type Feed[T any] interface {
	// List returns all entries and the position at which they were read.
	List(ctx context.Context) ([]Change[T], Position, error)
	// Changes returns the changes after a version. If there are none yet, it
	// waits for some for at most the given duration.
	Changes(ctx context.Context, after uint64, wait time.Duration) ([]Change[T], Position, error)
}

// Fence identifies the lease under which a LeaderTasks call is made: its holder
// and its epoch.
type Fence struct {
	Holder entity.InstanceID
	Epoch  uint64
}

// ScalingRequest sets the target number of backend servers of one service, data
// centre and market.
type ScalingRequest struct {
	Service    entity.ServiceName
	DataCentre entity.DataCentreID
	Market     Market
	Count      int
}

// LeaderTasks are the calls that only the lease holder makes, on behalf of all
// daemons. A call whose epoch is lower than that of an earlier call fails with
// ErrFenced.
type LeaderTasks interface {
	// ReportUsage reports the number of requests of each organisation in a
	// usage window.
	ReportUsage(ctx context.Context, fence Fence, window int64, requests map[entity.OrganisationID]uint32) error
	// ScaleServers sets a target number of backend servers. It fails with
	// ErrRefused if the cloud has no capacity for them.
	ScaleServers(ctx context.Context, fence Fence, request ScalingRequest) error
}
