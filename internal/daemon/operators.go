package daemon

import (
	"context"
	"errors"
	"sync"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
)

// operatorCalls holds the operators' calls that wait for a result of the core.
type operatorCalls struct {
	post    func(core.Input)
	stopped <-chan struct{} // closed when the core gives no more results

	mu               sync.Mutex
	pendingChanges   map[string][]chan configuration.ApplyOutcome // by operation ID
	pendingHistories map[entity.ServiceName][]chan configuration.HistoryOutcome
}

// errStopped: the daemon has stopped before the result of a call was known.
var errStopped = errors.New("this daemon has stopped; the outcome is not known")

// newOperatorCalls returns an empty set of calls that pass their inputs to the inbox.
func newOperatorCalls(inbox *Inbox) *operatorCalls {
	return &operatorCalls{
		post:             inbox.Post,
		stopped:          inbox.done,
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
	return awaitOutcome(ctx, outcome, o.stopped)
}

// history requests the past documents of a service and waits for them.
func (o *operatorCalls) history(ctx context.Context, s entity.ServiceName) (configuration.HistoryOutcome, error) {
	outcome := make(chan configuration.HistoryOutcome, 1)
	o.mu.Lock()
	o.pendingHistories[s] = append(o.pendingHistories[s], outcome)
	o.mu.Unlock()
	o.post(core.ReadHistory{Service: s})
	return awaitOutcome(ctx, outcome, o.stopped)
}

// awaitOutcome waits for the outcome of a call until the context ends or the core has
// stopped.
func awaitOutcome[T any](ctx context.Context, outcome <-chan T, stopped <-chan struct{}) (out T, err error) {
	select {
	case out = <-outcome:
		return out, nil
	case <-ctx.Done():
		return out, ctx.Err()
	case <-stopped:
	}
	select {
	case out = <-outcome: // of the core's last tick
		return out, nil
	default:
		return out, errStopped
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
