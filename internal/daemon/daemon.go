// Package daemon is the shell round the core: it owns the clock, the sockets
// and the goroutines, feeds inputs to the core's ticks and performs what they
// ask for.
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
	// inboxSize is the number of inputs that may wait for the next tick.
	inboxSize = 4096
	// maxInputs bounds the inputs of one tick.
	maxInputs = 1024
)

// Parts holds what a daemon is made of. Cloud may be nil.
type Parts struct {
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

// Options are the settings that the shell itself needs.
type Options struct {
	AddressTTL time.Duration // told to callers
}

// Daemon runs one core. Its methods are safe for concurrent use.
type Daemon struct {
	Parts
	callers   *callers
	backend   *backend.Client
	watcher   *backend.Watcher
	platform  *performer
	operators *operators
	view      atomic.Pointer[view]
	meter     *meter
}

// New returns a daemon. It does nothing before Run.
func New(p Parts) *Daemon {
	d := &Daemon{Parts: p, meter: newMeter()}
	d.callers = newCallers(func(id core.CallerID) { d.Inbox.Post(core.CallerGone{Caller: id}) })
	d.backend = backend.New(p.Inbox.Post)
	d.watcher = backend.NewWatcher(p.Inbox.Post)
	d.platform = newPerformer(p)
	d.operators = newOperators(p.Inbox.Post)
	d.view.Store(newView(&core.View{}))
	return d
}

// Done is closed when the daemon has ended.
func (d *Daemon) Done() <-chan struct{} { return d.Inbox.done }

// Run ticks the core until it has finished a drain. When the context ends, it
// starts the drain.
func (d *Daemon) Run(ctx context.Context) {
	defer d.close()
	stop := ctx.Done()
	d.tick(nil)
	timer := d.nextTimer()
	for {
		var inputs []core.Input
		select {
		case in := <-d.Inbox.inputs:
			inputs = d.Inbox.batch(in)
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

// nextTimer returns a channel that is ready at the core's deadline.
func (d *Daemon) nextTimer() <-chan time.Time {
	at := d.Core.Deadline()
	if at.IsZero() {
		return nil
	}
	return time.After(max(time.Until(at), time.Millisecond))
}

// tick runs the core once and performs its outbox. It reports the end.
func (d *Daemon) tick(inputs []core.Input) bool {
	out := d.Core.Tick(time.Now(), inputs)
	if out.View != nil {
		d.view.Store(newView(out.View))
		d.watcher.Set(out.View.Coordinated())
	}
	for _, r := range out.Replies {
		d.callers.put(r)
	}
	for _, s := range out.Stops {
		d.backend.Stop(s)
	}
	for _, a := range out.Dispatches {
		d.backend.Dispatch(a)
	}
	for _, e := range out.Exports {
		d.backend.Export(e)
	}
	for i := range out.Sends {
		d.send(&out.Sends[i])
	}
	for _, op := range out.Operations {
		d.platform.perform(op)
	}
	d.order(&out)
	d.operators.finish(out.Applied, out.Histories)
	d.record(out.Events)
	d.meter.take(&out)
	return out.Finished
}

// send encodes a message once and gives it to the transport.
func (d *Daemon) send(e *core.Envelope) {
	e.Message.Stamp = d.Events.Stamp(time.Now())
	body, err := core.EncodeMessage(&e.Message)
	if err != nil {
		d.Log.Logger().WithError(err).Error("a message could not be encoded")
		return
	}
	to := peer.Address{ID: e.To, Addr: e.Addr}
	if e.Datagram {
		d.Peers.Datagram(to, body)
		return
	}
	d.Peers.Send(to, body)
}

// close ends what the daemon has started.
func (d *Daemon) close() {
	close(d.Inbox.done)
	d.backend.Close()
	d.watcher.Close()
	d.platform.close()
}
