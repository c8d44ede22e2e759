package fleet

import (
	"errors"
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// poll reads the lease row as a watcher.
func (p *planner) poll(now time.Time) {
	if p.polling || now.Before(p.pollAt) {
		return
	}
	if !p.standsBy() {
		p.pollAt = now.Add(p.jitter(2 * idlePollEvery))
		return
	}
	p.polling = true
	p.sys.call(p.readLease(), func(now time.Time, r provider.Result) {
		p.polling = false
		if p.role == roleWatching {
			p.polled(now, r)
		}
	})
}

func (p *planner) readLease() provider.Operation {
	return provider.Operation{Kind: provider.GetRow, Partition: partitionOf(p.svc.Name), Sort: leaseSort, Consistent: true}
}

// polled takes the lease over when its row has not changed for a whole term,
// by this daemon's own clock. The clock decides only when to try: the takeover
// is a write on the condition that the row has not changed.
func (p *planner) polled(now time.Time, r provider.Result) {
	p.pollAt = now.Add(p.jitter(p.pollEvery()))
	if errors.Is(r.Err, provider.ErrNotFound) {
		p.takeOver(now, 0, leaseRow{})
		return
	}
	var row leaseRow
	if r.Err != nil || codec.Decode(r.Row.Value, &row) != nil {
		return
	}
	if r.Row.Version != p.seen {
		p.seen, p.seenAt = r.Row.Version, now
	}
	if row.Holder == "" || now.Sub(p.seenAt) >= p.sys.cfg.LeaseTerm {
		p.takeOver(now, r.Row.Version, row)
	}
}

// takeOver writes the lease row in this daemon's name.
func (p *planner) takeOver(now time.Time, version uint64, old leaseRow) {
	if !p.standsBy() {
		return
	}
	p.role = roleLoading
	p.fence = version
	p.lease = leaseRow{Holder: p.sys.cfg.Self, Term: version + 1, Rates: old.Rates}
	p.orders, p.reserveUsed = 0, 0
	p.rates = newRateBook(now, old.Rates)
	p.startChange(now, p.lease, nil, func(now time.Time) {
		p.reload, p.readAt = "", now
		p.loadIntents(now)
	})
}

// loadIntents reads the intents of earlier holders. None can add to them any
// more: their transactions check a version that is gone.
func (p *planner) loadIntents(now time.Time) {
	if p.readAt.IsZero() || now.Before(p.readAt) {
		return
	}
	p.readAt = time.Time{}
	after := p.reload
	op := provider.Operation{
		Kind: provider.QueryRows, Partition: partitionOf(p.svc.Name), After: after, Limit: pageRows, Consistent: true,
	}
	p.sys.call(op, func(now time.Time, r provider.Result) {
		if p.role == roleLoading {
			p.loaded(now, r)
		}
	})
}

func (p *planner) loaded(now time.Time, r provider.Result) {
	if r.Err != nil {
		p.readAt = now.Add(p.jitter(longestRetry))
		return
	}
	for _, row := range r.Rows {
		p.reload = row.Sort
		var v intentRow
		if row.Sort == leaseSort || codec.Decode(row.Value, &v) != nil {
			continue
		}
		p.intents.Put(v.Token, &intent{want: v, committed: v, recorded: true, since: now})
	}
	if len(r.Rows) == pageRows {
		p.readAt = now
		p.loadIntents(now)
		return
	}
	p.startHolding(now)
}

func (p *planner) startHolding(now time.Time) {
	p.role = roleHolder
	p.takenAt = now
	p.tableDown = false
	p.renewAt = now
	p.touch()
	p.emit(now, event.FleetLeaseTaken, "", fmt.Sprintf("fencing number %d, %d servers recorded", p.fence, p.intents.Len()))
	for _, i := range p.intentsByToken() {
		if i.want.State == intentDraining {
			p.announceDrain(i)
		}
	}
	p.planSoon(now)
}

// lost ends this daemon's part as the holder. Orders under way are left to the
// next holder, which reads their intents.
func (p *planner) lost(now time.Time) {
	if p.role == roleHolder {
		p.emit(now, event.FleetLeaseLost, "", "")
	}
	p.watch(now)
}

// release lets another daemon take the lease at once.
func (p *planner) release(now time.Time) {
	if p.role != roleHolder || p.change != nil {
		p.watch(now)
		return
	}
	row := p.lease
	row.Holder = ""
	row.ReserveCount = 0
	row.Rates = p.rates.rows()
	p.emit(now, event.FleetLeaseReleased, "", "")
	p.sys.call(p.transaction(p.operation(), row, nil), func(time.Time, provider.Result) {})
	p.watch(now)
}
