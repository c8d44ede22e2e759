package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/platform"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
)

// aloneListInterval is the time between readings of the platform's list while
// no other daemon answers: then the list is the only news of backend servers
// that leave.
const aloneListInterval = time.Second

// fleetListReadings bounds the readings of the platform's list by all daemons
// together, a second. What one daemon reads there spreads to all as news.
const fleetListReadings = 2

// watchList reads the platform's list of instances at intervals.
func (d *Daemon) watchList(ctx context.Context) {
	if d.Cloud == nil {
		return
	}
	go func() {
		ticker := time.NewTicker(aloneListInterval)
		defer ticker.Stop()
		var last time.Time
		share := 1.0 // of the interval, so that daemons started together read apart
		for {
			interval := listInterval(d.Options.ListInterval, len(d.View().Members))
			if d.alone() || time.Since(last).Seconds() >= share*interval.Seconds() {
				last, share = time.Now(), 0.5+rand.Float64()
				d.readList(ctx)
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	}()
}

// listInterval returns the time between readings by one of so many daemons. The
// shortest one is for few daemons.
func listInterval(shortest time.Duration, daemons int) time.Duration {
	return max(shortest, time.Duration(daemons)*time.Second/fleetListReadings)
}

// alone reports whether other daemons are known and none of them answers.
func (d *Daemon) alone() bool {
	v := d.View()
	others := 0
	for _, m := range v.Members {
		if m.ID == d.Core.Self.ID {
			continue
		}
		if m.State == membership.Alive {
			return false
		}
		others++
	}
	return others > 0
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
