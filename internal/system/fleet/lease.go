package fleet

import (
	"errors"
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// poll reads the lease row when that is due, while this daemon does not hold
// the lease.
func (p *planner) poll(now time.Time) {
	if p.polling || now.Before(p.pollAt) {
		return
	}
	if !p.isStandby() {
		p.pollAt = now.Add(p.jitter(2 * idlePollInterval))
		return
	}
	p.polling = true
	p.sys.issue(p.readLease(), func(now time.Time, r provider.Result) {
		p.polling = false
		if p.role == roleWatching {
			p.handlePollResult(now, r)
		}
	})
}

func (p *planner) readLease() provider.Operation {
	return provider.Operation{Kind: provider.GetRow, Partition: partitionKey(p.svc.Name), Sort: leaseSortKey, Consistent: true}
}

// handlePollResult takes the lease over when it was released, or when its row
// has not changed for a whole lease duration by this daemon's own clock. The
// clock decides only when to try: the takeover is a write on the condition that
// the row has not changed.
func (p *planner) handlePollResult(now time.Time, r provider.Result) {
	p.pollAt = now.Add(p.jitter(p.pollInterval()))
	if errors.Is(r.Err, provider.ErrNotFound) {
		p.takeOver(now, 0, leaseRow{})
		return
	}
	var row leaseRow
	if r.Err != nil || codec.Decode(r.Row.Value, &row) != nil {
		return
	}
	if r.Row.Version != p.seenVersion {
		p.seenVersion, p.seenSince = r.Row.Version, now
	}
	if row.Holder == "" || now.Sub(p.seenSince) >= p.sys.cfg.LeaseDuration {
		p.takeOver(now, r.Row.Version, row)
	}
}

// takeOver writes the lease row with this daemon as the holder.
func (p *planner) takeOver(now time.Time, version uint64, old leaseRow) {
	if !p.isStandby() {
		return
	}
	p.role = roleLoading
	p.fence = version
	p.lease = leaseRow{Holder: p.sys.cfg.Self, Term: version + 1, Rates: old.Rates}
	p.nextLaunch, p.nextReserve = 0, 0
	p.rates = newRateTable(now, old.Rates)
	p.startTransaction(now, p.lease, nil, func(now time.Time) {
		p.loadAfter, p.loadAt = "", now
		p.loadIntents(now)
	})
}

// loadIntents reads the next page of the intents that previous holders
// recorded. They can add no more of them: their transactions check an older
// version of the lease row.
func (p *planner) loadIntents(now time.Time) {
	if p.loadAt.IsZero() || now.Before(p.loadAt) {
		return
	}
	p.loadAt = time.Time{}
	after := p.loadAfter
	op := provider.Operation{
		Kind: provider.QueryRows, Partition: partitionKey(p.svc.Name), After: after, Limit: rowsPerPage, Consistent: true,
	}
	p.sys.issue(op, func(now time.Time, r provider.Result) {
		if p.role == roleLoading {
			p.handleIntentPage(now, r)
		}
	})
}

func (p *planner) handleIntentPage(now time.Time, r provider.Result) {
	if r.Err != nil {
		p.loadAt = now.Add(p.jitter(maxRetryDelay))
		return
	}
	for _, row := range r.Rows {
		p.loadAfter = row.Sort
		var v intentRow
		if row.Sort == leaseSortKey || codec.Decode(row.Value, &v) != nil {
			continue
		}
		p.intents.Put(v.Token, &intent{desired: v, committed: v, recorded: true, stateSince: now})
	}
	if len(r.Rows) == rowsPerPage {
		p.loadAt = now
		p.loadIntents(now)
		return
	}
	p.startHolding(now)
}

func (p *planner) startHolding(now time.Time) {
	p.role = roleHolder
	p.leaseTakenAt = now
	p.tableDown = false
	p.renewAt = now
	p.markChanged()
	p.emit(now, event.FleetLeaseAcquired, "", fmt.Sprintf("fencing number %d, %d servers recorded", p.fence, p.intents.Len()))
	for _, i := range p.intentsByToken() {
		if i.desired.State == intentDraining {
			p.announceDrain(i)
		}
	}
	p.schedulePlan(now)
}

// loseLease makes this daemon a watcher after another one has taken the lease.
// Cloud operations in flight are left to the next holder, which reads their
// intents.
func (p *planner) loseLease(now time.Time) {
	if p.role == roleHolder {
		p.emit(now, event.FleetLeaseLost, "", "")
	}
	p.startWatching(now)
}

// release gives the lease up, so that another daemon can take it without
// waiting for the lease duration to pass.
func (p *planner) release(now time.Time) {
	if p.role != roleHolder || p.transaction != nil {
		p.startWatching(now)
		return
	}
	row := p.lease
	row.Holder = ""
	row.ReserveCount = 0
	row.Rates = p.rates.rows()
	p.emit(now, event.FleetLeaseReleased, "", "")
	p.sys.issue(p.transactionOperation(p.newOperationID(), row, nil), func(time.Time, provider.Result) {})
	p.startWatching(now)
}
