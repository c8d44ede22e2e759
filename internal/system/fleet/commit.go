package fleet

import (
	"errors"
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/backoff"
)

const (
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	tableDownDelay    = 5 * time.Second // time of failed writes after which reserved launches are used
)

// pendingTransaction is a transaction whose outcome is not known yet. It is
// sent again, unchanged and with the same token, until its outcome is known.
type pendingTransaction struct {
	operationID string
	row         leaseRow
	items       []intentWrite
	done        func(now time.Time)

	inFlight  bool
	verifying bool // the condition failed: a read decides whether an earlier send took effect
	startedAt time.Time
	tries     int
	retryAt   time.Time
}

// intentWrite is the write or removal of one intent's row in a transaction.
type intentWrite struct {
	intent  *intent
	row     intentRow
	removed bool // the row is deleted
}

// commit records changed intents, or renews the lease when that is due.
func (p *planner) commit(now time.Time) {
	if p.transaction != nil {
		p.sendTransaction(now)
		return
	}
	if p.role != roleHolder {
		return
	}
	if !p.dirty && now.Before(p.renewAt) {
		return
	}
	items := p.unrecordedIntents()
	p.dirty = len(items) > 0
	if !p.dirty && now.Before(p.renewAt) {
		return
	}
	row := p.lease
	row.Rates = p.rates.rows()
	row.ReserveFrom = p.nextReserve
	row.ReserveCount = uint64(p.reserveSize())
	p.startTransaction(now, row, items, func(time.Time) {})
}

// commitDue returns when commit must be called next.
func (p *planner) commitDue() time.Time {
	switch {
	case p.transaction != nil && p.transaction.inFlight:
		return time.Time{}
	case p.transaction != nil:
		return p.transaction.retryAt
	case p.role != roleHolder:
		return time.Time{}
	case p.dirty:
		return p.plannedAt
	default:
		return p.renewAt
	}
}

// unrecordedIntents returns writes for the intents that differ from what has
// been recorded, as many as fit into one transaction.
func (p *planner) unrecordedIntents() []intentWrite {
	var out []intentWrite
	for _, i := range p.intentsByToken() {
		if len(out) == maxIntentWrites {
			break
		}
		if i.removed || !i.recorded || i.desired != i.committed {
			out = append(out, intentWrite{intent: i, row: i.desired, removed: i.removed})
		}
	}
	return out
}

func (p *planner) startTransaction(now time.Time, row leaseRow, items []intentWrite, done func(time.Time)) {
	p.transaction = &pendingTransaction{operationID: p.newOperationID(), row: row, items: items, done: done, startedAt: now, retryAt: now}
	p.sendTransaction(now)
}

// newOperationID returns an ID that no other write of any daemon has.
func (p *planner) newOperationID() string {
	return fmt.Sprintf("%016x%016x", p.sys.cfg.Rand.Uint64(), p.sys.cfg.Rand.Uint64())
}

func (p *planner) sendTransaction(now time.Time) {
	t := p.transaction
	if t.inFlight || now.Before(t.retryAt) {
		return
	}
	t.inFlight = true
	op, done := p.transactionOperation(t.operationID, t.row, t.items), p.handleTransactionResult
	if t.verifying {
		op, done = p.readLease(), p.handleVerification
	}
	p.sys.issue(op, func(now time.Time, r provider.Result) {
		if p.transaction == t {
			t.inFlight = false
			done(now, t, r)
		}
	})
}

// transactionOperation returns a table operation that writes the items and
// raises the lease row's version, on the condition that the version is still
// the one this daemon knows.
func (p *planner) transactionOperation(operationID string, row leaseRow, items []intentWrite) provider.Operation {
	row.OperationID = operationID
	partition := partitionKey(p.svc.Name)
	writes := []provider.Write{{Partition: partition, Sort: leaseSortKey, Value: encode(row), IfVersion: p.fence}}
	for _, it := range items {
		w := provider.Write{Partition: partition, Sort: intentSortKey(it.row.Token), Unconditional: true, Delete: it.removed}
		if !it.removed {
			w.Value = encode(it.row)
		}
		writes = append(writes, w)
	}
	return provider.Operation{Kind: provider.TransactRows, Token: operationID, Writes: writes}
}

// handleTransactionResult handles the outcome of a transaction.
func (p *planner) handleTransactionResult(now time.Time, t *pendingTransaction, r provider.Result) {
	switch {
	case r.Err == nil:
		p.applyTransaction(now, t)
	case errors.Is(r.Err, provider.ErrConditionFailed):
		t.verifying = true
		t.retryAt = now
		p.sendTransaction(now)
	default:
		p.scheduleTransactionRetry(now, t)
	}
}

// handleVerification handles the lease row that was read after a failed
// condition. The condition also fails when an earlier send of the same
// transaction has taken effect; the row then carries the transaction's ID.
func (p *planner) handleVerification(now time.Time, t *pendingTransaction, r provider.Result) {
	var row leaseRow
	switch {
	case errors.Is(r.Err, provider.ErrNotFound):
		p.loseLease(now)
	case r.Err != nil:
		p.scheduleTransactionRetry(now, t)
	case codec.Decode(r.Row.Value, &row) == nil && row.OperationID == t.operationID:
		p.applyTransaction(now, t)
	default:
		p.loseLease(now)
	}
}

func (p *planner) scheduleTransactionRetry(now time.Time, t *pendingTransaction) {
	t.tries++
	t.retryAt = now.Add(p.jitter(backoff.Delay(initialRetryDelay, maxRetryDelay, t.tries)))
	if !p.tableDown && p.role == roleHolder && now.Sub(t.startedAt) >= tableDownDelay {
		p.tableDown = true
		p.emit(now, event.FleetTableDown, "", "")
		p.schedulePlan(now)
	}
}

// applyTransaction applies a transaction that has taken effect.
func (p *planner) applyTransaction(now time.Time, t *pendingTransaction) {
	p.transaction = nil
	p.fence++
	t.row.OperationID = t.operationID
	p.lease = t.row
	p.renewAt = now.Add(p.jitter(p.pollInterval()))
	p.markChanged()
	for _, it := range t.items {
		p.markRecorded(it)
	}
	if p.tableDown {
		p.tableDown = false
		p.emit(now, event.FleetTableUp, "", "")
		p.schedulePlan(now)
	}
	t.done(now)
}

func (p *planner) markRecorded(it intentWrite) {
	if it.removed {
		p.intents.Delete(it.row.Token)
		return
	}
	it.intent.committed = it.row
	it.intent.recorded = true
}

// reserveSize is how many servers may be launched while the table is down: an
// even share of the service's MaxServers for one data centre.
func (p *planner) reserveSize() int {
	dataCentres := max(len(p.svc.Fleet.DataCentres), 1)
	return (p.svc.Fleet.MaxServers + dataCentres - 1) / dataCentres
}
