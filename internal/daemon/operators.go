package daemon

import (
	"context"
	"sync"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
)

// operatorCalls holds the operators' calls that wait for a result of the core.
type operatorCalls struct {
	post func(core.Input)

	mu               sync.Mutex
	pendingChanges   map[string][]chan configuration.ApplyOutcome // by operation ID
	pendingHistories map[entity.ServiceName][]chan configuration.HistoryOutcome
}

// newOperatorCalls returns an empty set.
func newOperatorCalls(post func(core.Input)) *operatorCalls {
	return &operatorCalls{
		post:             post,
		pendingChanges:   make(map[string][]chan configuration.ApplyOutcome),
		pendingHistories: make(map[entity.ServiceName][]chan configuration.HistoryOutcome),
	}
}

// apply starts a change of a service document and waits for its outcome.
func (o *operatorCalls) apply(ctx context.Context, ch configuration.Change) (configuration.ApplyOutcome, error) {
	outcome := make(chan configuration.ApplyOutcome, 1)
	o.mu.Lock()
	o.pendingChanges[ch.Operation] = append(o.pendingChanges[ch.Operation], outcome)
	o.mu.Unlock()
	o.post(core.ApplyChange{Change: ch})
	select {
	case out := <-outcome:
		return out, nil
	case <-ctx.Done():
		return configuration.ApplyOutcome{}, ctx.Err()
	}
}

// history requests the past documents of a service and waits for them.
func (o *operatorCalls) history(ctx context.Context, s entity.ServiceName) (configuration.HistoryOutcome, error) {
	outcome := make(chan configuration.HistoryOutcome, 1)
	o.mu.Lock()
	o.pendingHistories[s] = append(o.pendingHistories[s], outcome)
	o.mu.Unlock()
	o.post(core.ReadHistory{Service: s})
	select {
	case out := <-outcome:
		return out, nil
	case <-ctx.Done():
		return configuration.HistoryOutcome{}, ctx.Err()
	}
}

// deliverOutcomes answers the calls whose outcome is known. Each channel has a
// buffer for its single outcome, so that a call that no longer waits does not
// block the tick loop.
func (o *operatorCalls) deliverOutcomes(applied []configuration.ApplyOutcome, histories []configuration.HistoryOutcome) {
	if len(applied)+len(histories) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range applied {
		for _, waiter := range o.pendingChanges[a.Operation] {
			waiter <- a
		}
		delete(o.pendingChanges, a.Operation)
	}
	for _, h := range histories {
		for _, waiter := range o.pendingHistories[h.Service] {
			waiter <- h
		}
		delete(o.pendingHistories, h.Service)
	}
}

// Apply changes a service document and waits for the outcome.
func (d *Daemon) Apply(ctx context.Context, ch configuration.Change) (configuration.ApplyOutcome, error) {
	return d.operatorCalls.apply(ctx, ch)
}

// History returns the past documents of a service.
func (d *Daemon) History(ctx context.Context, s entity.ServiceName) (configuration.HistoryOutcome, error) {
	return d.operatorCalls.history(ctx, s)
}
