package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/lease"
)

const (
	// leaderTaskInterval is the time between two checks for leader tasks that are due.
	leaderTaskInterval = 150 * time.Millisecond
	// leaderCallTimeout bounds one call to the table service or the platform.
	leaderCallTimeout = 2 * time.Second
	// backfillWindows is how many usage windows before the current one a new lease
	// holder reports.
	backfillWindows = 2

	leaderPartition = "duties"
	leaseRow        = "lease"
)

// leaderTasks is the state of the tasks that only the leader performs: usage reports,
// scaling requests and checkpoints. The leader is the daemon that holds the lease.
type leaderTasks struct {
	g          *Gateway
	reported   int64 // number of the last usage window that was reported; 0: unknown
	scaling    *scalingState
	checkpoint savedCheckpoint
}

// runLeaderTasks acquires the lease when it is free and performs the leader tasks
// while this daemon holds it.
func (g *Gateway) runLeaderTasks(runCtx context.Context) {
	t := &leaderTasks{g: g, scaling: newScalingState()}
	for clock.Wait(runCtx, leaderTaskInterval) {
		leaseFree := false
		g.withCore(func(c *exchange.Core, now time.Time) { leaseFree = c.Contend(now) })
		if leaseFree {
			t.acquireLease(runCtx)
		}
		if _, held := t.fence(); held {
			t.saveCheckpoint(runCtx)
			t.reportUsage(runCtx)
			t.sendScalingRequests(runCtx)
		}
	}
}

// fence returns the fencing token of this daemon's lease, and whether the lease is
// held and may be used. A daemon that is stopping no longer uses it.
func (t *leaderTasks) fence() (provider.Fence, bool) {
	var epoch uint64
	var held bool
	t.g.withCore(func(c *exchange.Core, _ time.Time) { epoch, held = c.LeaseEpoch() })
	return provider.Fence{Holder: t.g.Settings.Name, Epoch: epoch}, held && !t.g.stopping()
}

// acquireLease writes this daemon as holder into the lease's row, with the next epoch.
func (t *leaderTasks) acquireLease(runCtx context.Context) {
	ctx, cancel := context.WithTimeout(runCtx, leaderCallTimeout)
	defer cancel()
	row, err := t.g.Table.Get(ctx, leaderPartition, leaseRow, true)
	if err != nil && !errors.Is(err, provider.ErrNotFound) {
		return
	}
	var previous lease.Row
	if err == nil {
		if err := json.Unmarshal(row.Value, &previous); err != nil {
			t.g.Log.Logger().WithError(err).Error("failed to decode the lease's row")
			return
		}
	}
	next := lease.Row{Holder: t.g.self.Name, Epoch: previous.Epoch + 1}
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	write := provider.Write{Partition: leaderPartition, Sort: leaseRow, Value: value, IfVersion: row.Version}
	if err := t.g.Table.Transact(ctx, "", []provider.Write{write}); err != nil {
		// A write whose response was lost may have taken effect: the next attempt reads
		// the row and uses the epoch after it.
		t.g.event(event.ScalingFailed, "", event.A("what", "lease"), event.A("error", err.Error()))
		return
	}
	t.g.withCore(func(c *exchange.Core, _ time.Time) { c.LeaseAcquired(next.Epoch) })
	t.reported = 0
	t.scaling = newScalingState()
	t.adoptPlan(ctx)
	t.restoreCounts(ctx)
	t.g.event(event.LeaseAcquired, "", event.A("epoch", next.Epoch), event.A("before", previous.Holder))
}

// adoptPlan loads the capacity plan of the previous lease holder from its newest usage
// report.
func (t *leaderTasks) adoptPlan(ctx context.Context) {
	afterSortKey := ""
	t.g.withCore(func(c *exchange.Core, now time.Time) {
		if current, known := c.UsageWindow(now); known {
			afterSortKey = usageSortKey(current - backfillWindows - 2)
		}
	})
	if afterSortKey == "" {
		return
	}
	rows, err := t.g.Table.Query(ctx, leaderPartition, afterSortKey, maxQueryRows, true)
	if err != nil || len(rows) == 0 {
		return // the plan follows the current demand soon
	}
	var report usageRow
	if err := json.Unmarshal(rows[len(rows)-1].Value, &report); err != nil {
		t.g.Log.Logger().WithError(err).Error("failed to decode the row of a usage report")
		return
	}
	t.g.withCore(func(c *exchange.Core, _ time.Time) { c.AdoptLevels(report.Levels) })
}

func usageSortKey(window int64) string { return fmt.Sprintf("usage-%d", window) }

// stepDown stops the leader tasks, since the lease is lost. The row is not changed.
func (t *leaderTasks) stepDown(why string) {
	t.g.withCore(func(c *exchange.Core, now time.Time) { c.LeaseLost(now) })
	t.g.event(event.LeaseLost, "", event.A("why", why))
}

// usageRow is the stored content of one window's usage report. It is written before
// the report is sent, so that every later lease holder sends the same counts.
type usageRow struct {
	Counts map[entity.OrganisationID]uint32 `json:"counts"`
	Levels []exchange.ServiceLevel          `json:"levels,omitempty"` // of the plan at that time, for the next lease holder
}

// reportUsage sends the usage report of the next window that is due.
func (t *leaderTasks) reportUsage(runCtx context.Context) {
	window, ok := t.dueUsageWindow()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(runCtx, leaderCallTimeout)
	defer cancel()
	counts, err := t.loadOrStoreUsage(ctx, window)
	if err == nil {
		fence, held := t.fence()
		if !held {
			return
		}
		err = t.g.LeaderTasks.ReportUsage(ctx, fence, window, counts)
	}
	switch {
	case err == nil:
		t.reported = window
		t.g.event(event.UsageReported, "", event.A("window", window), event.A("counts", fmt.Sprint(counts)))
	case errors.Is(err, provider.ErrFenced), errors.Is(err, provider.ErrConditionFailed):
		t.stepDown("usage: " + err.Error())
	default:
		t.g.event(event.UsageReportFailed, "", event.A("window", window), event.A("error", err.Error()))
	}
}

// dueUsageWindow returns the number of the oldest usage window that has not been reported,
// and whether its counts are complete.
func (t *leaderTasks) dueUsageWindow() (window int64, due bool) {
	t.g.withCore(func(c *exchange.Core, now time.Time) {
		current, known := c.UsageWindow(now)
		if !known {
			return
		}
		if t.reported == 0 {
			t.reported = current - backfillWindows - 1
		}
		window = t.reported + 1
		due = c.UsageComplete(now, window)
	})
	return window, due
}

// loadOrStoreUsage returns the counts of a window's usage report from its row. If there
// is no row, it writes one from the current counts, provided that the lease is still
// held.
func (t *leaderTasks) loadOrStoreUsage(ctx context.Context, window int64) (map[entity.OrganisationID]uint32, error) {
	sortKey := usageSortKey(window)
	row, err := t.g.Table.Get(ctx, leaderPartition, sortKey, true)
	if err == nil {
		var report usageRow
		err = json.Unmarshal(row.Value, &report)
		return report.Counts, err
	}
	if !errors.Is(err, provider.ErrNotFound) {
		return nil, err
	}
	var report usageRow
	t.g.withCore(func(c *exchange.Core, _ time.Time) { report.Counts, report.Levels = c.UsageCounts(window), c.Levels() })
	value, err := json.Marshal(report)
	if err != nil {
		return nil, err
	}
	version, err := t.leaseVersion(ctx)
	if err != nil {
		return nil, err
	}
	return report.Counts, t.g.Table.Transact(ctx, "", []provider.Write{
		{Partition: leaderPartition, Sort: leaseRow, IfVersion: version, CheckOnly: true},
		{Partition: leaderPartition, Sort: sortKey, Value: value},
	})
}

// leaseVersion returns the version of the lease's row. It fails with
// provider.ErrConditionFailed if the row does not name this daemon and its epoch.
func (t *leaderTasks) leaseVersion(ctx context.Context) (uint64, error) {
	row, err := t.g.Table.Get(ctx, leaderPartition, leaseRow, true)
	if err != nil {
		return 0, err
	}
	var r lease.Row
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return 0, err
	}
	fence, held := t.fence()
	if !held || r.Epoch != fence.Epoch || r.Holder != fence.Holder {
		return 0, provider.ErrConditionFailed
	}
	return row.Version, nil
}

// planInputs returns the inputs of the capacity plan for a service, for the log.
func (t *leaderTasks) planInputs(service entity.ServiceName) string {
	var out string
	t.g.withCore(func(c *exchange.Core, now time.Time) { out = c.DescribeWork(now, service) })
	return out
}

// stillHoldsLease reads the lease's row and reports whether it names this daemon and
// its epoch.
func (t *leaderTasks) stillHoldsLease(runCtx context.Context) bool {
	ctx, cancel := context.WithTimeout(runCtx, leaderCallTimeout)
	defer cancel()
	_, err := t.leaseVersion(ctx)
	return err == nil
}

// sendScalingRequests sends the scaling requests that are due.
func (t *leaderTasks) sendScalingRequests(runCtx context.Context) {
	var due []provider.ScalingRequest
	t.g.withCore(func(c *exchange.Core, now time.Time) {
		due = t.scaling.due(now, c.TargetServers(now), c.ListedServers())
	})
	for _, request := range due {
		fence, held := t.fence()
		if !held {
			return
		}
		ctx, cancel := context.WithTimeout(runCtx, leaderCallTimeout)
		err := t.g.LeaderTasks.ScaleServers(ctx, fence, request)
		cancel()
		if errors.Is(err, provider.ErrFenced) && t.stillHoldsLease(runCtx) {
			err = fmt.Errorf("scaling request refused although the lease is still held: %w: %w", provider.ErrRefused, errors.New(err.Error()))
		}
		t.scaling.record(clock.Now(), request, err)
		if request.Market == provider.Reclaimable {
			t.g.withCore(func(c *exchange.Core, now time.Time) {
				c.ReclaimableRefused(now, request.Service, request.DataCentre, errors.Is(err, provider.ErrRefused))
			})
		}
		if err == nil {
			t.g.event(event.ScalingRequested, "", event.A("order", fmt.Sprint(request)), event.A("work", t.planInputs(request.Service)))
			continue
		}
		t.g.event(event.ScalingFailed, "", event.A("order", fmt.Sprint(request)), event.A("error", err.Error()))
		if errors.Is(err, provider.ErrFenced) {
			t.stepDown("order: " + err.Error())
			return
		}
	}
}
