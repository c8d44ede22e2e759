// Package daemon runs the core, which does no I/O itself: it provides the clock,
// the sockets and the goroutines, passes inputs to the core's ticks and performs
// the actions that they request.
package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/backend"
	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

const (
	// inboxCapacity is the number of inputs that may wait for the next tick.
	inboxCapacity = 4096
	// maxInputsPerTick is the largest number of inputs passed to one tick.
	maxInputsPerTick = 1024
)

// Dependencies holds the components that a daemon uses. Cloud may be nil.
type Dependencies struct {
	Core    *core.Core
	Inbox   *Inbox
	Peers   *peer.Transport
	Table   provider.Table
	Objects provider.ObjectStore
	Cloud   provider.Cloud
	Log     *logging.Log
	Events  *timeline.Recorder
	Options Options
}

// Options holds the settings of the daemon outside the core.
type Options struct {
	AddressTTL time.Duration // sent to callers: how long they may use a list of addresses
}

// Daemon runs one core. Its methods are safe for concurrent use.
type Daemon struct {
	Dependencies
	mailboxes     *mailboxes
	backend       *backend.Client
	watcher       *backend.Watcher
	platform      *performer
	operatorCalls *operatorCalls
	view          atomic.Pointer[view]
	meter         *meter
}

// New returns a daemon. It does nothing before Run.
func New(p Dependencies) *Daemon {
	d := &Daemon{Dependencies: p, meter: newMeter()}
	d.mailboxes = newMailboxes(func(id core.CallerID) { d.Inbox.Post(core.CallerGone{Caller: id}) })
	d.backend = backend.New(p.Inbox.Post)
	d.watcher = backend.NewWatcher(p.Inbox.Post)
	d.platform = newPerformer(p)
	d.operatorCalls = newOperatorCalls(p.Inbox)
	d.view.Store(newView(&core.View{}))
	return d
}

// Done returns a channel that is closed when the daemon has stopped.
func (d *Daemon) Done() <-chan struct{} { return d.Inbox.done }

// Run runs ticks of the core until a drain has finished. When the context ends,
// it starts the drain.
func (d *Daemon) Run(ctx context.Context) {
	defer d.close()
	stop := ctx.Done()
	d.tick(nil)
	timer := d.nextTimer()
	for {
		var inputs []core.Input
		select {
		case in := <-d.Inbox.inputs:
			inputs = d.Inbox.collectBatch(in)
		case <-timer:
		case <-stop:
			stop = nil
			inputs = []core.Input{core.Drain{}}
		}
		if d.tick(inputs) {
			return
		}
		timer = d.nextTimer()
	}
}

// nextTimer returns a channel that receives a value at the core's deadline, or
// nil if there is none.
func (d *Daemon) nextTimer() <-chan time.Time {
	at := d.Core.Deadline()
	if at.IsZero() {
		return nil
	}
	return time.After(max(time.Until(at), time.Millisecond))
}

// tick runs the core once and performs its outbox. It reports whether the core
// has finished.
func (d *Daemon) tick(inputs []core.Input) bool {
	out := d.Core.Tick(time.Now(), inputs)
	if out.View != nil {
		d.view.Store(newView(out.View))
		d.watcher.SetEngines(out.View.CoordinatedEngines())
	}
	for _, r := range out.Replies {
		d.mailboxes.deliver(r)
	}
	for _, s := range out.Stops {
		d.backend.StopAttempt(s)
	}
	for _, a := range out.Dispatches {
		d.backend.Dispatch(a)
	}
	for _, e := range out.Exports {
		d.backend.ExportKVCache(e)
	}
	for i := range out.Sends {
		d.send(&out.Sends[i])
	}
	for _, op := range out.Operations {
		d.platform.perform(op)
	}
	d.performCloudRequests(&out)
	d.operatorCalls.deliverOutcomes(out.ApplyOutcomes, out.Histories)
	d.recordEvents(out.Events)
	d.meter.recordTick(&out)
	return out.Finished
}

// send encodes a message and passes it to the transport.
func (d *Daemon) send(e *core.Envelope) {
	e.Message.Stamp = d.Events.Stamp(time.Now())
	body, err := core.EncodeMessage(&e.Message)
	if err != nil {
		d.Log.Logger().WithError(err).Error("encoding a message to a peer failed")
		return
	}
	to := peer.Address{ID: e.To, Addr: e.Addr}
	if e.Datagram {
		d.Peers.SendDatagram(to, body)
		return
	}
	d.Peers.Send(to, body)
}

// close stops what the daemon has started. Inbox.Post no longer blocks after it.
func (d *Daemon) close() {
	close(d.Inbox.done)
	d.mailboxes.stop()
	d.backend.Close()
	d.watcher.Close()
	d.platform.close()
}
