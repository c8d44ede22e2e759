package gateway

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/usage"
)

// The holder of the lease writes the counts of the present windows to the table
// service several times a second, so that they outlive all daemons at once.

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
	var counts map[entity.InstanceID][]usage.Count
	daemons := 1
	d.g.locked(func(c *exchange.Core, now time.Time) {
		counts = c.Checkpoint(now)
		daemons += len(c.Others())
	})
	now := clock.Now()
	if now.Sub(d.saved.at) < time.Duration(daemons)*checkpointPerDaemon {
		return
	}
	body, err := codec.Encode(counts)
	if err != nil {
		d.g.Log.Logger().WithError(err).Error("counts cannot be encoded")
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
	row, err := d.g.Table.Get(ctx, dutyPartition, checkpointRow, true)
	if err != nil {
		if !errors.Is(err, provider.ErrNotFound) {
			d.g.Log.Logger().WithError(err).Warn("the former holder's counts cannot be read")
		}
		return
	}
	var counts map[entity.InstanceID][]usage.Count
	if err := codec.Decode(row.Value, &counts); err != nil {
		d.g.Log.Logger().WithError(err).Warn("the former holder's counts cannot be decoded")
		return
	}
	d.g.locked(func(c *exchange.Core, _ time.Time) { c.RestoreCounts(counts) })
}
