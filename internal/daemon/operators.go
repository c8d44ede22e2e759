package daemon

import (
	"context"
	"sync"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
)

// operators holds the operators' calls that wait for the core.
type operators struct {
	post func(core.Input)

	mu        sync.Mutex
	changes   map[string][]chan configuration.ApplyOutcome // by operation id
	histories map[entity.ServiceName][]chan configuration.HistoryOutcome
}

// newOperators returns an empty set.
func newOperators(post func(core.Input)) *operators {
	return &operators{
		post:      post,
		changes:   make(map[string][]chan configuration.ApplyOutcome),
		histories: make(map[entity.ServiceName][]chan configuration.HistoryOutcome),
	}
}

// apply starts a change and waits for its outcome.
func (o *operators) apply(ctx context.Context, ch configuration.Change) (configuration.ApplyOutcome, error) {
	wait := make(chan configuration.ApplyOutcome, 1)
	o.mu.Lock()
	o.changes[ch.Operation] = append(o.changes[ch.Operation], wait)
	o.mu.Unlock()
	o.post(core.ApplyChange{Change: ch})
	select {
	case out := <-wait:
		return out, nil
	case <-ctx.Done():
		return configuration.ApplyOutcome{}, ctx.Err()
	}
}

// history asks for the past documents of a service.
func (o *operators) history(ctx context.Context, s entity.ServiceName) (configuration.HistoryOutcome, error) {
	wait := make(chan configuration.HistoryOutcome, 1)
	o.mu.Lock()
	o.histories[s] = append(o.histories[s], wait)
	o.mu.Unlock()
	o.post(core.ReadHistory{Service: s})
	select {
	case out := <-wait:
		return out, nil
	case <-ctx.Done():
		return configuration.HistoryOutcome{}, ctx.Err()
	}
}

// finish answers the calls whose outcome is known. The channels have room for
// their one outcome, so that a caller that has gone blocks nothing.
func (o *operators) finish(applied []configuration.ApplyOutcome, histories []configuration.HistoryOutcome) {
	if len(applied)+len(histories) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range applied {
		for _, wait := range o.changes[a.Operation] {
			wait <- a
		}
		delete(o.changes, a.Operation)
	}
	for _, h := range histories {
		for _, wait := range o.histories[h.Service] {
			wait <- h
		}
		delete(o.histories, h.Service)
	}
}

// Apply changes a service document.
func (d *Daemon) Apply(ctx context.Context, ch configuration.Change) (configuration.ApplyOutcome, error) {
	return d.operators.apply(ctx, ch)
}

// History returns the past documents of a service.
func (d *Daemon) History(ctx context.Context, s entity.ServiceName) (configuration.HistoryOutcome, error) {
	return d.operators.history(ctx, s)
}
