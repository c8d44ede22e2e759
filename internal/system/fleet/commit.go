package fleet

import (
	"errors"
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	firstRetry    = 200 * time.Millisecond
	longestRetry  = 2 * time.Second
	tableDownTime = 5 * time.Second // of failures before reserved orders are placed
)

// change is a transaction under way. It is sent again, unchanged and with the
// same token, until its outcome is known.
type change struct {
	operation string
	row       leaseRow
	items     []changeItem
	done      func(now time.Time)

	inFlight bool
	verify   bool // the condition failed: read whether an earlier send took effect
	since    time.Time
	tries    int
	retryAt  time.Time
}

// changeItem is one intent as the transaction leaves it.
type changeItem struct {
	intent  *intent
	row     intentRow
	removed bool
}

// commit sends what is to be recorded, or renews the lease when that is due.
func (p *planner) commit(now time.Time) {
	if p.change != nil {
		p.sendChange(now)
		return
	}
	if p.role != roleHolder {
		return
	}
	if !p.dirty && now.Before(p.renewAt) {
		return
	}
	items := p.unrecorded()
	p.dirty = len(items) > 0
	if !p.dirty && now.Before(p.renewAt) {
		return
	}
	row := p.lease
	row.Rates = p.rates.rows()
	row.ReserveFrom = p.reserveUsed
	row.ReserveCount = uint64(p.reserveSize())
	p.startChange(now, row, items, func(time.Time) {})
}

// commitDue returns when commit has something to do.
func (p *planner) commitDue() time.Time {
	switch {
	case p.change != nil && p.change.inFlight:
		return time.Time{}
	case p.change != nil:
		return p.change.retryAt
	case p.role != roleHolder:
		return time.Time{}
	case p.dirty:
		return p.plannedAt
	default:
		return p.renewAt
	}
}

// unrecorded returns the intents that differ from what has been recorded.
func (p *planner) unrecorded() []changeItem {
	var out []changeItem
	for _, i := range p.intentsByToken() {
		if len(out) == maxRowWrites {
			break
		}
		if i.removed || !i.recorded || i.want != i.committed {
			out = append(out, changeItem{intent: i, row: i.want, removed: i.removed})
		}
	}
	return out
}

func (p *planner) startChange(now time.Time, row leaseRow, items []changeItem, done func(time.Time)) {
	p.change = &change{operation: p.operation(), row: row, items: items, done: done, since: now, retryAt: now}
	p.sendChange(now)
}

// operation returns an id that no other write of any daemon has.
func (p *planner) operation() string {
	return fmt.Sprintf("%016x%016x", p.sys.cfg.Rand.Uint64(), p.sys.cfg.Rand.Uint64())
}

func (p *planner) sendChange(now time.Time) {
	c := p.change
	if c.inFlight || now.Before(c.retryAt) {
		return
	}
	c.inFlight = true
	op, done := p.transaction(c.operation, c.row, c.items), p.changed
	if c.verify {
		op, done = p.readLease(), p.verified
	}
	p.sys.call(op, func(now time.Time, r provider.Result) {
		if p.change == c {
			c.inFlight = false
			done(now, c, r)
		}
	})
}

// transaction raises the lease row's version, on the condition that it is
// still this holder's, and writes the items.
func (p *planner) transaction(operation string, row leaseRow, items []changeItem) provider.Operation {
	row.Operation = operation
	partition := partitionOf(p.svc.Name)
	writes := []provider.Write{{Partition: partition, Sort: leaseSort, Value: encode(row), IfVersion: p.fence}}
	for _, it := range items {
		w := provider.Write{Partition: partition, Sort: intentSort(it.row.Token), Unconditional: true, Delete: it.removed}
		if !it.removed {
			w.Value = encode(it.row)
		}
		writes = append(writes, w)
	}
	return provider.Operation{Kind: provider.TransactRows, Token: operation, Writes: writes}
}

// changed takes the outcome of a transaction.
func (p *planner) changed(now time.Time, c *change, r provider.Result) {
	switch {
	case r.Err == nil:
		p.recorded(now, c)
	case errors.Is(r.Err, provider.ErrConditionFailed):
		c.verify = true
		c.retryAt = now
		p.sendChange(now)
	default:
		p.retryChange(now, c)
	}
}

// verified takes the lease row after a failed condition. The condition also
// fails when an earlier send of the same transaction has taken effect.
func (p *planner) verified(now time.Time, c *change, r provider.Result) {
	var row leaseRow
	switch {
	case errors.Is(r.Err, provider.ErrNotFound):
		p.lost(now)
	case r.Err != nil:
		p.retryChange(now, c)
	case codec.Decode(r.Row.Value, &row) == nil && row.Operation == c.operation:
		p.recorded(now, c)
	default:
		p.lost(now)
	}
}

func (p *planner) retryChange(now time.Time, c *change) {
	c.tries++
	c.retryAt = now.Add(p.jitter(backoff(c.tries)))
	if !p.tableDown && p.role == roleHolder && now.Sub(c.since) >= tableDownTime {
		p.tableDown = true
		p.emit(now, event.FleetTableDown, "", "")
		p.planSoon(now)
	}
}

// recorded takes a transaction as effective.
func (p *planner) recorded(now time.Time, c *change) {
	p.change = nil
	p.fence++
	c.row.Operation = c.operation
	p.lease = c.row
	p.renewAt = now.Add(p.jitter(p.pollEvery()))
	p.touch()
	for _, it := range c.items {
		p.itemRecorded(it)
	}
	if p.tableDown {
		p.tableDown = false
		p.emit(now, event.FleetTableUp, "", "")
		p.planSoon(now)
	}
	c.done(now)
}

func (p *planner) itemRecorded(it changeItem) {
	if it.removed {
		p.intents.Delete(it.row.Token)
		return
	}
	it.intent.committed = it.row
	it.intent.recorded = true
}

// reserveSize is how many orders may be placed while the table is down: one
// data centre's share of the fleet.
func (p *planner) reserveSize() int {
	dataCentres := max(len(p.svc.Fleet.DataCentres), 1)
	return (p.svc.Fleet.MaxServers + dataCentres - 1) / dataCentres
}

func backoff(tries int) time.Duration {
	d := firstRetry
	for range tries - 1 {
		if d >= longestRetry {
			break
		}
		d *= 2
	}
	return min(d, longestRetry)
}
