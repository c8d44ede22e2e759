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
	// operationTimeout bounds one platform operation.
	operationTimeout = 5 * time.Second
	// maxOperations bounds the platform operations under way.
	maxOperations = 64
)

// performer carries out platform operations, each exactly once, and posts
// their results.
type performer struct {
	table   provider.Table
	objects provider.ObjectStore
	cloud   provider.Cloud // may be nil
	log     *logging.Log
	post    func(core.Input)
	slots   chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	failing atomic.Bool // the last operation did not get through
}

// newPerformer returns an idle performer.
func newPerformer(p Parts) *performer {
	ctx, cancel := context.WithCancel(context.Background())
	return &performer{
		table: p.Table, objects: p.Objects, cloud: p.Cloud, log: p.Log, post: p.Inbox.Post,
		slots: make(chan struct{}, maxOperations), ctx: ctx, cancel: cancel,
	}
}

// perform starts an operation. It never blocks.
func (p *performer) perform(op core.Operation) {
	p.start(func(ctx context.Context) {
		result := provider.Perform(ctx, p.table, p.objects, op.Operation)
		p.failing.Store(errors.Is(result.Err, provider.ErrUnavailable) || errors.Is(result.Err, provider.ErrUnknownOutcome))
		p.post(core.PlatformResult{System: op.System, Result: result})
	})
}

// start runs a call of the platform as soon as there is a slot for it.
func (p *performer) start(call func(ctx context.Context)) {
	p.wg.Go(func() {
		p.slots <- struct{}{}
		defer func() { <-p.slots }()
		ctx, cancel := context.WithTimeout(p.ctx, operationTimeout)
		defer cancel()
		call(ctx)
	})
}

// close gives up what is under way.
func (p *performer) close() {
	p.cancel()
	p.wg.Wait()
}

// TableFailing reports whether the last platform operation did not get through.
func (d *Daemon) TableFailing() bool { return d.platform.failing.Load() }
