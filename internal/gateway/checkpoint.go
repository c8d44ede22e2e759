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
// windows, the levels of the quotas, the deaths of backend servers under suspect content
// and the servers' limits. So they survive a restart of all daemons.

const (
	checkpointRow = "counts"
	// checkpointIntervalPerDaemon, times the number of daemons, is the interval
	// between two checkpoints, since a checkpoint's size grows with that number.
	checkpointIntervalPerDaemon = 20 * time.Millisecond
	// checkpointRefreshInterval is the time after which an unchanged checkpoint is written again,
	// as old levels are not used.
	checkpointRefreshInterval = time.Second
	// maxCheckpointBytes is the size above which a checkpoint is not written.
	maxCheckpointBytes = 48 << 10
)

// savedCheckpoint is the checkpoint that was written last.
type savedCheckpoint struct {
	written     []byte    // encoded, without its time
	attemptedAt time.Time // of the last write, also if it failed
	adopted     bool      // the previous lease holder's has been read
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
	current.Interval = time.Duration(daemons) * checkpointIntervalPerDaemon
	if now.Sub(t.checkpoint.attemptedAt) < current.Interval {
		return
	}
	if !t.checkpoint.adopted {
		t.checkpoint.attemptedAt = now
		t.readPrevious(runCtx)
		return // the next one includes what was read
	}
	body, undated, err := encodeCheckpoint(current)
	if err != nil {
		t.g.Log.Logger().WithError(err).Error("failed to encode the checkpoint of usage counts and quotas")
		return
	}
	unchanged := bytes.Equal(undated, t.checkpoint.written) && now.Sub(t.checkpoint.attemptedAt) < checkpointRefreshInterval
	if unchanged || len(body) > maxCheckpointBytes {
		return
	}
	ctx, cancel := context.WithTimeout(runCtx, leaderCallTimeout)
	defer cancel()
	write := provider.Write{Partition: leaderPartition, Sort: checkpointRow, Value: body, Unconditional: true}
	t.checkpoint.attemptedAt = now
	if err := t.g.Table.Transact(ctx, "", []provider.Write{write}); err != nil {
		return // the watched feeds report the outage; the next interval tries again
	}
	t.checkpoint.written = undated
}

// encodeCheckpoint returns a checkpoint encoded, and the same without its time.
func encodeCheckpoint(p exchange.Checkpoint) (body, undated []byte, err error) {
	if body, err = codec.Encode(p); err != nil {
		return nil, nil, err
	}
	p.At = 0
	undated, err = codec.Encode(p)
	return body, undated, err
}

// restoreCounts adopts the usage counts of the previous lease holder's checkpoint and, if this
// process has read none before, the deaths, limits and versions in it. Until it has read one, it
// overwrites none.
func (t *leaderTasks) restoreCounts(ctx context.Context) {
	p, err := t.g.readCheckpoint(ctx)
	if err != nil {
		t.g.Log.Logger().WithError(err).Warn("failed to read the checkpoint; none is written before")
		return
	}
	t.checkpoint.adopted = true
	t.g.withCore(func(c *exchange.Core, _ time.Time) { c.RestoreCounts(p) })
	t.g.applyCheckpoint(p)
}

// readPrevious reads the previous lease holder's checkpoint, as the read at the lease's acquisition
// has failed.
func (t *leaderTasks) readPrevious(runCtx context.Context) {
	ctx, cancel := context.WithTimeout(runCtx, leaderCallTimeout)
	defer cancel()
	t.restoreCounts(ctx)
}

// applyCheckpoint applies the deaths, limits and versions of the first checkpoint that this
// process has read.
func (g *Gateway) applyCheckpoint(p *exchange.Checkpoint) {
	if g.checkpointRead.Swap(true) {
		return
	}
	g.withCore(func(c *exchange.Core, now time.Time) {
		c.RestoreNotice(now, p)
		c.RestoreVersions(now, p)
	})
}

// restoreCheckpoint sets the quotas at this daemon's start to the levels of the newest
// checkpoint, and applies the deaths and limits in it. Without one the quotas start almost
// empty. If it cannot be read at once, they go on without it; the rest is read later.
func (g *Gateway) restoreCheckpoint(runCtx context.Context) {
	ctx, cancel := context.WithTimeout(runCtx, tableTimeout)
	defer cancel()
	p, err := g.readCheckpoint(ctx)
	if err != nil {
		g.Log.Logger().WithError(err).Warn("failed to read the checkpoint; the quotas start almost empty")
		go g.retryUntilDone(runCtx, g.restoreNotice)
		return
	}
	g.withCore(func(c *exchange.Core, now time.Time) { c.RestoreQuotas(now, p) })
	g.applyCheckpoint(p)
}

func (g *Gateway) restoreNotice(ctx context.Context) error {
	p, err := g.readCheckpoint(ctx)
	if err != nil {
		return err
	}
	g.applyCheckpoint(p)
	return nil
}

// readCheckpoint returns the newest checkpoint, which is empty if none was written or it
// cannot be decoded.
func (g *Gateway) readCheckpoint(ctx context.Context) (*exchange.Checkpoint, error) {
	p := &exchange.Checkpoint{}
	row, err := g.Table.Get(ctx, leaderPartition, checkpointRow, true)
	if errors.Is(err, provider.ErrNotFound) {
		return p, nil
	}
	if err != nil {
		return nil, err
	}
	if err := codec.Decode(row.Value, p); err != nil {
		g.Log.Logger().WithError(err).Warn("failed to decode the checkpoint")
		return &exchange.Checkpoint{}, nil
	}
	return p, nil
}
