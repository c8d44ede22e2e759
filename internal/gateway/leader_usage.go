package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// usageRow is the stored content of one window's usage report. It is written before
// the report is sent, so that every later lease holder sends the same counts.
type usageRow struct {
	Counts map[entity.OrganisationID]uint32 `json:"counts"`
	Levels []exchange.ServiceLevel          `json:"levels,omitempty"` // of the plan at that time, for the next lease holder
}

func usageSortKey(window int64) string { return fmt.Sprintf("usage-%d", window) }

// restoreTimeRow is the row that says by when a generation of the table service had
// begun.
type restoreTimeRow struct {
	SeenAt time.Duration `json:"seen_ns"` // since 1970
}

// agreeRestoreTime returns a true time by which a generation of the table service had
// begun. The first lease holder of the generation writes the time at which it first saw
// it. Until the true time is known it returns an error.
func (t *leaderTasks) agreeRestoreTime(ctx context.Context, generation uint64) (time.Duration, error) {
	_, seenAt, _ := t.g.generations.current()
	seen, known := t.g.trueTime(seenAt)
	if !known {
		return 0, errors.New("the true time is not known yet")
	}
	sortKey := fmt.Sprintf("generation-%d", generation)
	value, err := t.g.agreeRow(ctx, leaderPartition, sortKey, func() ([]byte, error) {
		return json.Marshal(restoreTimeRow{SeenAt: seen})
	})
	if err != nil {
		return 0, err
	}
	var stored restoreTimeRow
	err = json.Unmarshal(value, &stored)
	return stored.SeenAt, err
}

// reportUsage sends the usage report of the next window that is due.
func (t *leaderTasks) reportUsage(runCtx context.Context) {
	window, ok := t.dueUsageWindow()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(runCtx, leaderCallTimeout)
	defer cancel()
	counts, err := t.agreeUsage(ctx, window)
	if errors.Is(err, errNotComposed) {
		t.reported = window
		t.g.event(event.UsageNotComposed, "", event.A("window", window))
		return
	}
	if err == nil {
		fence, ok := t.fenceForCall(ctx)
		if !ok {
			return
		}
		t.g.withCore(func(c *exchange.Core, _ time.Time) {
			c.RememberReport(exchange.UsageReport{Window: window, Counts: counts})
		})
		err = t.g.LeaderTasks.ReportUsage(ctx, fence, window, counts)
	}
	switch {
	case err == nil:
		t.reported = window
		t.g.event(event.UsageReported, "", event.A("window", window), event.A("counts", fmt.Sprint(counts)))
	case errors.Is(err, provider.ErrFenced):
		t.stepDown("usage: " + err.Error())
	default:
		t.g.event(event.UsageReportFailed, "", event.A("window", window), event.A("error", err.Error()))
	}
}

// backfillWindows returns how many usage windows before the current one a new lease
// holder reports.
func (t *leaderTasks) backfillWindows() int64 {
	return max(int64(math.Ceil(float64(backfillDuration)/float64(t.g.Settings.UsageWindow))), minBackfillWindows)
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
			t.reported = current - t.backfillWindows() - 1
		}
		window = t.reported + 1
		due = c.UsageComplete(now, window)
	})
	return window, due
}

// errNotComposed: a report of the window may have been sent whose counts are lost.
var errNotComposed = errors.New("a report of the window may have been sent before the restore")

// agreeUsage returns the counts of a window's usage report, which are in its row by
// then. If there is no row, it writes one, provided that the lease is still held.
func (t *leaderTasks) agreeUsage(ctx context.Context, window int64) (map[entity.OrganisationID]uint32, error) {
	report, composeErr := t.composeUsage(window)
	if composeErr == nil {
		err := t.writeUsage(ctx, window, &report)
		if err == nil || !errors.Is(err, provider.ErrConditionFailed) {
			return report.Counts, err
		}
	}
	row, err := t.g.Table.Get(ctx, leaderPartition, usageSortKey(window), true)
	switch {
	case errors.Is(err, provider.ErrNotFound) && composeErr != nil:
		return nil, composeErr
	case errors.Is(err, provider.ErrNotFound):
		t.confirmLease(ctx) // the condition that failed is that of the lease
		return nil, err
	case err != nil:
		return nil, err
	}
	var stored usageRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return nil, err
	}
	if remembered, ok := t.rememberedUsage(window); ok && !maps.Equal(remembered, stored.Counts) {
		t.g.Log.Logger().WithField("window", window).Error("the row of a usage report has other counts than the report that was sent")
		return remembered, nil
	}
	return stored.Counts, nil
}

func (t *leaderTasks) rememberedUsage(window int64) (counts map[entity.OrganisationID]uint32, ok bool) {
	t.g.withCore(func(c *exchange.Core, _ time.Time) { counts, ok = c.RememberedReport(window) })
	return counts, ok
}

// composeUsage returns the content of a window's usage report: that of a report that may
// have been sent, or this daemon's counts if there is certainly none.
func (t *leaderTasks) composeUsage(window int64) (report usageRow, err error) {
	t.g.withCore(func(c *exchange.Core, _ time.Time) {
		report.Levels = c.Levels()
		counts, remembered := c.RememberedReport(window)
		switch {
		case remembered:
			report.Counts = counts
		case c.MayCompose(window, t.restoredBy):
			report.Counts = c.UsageCounts(window)
		default:
			err = errNotComposed
		}
	})
	return report, err
}

// writeUsage writes the row of a usage report if there is none and the lease is held.
func (t *leaderTasks) writeUsage(ctx context.Context, window int64, report *usageRow) error {
	value, err := json.Marshal(report)
	if err != nil {
		return err
	}
	fence, held := t.fence()
	if !held {
		return errNotHolder
	}
	startedAt := clock.Now()
	err = t.g.Table.Transact(ctx, "", []provider.Write{
		{Partition: leaderPartition, Sort: leaseRow, IfVersion: fence.Epoch, CheckOnly: true},
		{Partition: leaderPartition, Sort: usageSortKey(window), Value: value},
	})
	if err == nil {
		t.g.withCore(func(c *exchange.Core, _ time.Time) { c.LeaseConfirmed(startedAt) })
	}
	return err
}
