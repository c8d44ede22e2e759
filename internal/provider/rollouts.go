package provider

import (
	"context"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// RolloutRow is the row of the table service with the state of a service's roll-out.
type RolloutRow struct {
	Service entity.ServiceName
	Version uint64 // of the row; see ComposeVersion
	State   rollout.State
	Err     error // why the row cannot be decoded; State is then not set
}

// Rollouts stores the states of roll-outs, one row for each service, in the table service.
// All reads are consistent. A restore of the table service may lose the newest states.
type Rollouts interface {
	// List returns the rows of all services.
	List(ctx context.Context) ([]RolloutRow, error)
	// Get returns the row of a service. It fails with ErrNotFound if there is none.
	Get(ctx context.Context, service entity.ServiceName) (RolloutRow, error)
	// Commit writes a state if the service's row has the given version; 0 means that there
	// must be no row. With it, in one transaction, it tells the platform the status of the
	// roll-out, on which the platform acts at once. It fails with ErrConditionFailed if the row
	// has another version. After ErrUnknownOutcome the row must be read before the next try.
	Commit(ctx context.Context, state rollout.State, ifVersion uint64) error
}
