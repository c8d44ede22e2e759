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
)

const (
	// leaderTaskInterval is the time between two checks for leader tasks that are due.
	leaderTaskInterval = 150 * time.Millisecond
	// leaderCallTimeout bounds one call to the table service or the platform.
	leaderCallTimeout = 2 * time.Second
	// backfillDuration is how far back the usage windows reach that a new lease holder
	// reports: longer than a change of the holder takes.
	backfillDuration = 6 * time.Second
	// minBackfillWindows is the least number of these windows.
	minBackfillWindows = 2

	leaderPartition = "duties"
	leaseRow        = "lease"
)

// leaderTasks is the state of the tasks that only the leader performs: usage reports,
// scaling requests and checkpoints. The leader is the daemon that holds the lease.
type leaderTasks struct {
	g          *Gateway
	reported   int64         // number of the last usage window that was reported; 0: unknown
	restoredBy time.Duration // true time by which the table service was restored last; see Core.MayCompose
	scaling    *scalingState
	checkpoint savedCheckpoint
}

// runLeaderTasks acquires the lease when it is free and performs the leader tasks
// while this daemon holds it.
func (g *Gateway) runLeaderTasks(runCtx context.Context) {
	t := &leaderTasks{g: g, scaling: newScalingState()}
	for clock.Wait(runCtx, leaderTaskInterval) {
		t.keepLease(runCtx)
		if _, held := t.fence(); held && !t.settling() {
			t.saveCheckpoint(runCtx)
			if g.Settings.LeaderTasks {
				t.reportUsage(runCtx)
				t.sendScalingRequests(runCtx)
			}
		}
	}
}

// adoptPlan loads the capacity plan of the previous lease holder from its newest usage
// report.
func (t *leaderTasks) adoptPlan(ctx context.Context) {
	afterSortKey := ""
	t.g.withCore(func(c *exchange.Core, now time.Time) {
		if current, known := c.UsageWindow(now); known {
			afterSortKey = usageSortKey(current - t.backfillWindows() - 2)
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

// planInputs returns the inputs of the capacity plan for a service, for the log.
func (t *leaderTasks) planInputs(service entity.ServiceName) string {
	var out string
	t.g.withCore(func(c *exchange.Core, now time.Time) { out = c.DescribeWork(now, service) })
	return out
}

// sendScalingRequests sends the scaling requests that are due.
func (t *leaderTasks) sendScalingRequests(runCtx context.Context) {
	var due []provider.ScalingRequest
	t.g.withCore(func(c *exchange.Core, now time.Time) {
		due = t.scaling.due(now, c.TargetServers(now), c.ListedServers())
	})
	for _, request := range due {
		fence, ok := t.fenceForCall(runCtx)
		if !ok || !t.sendScalingRequest(runCtx, fence, request) {
			return
		}
	}
}

// sendScalingRequest sends one scaling request and records its outcome. It reports
// whether the lease is still held as far as this daemon knows.
func (t *leaderTasks) sendScalingRequest(runCtx context.Context, fence provider.Fence, request provider.ScalingRequest) (held bool) {
	ctx, cancel := context.WithTimeout(runCtx, leaderCallTimeout)
	err := t.g.LeaderTasks.ScaleServers(ctx, fence, request)
	cancel()
	if errors.Is(err, provider.ErrFenced) && t.confirmLease(runCtx) {
		err = fmt.Errorf("scaling request refused although the lease is still held: %w: %w", provider.ErrRefused, errors.New(err.Error()))
	}
	t.scaling.record(clock.Now(), request, err)
	t.g.withCore(func(c *exchange.Core, now time.Time) { recordAnswer(c, now, request, err) })
	if err == nil {
		t.g.event(event.ScalingRequested, "", event.A("order", fmt.Sprint(request)), event.A("work", t.planInputs(request.Service)))
		return true
	}
	t.g.event(event.ScalingFailed, "", event.A("order", fmt.Sprint(request)), event.A("error", err.Error()))
	if errors.Is(err, provider.ErrFenced) {
		t.stepDown("order: " + err.Error())
		return false
	}
	return true
}
