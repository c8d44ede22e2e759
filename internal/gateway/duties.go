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
	// dutyInterval is the time between two looks at what is due.
	dutyInterval = 150 * time.Millisecond
	// dutyTimeout bounds one call.
	dutyTimeout = 2 * time.Second
	// caughtUp is how many windows before the present one a new holder reports.
	caughtUp = 2

	dutyPartition = "duties"
	leaseRow      = "lease"
)

// duties is the state of the daemon that may hold the lease.
type duties struct {
	g        *Gateway
	reported int64 // the last window that is done; 0: nothing known
	orders   *orderBook
	saved    checkpoint
}

// runDuties takes the lease when it is free and performs the duties while this
// daemon holds it.
func (g *Gateway) runDuties(life context.Context) {
	d := &duties{g: g, orders: newOrderBook()}
	for clock.Wait(life, dutyInterval) {
		contend := false
		g.locked(func(c *exchange.Core, now time.Time) { contend = c.Contend(now) })
		if contend {
			d.takeLease(life)
		}
		if _, held := d.fence(); held {
			d.save(life)
			d.reportUsage(life)
			d.order(life)
		}
	}
}

// fence returns the proof that this daemon holds the lease.
func (d *duties) fence() (provider.Fence, bool) {
	var epoch uint64
	var held bool
	d.g.locked(func(c *exchange.Core, _ time.Time) { epoch, held = c.LeaseEpoch() })
	return provider.Fence{Holder: d.g.Settings.Name, Epoch: epoch}, held && !d.g.leaving()
}

// takeLease writes this daemon into the lease's row, with the next epoch.
func (d *duties) takeLease(life context.Context) {
	ctx, cancel := context.WithTimeout(life, dutyTimeout)
	defer cancel()
	row, err := d.g.Table.Get(ctx, dutyPartition, leaseRow, true)
	if err != nil && !errors.Is(err, provider.ErrNotFound) {
		return
	}
	var old lease.Row
	if err == nil {
		if err := json.Unmarshal(row.Value, &old); err != nil {
			d.g.Log.Logger().WithError(err).Error("the lease's row cannot be read")
			return
		}
	}
	next := lease.Row{Holder: d.g.self.Name, Epoch: old.Epoch + 1}
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	write := provider.Write{Partition: dutyPartition, Sort: leaseRow, Value: value, IfVersion: row.Version}
	if err := d.g.Table.Transact(ctx, "", []provider.Write{write}); err != nil {
		// A write without an answer may stand: the next try reads the row and takes
		// yet another epoch.
		d.g.event(event.OrderFailed, "", event.A("what", "lease"), event.A("error", err.Error()))
		return
	}
	d.g.locked(func(c *exchange.Core, _ time.Time) { c.LeaseTaken(next.Epoch) })
	d.reported = 0
	d.orders = newOrderBook()
	d.adopt(ctx)
	d.restore(ctx)
	d.g.event(event.LeaseTaken, "", event.A("epoch", next.Epoch), event.A("before", old.Holder))
}

// adopt takes the plan of the former holder from its newest report.
func (d *duties) adopt(ctx context.Context) {
	after := ""
	d.g.locked(func(c *exchange.Core, now time.Time) {
		if current, known := c.UsageWindow(now); known {
			after = usageSort(current - caughtUp - 2)
		}
	})
	if after == "" {
		return
	}
	rows, err := d.g.Table.Query(ctx, dutyPartition, after, maxMembers, true)
	if err != nil || len(rows) == 0 {
		return // the present demand tells soon
	}
	var u usageRow
	if err := json.Unmarshal(rows[len(rows)-1].Value, &u); err != nil {
		d.g.Log.Logger().WithError(err).Error("a usage row cannot be read")
		return
	}
	d.g.locked(func(c *exchange.Core, _ time.Time) { c.AdoptLevels(u.Levels) })
}

func usageSort(window int64) string { return fmt.Sprintf("usage-%d", window) }

// lost gives the lease up.
func (d *duties) lost(why string) {
	d.g.locked(func(c *exchange.Core, now time.Time) { c.LeaseLost(now) })
	d.g.event(event.LeaseLost, "", event.A("why", why))
}

// usageRow is the content of a window's report, written before it is sent, so
// that every holder sends the same.
type usageRow struct {
	Counts map[entity.OrganisationID]uint32 `json:"counts"`
	Levels []exchange.ServiceLevel          `json:"levels,omitempty"` // planned then, for the next holder
}

// reportUsage reports the next window that is due.
func (d *duties) reportUsage(life context.Context) {
	window, ok := d.dueWindow()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(life, dutyTimeout)
	defer cancel()
	counts, err := d.settle(ctx, window)
	if err == nil {
		fence, held := d.fence()
		if !held {
			return
		}
		err = d.g.Duties.ReportUsage(ctx, fence, window, counts)
	}
	switch {
	case err == nil:
		d.reported = window
		d.g.event(event.UsageReported, "", event.A("window", window), event.A("counts", fmt.Sprint(counts)))
	case errors.Is(err, provider.ErrFenced), errors.Is(err, provider.ErrConditionFailed):
		d.lost("usage: " + err.Error())
	default:
		d.g.event(event.UsageFailed, "", event.A("window", window), event.A("error", err.Error()))
	}
}

// dueWindow returns the oldest window that is complete and not reported.
func (d *duties) dueWindow() (window int64, due bool) {
	d.g.locked(func(c *exchange.Core, now time.Time) {
		current, known := c.UsageWindow(now)
		if !known {
			return
		}
		if d.reported == 0 {
			d.reported = current - caughtUp - 1
		}
		window = d.reported + 1
		due = c.UsageComplete(now, window)
	})
	return window, due
}

// settle returns the content of a window's report. It is written once, under
// the lease.
func (d *duties) settle(ctx context.Context, window int64) (map[entity.OrganisationID]uint32, error) {
	sort := usageSort(window)
	row, err := d.g.Table.Get(ctx, dutyPartition, sort, true)
	if err == nil {
		var u usageRow
		err = json.Unmarshal(row.Value, &u)
		return u.Counts, err
	}
	if !errors.Is(err, provider.ErrNotFound) {
		return nil, err
	}
	var u usageRow
	d.g.locked(func(c *exchange.Core, _ time.Time) { u.Counts, u.Levels = c.UsageCounts(window), c.Levels() })
	value, err := json.Marshal(u)
	if err != nil {
		return nil, err
	}
	version, err := d.leaseVersion(ctx)
	if err != nil {
		return nil, err
	}
	return u.Counts, d.g.Table.Transact(ctx, "", []provider.Write{
		{Partition: dutyPartition, Sort: leaseRow, IfVersion: version, CheckOnly: true},
		{Partition: dutyPartition, Sort: sort, Value: value},
	})
}

// leaseVersion returns the version of the lease's row while it names this
// daemon's epoch.
func (d *duties) leaseVersion(ctx context.Context) (uint64, error) {
	row, err := d.g.Table.Get(ctx, dutyPartition, leaseRow, true)
	if err != nil {
		return 0, err
	}
	var r lease.Row
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return 0, err
	}
	fence, held := d.fence()
	if !held || r.Epoch != fence.Epoch || r.Holder != fence.Holder {
		return 0, provider.ErrConditionFailed
	}
	return row.Version, nil
}

// work returns the inputs of the plan for a service.
func (d *duties) work(service entity.ServiceName) string {
	var out string
	d.g.locked(func(c *exchange.Core, now time.Time) { out = c.WorkOf(now, service) })
	return out
}

// stillHolds reads the lease's row and reports whether it names this daemon's
// epoch.
func (d *duties) stillHolds(life context.Context) bool {
	ctx, cancel := context.WithTimeout(life, dutyTimeout)
	defer cancel()
	_, err := d.leaseVersion(ctx)
	return err == nil
}

// order sends the orders of backend servers that are due.
func (d *duties) order(life context.Context) {
	var due []provider.ServerOrder
	d.g.locked(func(c *exchange.Core, now time.Time) {
		due = d.orders.due(now, c.Wanted(now), c.Listed())
	})
	for _, o := range due {
		fence, held := d.fence()
		if !held {
			return
		}
		ctx, cancel := context.WithTimeout(life, dutyTimeout)
		err := d.g.Duties.OrderServers(ctx, fence, o)
		cancel()
		if errors.Is(err, provider.ErrFenced) && d.stillHolds(life) {
			err = fmt.Errorf("%w, though the lease is held: %w", provider.ErrRefused, errors.New(err.Error()))
		}
		d.orders.done(clock.Now(), o, err)
		if o.Market == provider.Reclaimable {
			d.g.locked(func(c *exchange.Core, now time.Time) {
				c.ReclaimableRefused(now, o.Service, o.DataCentre, errors.Is(err, provider.ErrRefused))
			})
		}
		if err == nil {
			d.g.event(event.ServersWanted, "", event.A("order", fmt.Sprint(o)), event.A("work", d.work(o.Service)))
			continue
		}
		d.g.event(event.OrderFailed, "", event.A("order", fmt.Sprint(o)), event.A("error", err.Error()))
		if errors.Is(err, provider.ErrFenced) {
			d.lost("order: " + err.Error())
			return
		}
	}
}
