package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/lease"
)

// keepLease acquires the lease when it is free, and again under an epoch of the table
// service's present generation after a restore.
func (t *leaderTasks) keepLease(runCtx context.Context) {
	free := false
	t.g.withCore(func(c *exchange.Core, now time.Time) { free = c.Contend(now) })
	fence, held := t.fence()
	generation, _, known := t.g.generations.current()
	switch {
	case free:
		t.acquireLease(runCtx)
	case held && known && provider.Generation(fence.Epoch) < generation:
		t.renewAfterRestore(runCtx)
	}
}

// fence returns the fencing token of this daemon's lease, and whether it holds the
// lease. A daemon that is stopping no longer uses it.
func (t *leaderTasks) fence() (provider.Fence, bool) {
	var epoch uint64
	var held bool
	t.g.withCore(func(c *exchange.Core, _ time.Time) { epoch, held = c.LeaseEpoch() })
	return provider.Fence{Holder: t.g.Settings.Name, Epoch: epoch}, held && !t.g.stopping()
}

// fenceForCall returns the fencing token for a call that is made at once, and whether
// this daemon may make it: it holds the lease and that was confirmed a short time ago.
func (t *leaderTasks) fenceForCall(runCtx context.Context) (provider.Fence, bool) {
	if !t.mayCall() {
		t.confirmLease(runCtx)
	}
	fence, held := t.fence()
	return fence, held && t.mayCall()
}

func (t *leaderTasks) mayCall() (ok bool) {
	t.g.withCore(func(c *exchange.Core, now time.Time) { ok = c.MayCallAsLeader(now) })
	return ok
}

// settling reports whether the lease was acquired so lately that the previous holder may
// still be making calls.
func (t *leaderTasks) settling() (ok bool) {
	t.g.withCore(func(c *exchange.Core, now time.Time) { ok = c.LeaseSettling(now) })
	return ok
}

// readLease reads the lease's row. A missing row has version 0.
func (t *leaderTasks) readLease(ctx context.Context) (row lease.Row, version uint64, err error) {
	stored, err := t.g.Table.Get(ctx, leaderPartition, leaseRow, true)
	if errors.Is(err, provider.ErrNotFound) {
		return row, 0, nil
	}
	if err != nil {
		return row, 0, err
	}
	return row, stored.Version, json.Unmarshal(stored.Value, &row)
}

// acquireLease writes this daemon as holder into the lease's row and reads back the
// version that the row got by it, which is the epoch.
func (t *leaderTasks) acquireLease(runCtx context.Context) {
	ctx, cancel := context.WithTimeout(runCtx, leaderCallTimeout)
	defer cancel()
	previous, err := t.writeLease(ctx)
	if err == nil {
		err = t.adoptLease(ctx, previous)
	}
	if err != nil {
		// A write whose response was lost may have taken effect: the next attempt reads
		// the row and writes it again.
		t.g.event(event.LeaseNotAcquired, "", event.A("error", err.Error()))
	}
}

// writeLease writes this daemon as holder into the lease's row.
func (t *leaderTasks) writeLease(ctx context.Context) (previous lease.Row, err error) {
	previous, version, err := t.readLease(ctx)
	if err != nil {
		return previous, err
	}
	value, err := json.Marshal(lease.Row{Holder: t.g.self.Name})
	if err != nil {
		return previous, err
	}
	write := provider.Write{Partition: leaderPartition, Sort: leaseRow, Value: value, IfVersion: version}
	return previous, t.g.Table.Transact(ctx, "", []provider.Write{write})
}

// errNotHolder: the lease's row names another daemon.
var errNotHolder = errors.New("the lease's row names another daemon")

// adoptLease makes this daemon the lease holder under the present version of the
// lease's row, if the row names it.
func (t *leaderTasks) adoptLease(ctx context.Context, previous lease.Row) error {
	readAt := clock.Now()
	row, epoch, err := t.readLease(ctx)
	if err != nil {
		return err
	}
	if epoch == 0 || row.Holder != t.g.self.Name {
		return errNotHolder
	}
	restoredBy, err := t.agreeRestoreTime(ctx, provider.Generation(epoch))
	if err != nil {
		return err
	}
	t.restoredBy = restoredBy
	t.g.withCore(func(c *exchange.Core, now time.Time) { c.LeaseAcquired(now, readAt, epoch) })
	t.reported = 0
	t.scaling = newScalingState()
	t.checkpoint = savedCheckpoint{}
	t.adoptPlan(ctx)
	t.restoreCounts(ctx)
	t.g.event(event.LeaseAcquired, "", event.A("epoch", epoch), event.A("before", previous.Holder))
	return nil
}

// renewAfterRestore continues the lease under an epoch of the table service's present
// generation. A row that names another daemon, which may hold the lease by now, is left
// alone.
func (t *leaderTasks) renewAfterRestore(runCtx context.Context) {
	ctx, cancel := context.WithTimeout(runCtx, leaderCallTimeout)
	defer cancel()
	row, version, err := t.readLease(ctx)
	switch {
	case err != nil:
	case version == 0:
		_, err = t.writeLease(ctx)
	case row.Holder != t.g.self.Name:
		t.stepDown("after a restore the lease's row names " + string(row.Holder))
		return
	}
	if err == nil {
		err = t.adoptLease(ctx, lease.Row{Holder: t.g.self.Name})
	}
	if err != nil {
		t.g.event(event.LeaseNotAcquired, "", event.A("error", err.Error()))
	}
}

// leaseReadTimeout bounds a read of the lease's row before a call: acknowledged messages of others
// confirm the lease while it cannot be read.
const leaseReadTimeout = 500 * time.Millisecond

// confirmLease reads the lease's row and reports whether it still has the version that
// is this daemon's epoch. If it has another one, this daemon steps down.
func (t *leaderTasks) confirmLease(runCtx context.Context) bool {
	ctx, cancel := context.WithTimeout(runCtx, leaseReadTimeout)
	defer cancel()
	fence, held := t.fence()
	if !held {
		return false
	}
	readAt := clock.Now()
	_, version, err := t.readLease(ctx)
	if err != nil {
		t.g.withCore(func(c *exchange.Core, now time.Time) { c.LeaseUnread(now) })
		return false
	}
	if version != fence.Epoch {
		if provider.Generation(version) == provider.Generation(fence.Epoch) {
			t.stepDown("the lease's row has changed")
		}
		return false
	}
	t.g.withCore(func(c *exchange.Core, _ time.Time) { c.LeaseConfirmed(readAt) })
	return true
}

// stepDown stops the leader tasks, since the lease is lost. The row is not changed.
func (t *leaderTasks) stepDown(why string) {
	t.g.withCore(func(c *exchange.Core, now time.Time) { c.LeaseLost(now) })
	t.g.event(event.LeaseLost, "", event.A("why", why))
}
