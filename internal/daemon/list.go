package daemon

import (
	"context"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/platform"
)

// watchList reads the platform's list of instances at intervals.
func (d *Daemon) watchList(ctx context.Context) {
	if d.Cloud == nil {
		return
	}
	go func() {
		ticker := time.NewTicker(d.Options.ListInterval)
		defer ticker.Stop()
		for {
			d.readList(ctx)
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	}()
}

// readList reads the list once. An error leaves what is known as it is.
func (d *Daemon) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	list, err := d.Cloud.Instances(ctx, nil)
	if err != nil {
		d.Log.Logger().WithError(err).Debug("the platform's list cannot be read")
		return
	}
	d.Inbox.Post(core.InstanceList{Instances: list})
}

// Notice takes the announced reclaim of this daemon's instance.
func (d *Daemon) Notice(n platform.Notice) { d.Inbox.Post(core.ReclaimNotice{Notice: n}) }

// Drain starts a planned stop.
func (d *Daemon) Drain() { d.Inbox.Post(core.Drain{}) }

// BackendLeaving takes word that a backend server leaves, or no longer does.
func (d *Daemon) BackendLeaving(b core.BackendLeaving) { d.Inbox.Post(b) }
