package daemon

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	// callTimeout is the time limit that the daemon sets for one call to the
	// table, the object store or the cloud. Their clients may set shorter ones.
	callTimeout = 5 * time.Second
	// maxConcurrentCalls is the largest number of such calls at the same time.
	maxConcurrentCalls = 64
)

// performer performs calls to the platform (table, object store and cloud), each
// exactly once, and posts their results.
type performer struct {
	table     provider.Table
	objects   provider.ObjectStore
	cloud     provider.Cloud // may be nil
	log       *logging.Log
	post      func(core.Input)
	callSlots chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	failing   atomic.Bool // the last operation ended unavailable or with an unknown outcome
}

// newPerformer returns an idle performer.
func newPerformer(p Dependencies) *performer {
	ctx, cancel := context.WithCancel(context.Background())
	return &performer{
		table: p.Table, objects: p.Objects, cloud: p.Cloud, log: p.Log, post: p.Inbox.Post,
		callSlots: make(chan struct{}, maxConcurrentCalls), ctx: ctx, cancel: cancel,
	}
}

// perform starts an operation of the table or the object store. It never blocks.
func (p *performer) perform(op core.Operation) {
	p.startCall(func(ctx context.Context) {
		result := provider.Perform(ctx, p.table, p.objects, op.Operation)
		p.failing.Store(errors.Is(result.Err, provider.ErrUnavailable) || errors.Is(result.Err, provider.ErrUnknownOutcome))
		p.post(core.PlatformResult{System: op.System, Result: result})
	})
}

// startCall starts a goroutine that runs a call to the platform as soon as one of
// maxConcurrentCalls slots is free.
func (p *performer) startCall(call func(ctx context.Context)) {
	p.wg.Go(func() {
		p.callSlots <- struct{}{}
		defer func() { <-p.callSlots }()
		ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
		defer cancel()
		call(ctx)
	})
}

// close cancels the calls in progress and waits until they have returned.
func (p *performer) close() {
	p.cancel()
	p.wg.Wait()
}

// TableFailing reports whether the last operation of the table or the object
// store to end was unavailable or had an unknown outcome.
func (d *Daemon) TableFailing() bool { return d.platform.failing.Load() }
