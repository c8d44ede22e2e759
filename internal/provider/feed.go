package provider

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

var (
	// ErrHistoryLost: a feed no longer has the changes after the version asked
	// for; the list must be read anew.
	ErrHistoryLost = merry.Sentinel("feed: history lost")
	// ErrFenced: a call was refused since a higher epoch has been used.
	ErrFenced = merry.Sentinel("a higher epoch has been used")
)

// Change is the newest state of one entry of a watched list.
type Change[T any] struct {
	ID      string
	Value   T
	Removed bool
	Err     error // the entry cannot be read; Value is not set
}

// Position is a place in the history of the table service.
type Position struct {
	Version uint64
	Clock   time.Duration // the service's steady clock
}

// Feed tells the entries of a list and what changes of them.
type Feed[T any] interface {
	// List reads all entries.
	List(ctx context.Context) ([]Change[T], Position, error)
	// Changes waits until there are changes after a version, or for the given
	// time.
	Changes(ctx context.Context, after uint64, wait time.Duration) ([]Change[T], Position, error)
}

// Fence names the holder of a singleton duty.
type Fence struct {
	Holder entity.InstanceID
	Epoch  uint64
}

// ServerOrder sets the wanted number of backend servers of one class.
type ServerOrder struct {
	Service    entity.ServiceName
	DataCentre entity.DataCentreID
	Market     Market
	Count      int
}

// Duties are calls that one daemon makes for the whole fleet. A call with a
// lower epoch than one seen before fails with ErrFenced.
type Duties interface {
	ReportUsage(ctx context.Context, f Fence, window int64, requests map[entity.OrganisationID]uint32) error
	// OrderServers fails with ErrRefused if there is no capacity.
	OrderServers(ctx context.Context, f Fence, o ServerOrder) error
}
