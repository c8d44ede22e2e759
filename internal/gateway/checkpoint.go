package gateway

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// The holder of the lease writes the counts of the present windows and what the
// quotas hold to the table service several times a second, so that they outlive
// all daemons at once.

const (
	checkpointRow = "counts"
	// checkpointPerDaemon is the time between two checkpoints for each daemon,
	// since a checkpoint's size grows with their number.
	checkpointPerDaemon = 20 * time.Millisecond
	// maxCheckpoint is the largest checkpoint, in bytes.
	maxCheckpoint = 48 << 10
)

// checkpoint remembers what was written last.
type checkpoint struct {
	written []byte
	at      time.Time
}

// save writes the counts if they have changed and it is time.
func (d *duties) save(life context.Context) {
	var present exchange.Checkpoint
	daemons := 1
	d.g.locked(func(c *exchange.Core, now time.Time) {
		present = c.Checkpoint(now)
		daemons += len(c.Others())
	})
	now := clock.Now()
	if now.Sub(d.saved.at) < time.Duration(daemons)*checkpointPerDaemon {
		return
	}
	body, err := codec.Encode(present)
	if err != nil {
		d.g.Log.Logger().WithError(err).Error("a checkpoint cannot be encoded")
		return
	}
	if bytes.Equal(body, d.saved.written) || len(body) > maxCheckpoint {
		return
	}
	ctx, cancel := context.WithTimeout(life, dutyTimeout)
	defer cancel()
	write := provider.Write{Partition: dutyPartition, Sort: checkpointRow, Value: body, Unconditional: true}
	d.saved.at = now
	if err := d.g.Table.Transact(ctx, "", []provider.Write{write}); err != nil {
		return // the feeds tell that the table service is away; the next one is tried soon
	}
	d.saved.written = body
}

// restore takes the counts of the former holder.
func (d *duties) restore(ctx context.Context) {
	if p := d.g.readCheckpoint(ctx); p != nil {
		d.g.locked(func(c *exchange.Core, _ time.Time) { c.RestoreCounts(p) })
	}
}

// restoreQuotas lets quotas begin where they were before this daemon's start.
// Without the row they begin with little.
func (g *Gateway) restoreQuotas(life context.Context) {
	ctx, cancel := context.WithTimeout(life, peerTimeout)
	defer cancel()
	if p := g.readCheckpoint(ctx); p != nil {
		g.locked(func(c *exchange.Core, _ time.Time) { c.RestoreQuotas(p) })
	}
}

// readCheckpoint returns the newest checkpoint, nil if none can be read.
func (g *Gateway) readCheckpoint(ctx context.Context) *exchange.Checkpoint {
	row, err := g.Table.Get(ctx, dutyPartition, checkpointRow, true)
	if err != nil {
		if !errors.Is(err, provider.ErrNotFound) {
			g.Log.Logger().WithError(err).Warn("the checkpoint cannot be read")
		}
		return nil
	}
	p := &exchange.Checkpoint{}
	if err := codec.Decode(row.Value, p); err != nil {
		g.Log.Logger().WithError(err).Warn("the checkpoint cannot be decoded")
		return nil
	}
	return p
}
