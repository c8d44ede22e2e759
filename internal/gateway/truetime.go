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

// zeroTime says which time since 1970 belongs to the zero of the table
// service's steady clock. The first daemon writes it; all others take it from
// there, so that they agree on windows of time though their clocks step.
type zeroTime struct {
	Zero time.Duration `json:"zero_ns"`
}

// learnTime sets the core's true time.
func (g *Gateway) learnTime(ctx context.Context) error {
	before := clock.Now()
	store, err := g.Clock(ctx)
	if err != nil {
		return err
	}
	after := clock.Now()
	now := before.Add(after.Sub(before) / 2)
	zero, err := g.zeroTime(ctx, time.Duration(time.Now().UnixNano())-store)
	if err != nil {
		return err
	}
	sinceEpoch := zero + store
	g.locked(func(c *exchange.Core, _ time.Time) { c.SetTrueTime(sinceEpoch - time.Duration(now.UnixNano())) })
	return nil
}

// zeroTime returns what the fleet has agreed on, or proposes own.
func (g *Gateway) zeroTime(ctx context.Context, own time.Duration) (time.Duration, error) {
	row, err := g.Table.Get(ctx, clockPartition, clockRow, true)
	if err == nil {
		var z zeroTime
		err := json.Unmarshal(row.Value, &z)
		return z.Zero, err
	}
	if !errors.Is(err, provider.ErrNotFound) {
		return 0, err
	}
	value, err := json.Marshal(zeroTime{Zero: own})
	if err != nil {
		return 0, err
	}
	w := provider.Write{Partition: clockPartition, Sort: clockRow, Value: value}
	err = g.Table.Transact(ctx, "", []provider.Write{w})
	if errors.Is(err, provider.ErrConditionFailed) {
		return g.zeroTime(ctx, own) // another daemon was faster
	}
	return own, err
}
