package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// clockOrigin is the time since 1970 at which the table service's steady clock was
// zero. The first daemon writes it to the table and all others read it there, so that
// they agree on the bounds of time windows although their own clocks step.
type clockOrigin struct {
	SinceEpoch time.Duration `json:"zero_ns"`
}

// learnTrueTime reads the table service's clock and sets the core's true time, on which
// all daemons agree.
func (g *Gateway) learnTrueTime(ctx context.Context) error {
	before := clock.Now()
	tableClock, err := g.TableClock(ctx)
	if err != nil {
		return err
	}
	after := clock.Now()
	now := before.Add(after.Sub(before) / 2)
	origin, err := g.agreeClockOrigin(ctx, time.Duration(time.Now().UnixNano())-tableClock)
	if err != nil {
		return err
	}
	sinceEpoch := origin + tableClock
	g.withCore(func(c *exchange.Core, _ time.Time) { c.SetTrueTime(sinceEpoch - time.Duration(now.UnixNano())) })
	return nil
}

// agreeClockOrigin returns the clock origin in the table. If there is none, it writes
// the proposed one.
func (g *Gateway) agreeClockOrigin(ctx context.Context, proposed time.Duration) (time.Duration, error) {
	row, err := g.Table.Get(ctx, clockPartition, clockRow, true)
	if err == nil {
		var origin clockOrigin
		err := json.Unmarshal(row.Value, &origin)
		return origin.SinceEpoch, err
	}
	if !errors.Is(err, provider.ErrNotFound) {
		return 0, err
	}
	value, err := json.Marshal(clockOrigin{SinceEpoch: proposed})
	if err != nil {
		return 0, err
	}
	w := provider.Write{Partition: clockPartition, Sort: clockRow, Value: value}
	err = g.Table.Transact(ctx, "", []provider.Write{w})
	if errors.Is(err, provider.ErrConditionFailed) {
		return g.agreeClockOrigin(ctx, proposed) // another daemon has written it first
	}
	return proposed, err
}
