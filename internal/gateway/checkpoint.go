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

// The leader, which is the daemon that holds the lease, writes a checkpoint to the
// table service several times a second: the request counts of the current usage
// windows and the levels of the quotas. So they survive a restart of all daemons.

const (
	checkpointRow = "counts"
	// checkpointIntervalPerDaemon, times the number of daemons, is the interval
	// between two checkpoints, since a checkpoint's size grows with that number.
	checkpointIntervalPerDaemon = 20 * time.Millisecond
	// maxCheckpointBytes is the size above which a checkpoint is not written.
	maxCheckpointBytes = 48 << 10
)

// savedCheckpoint is the checkpoint that was written last.
type savedCheckpoint struct {
	written     []byte    // encoded
	attemptedAt time.Time // of the last write, also if it failed
}

// saveCheckpoint writes a checkpoint if its interval has passed and its content
// has changed.
func (t *leaderTasks) saveCheckpoint(runCtx context.Context) {
	var current exchange.Checkpoint
	daemons := 1
	t.g.withCore(func(c *exchange.Core, now time.Time) {
		current = c.Checkpoint(now)
		daemons += len(c.Peers())
	})
	now := clock.Now()
	if now.Sub(t.checkpoint.attemptedAt) < time.Duration(daemons)*checkpointIntervalPerDaemon {
		return
	}
	body, err := codec.Encode(current)
	if err != nil {
		t.g.Log.Logger().WithError(err).Error("failed to encode the checkpoint of usage counts and quotas")
		return
	}
	if bytes.Equal(body, t.checkpoint.written) || len(body) > maxCheckpointBytes {
		return
	}
	ctx, cancel := context.WithTimeout(runCtx, leaderCallTimeout)
	defer cancel()
	write := provider.Write{Partition: leaderPartition, Sort: checkpointRow, Value: body, Unconditional: true}
	t.checkpoint.attemptedAt = now
	if err := t.g.Table.Transact(ctx, "", []provider.Write{write}); err != nil {
		return // the watched feeds report the outage; the next interval tries again
	}
	t.checkpoint.written = body
}

// restoreCounts adopts the usage counts of the previous lease holder's checkpoint.
func (t *leaderTasks) restoreCounts(ctx context.Context) {
	if p := t.g.readCheckpoint(ctx); p != nil {
		t.g.withCore(func(c *exchange.Core, _ time.Time) { c.RestoreCounts(p) })
	}
}

// restoreQuotas sets the quotas at this daemon's start to the levels of the newest
// checkpoint. Without one they start almost empty.
func (g *Gateway) restoreQuotas(runCtx context.Context) {
	ctx, cancel := context.WithTimeout(runCtx, tableTimeout)
	defer cancel()
	if p := g.readCheckpoint(ctx); p != nil {
		g.withCore(func(c *exchange.Core, _ time.Time) { c.RestoreQuotas(p) })
	}
}

// readCheckpoint returns the newest checkpoint, or nil if there is none that can be
// read.
func (g *Gateway) readCheckpoint(ctx context.Context) *exchange.Checkpoint {
	row, err := g.Table.Get(ctx, leaderPartition, checkpointRow, true)
	if err != nil {
		if !errors.Is(err, provider.ErrNotFound) {
			g.Log.Logger().WithError(err).Warn("failed to read the checkpoint of usage counts and quotas")
		}
		return nil
	}
	p := &exchange.Checkpoint{}
	if err := codec.Decode(row.Value, p); err != nil {
		g.Log.Logger().WithError(err).Warn("failed to decode the checkpoint of usage counts and quotas")
		return nil
	}
	return p
}
