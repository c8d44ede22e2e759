package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

// clockOrigin is the time since 1970 at which the table service's steady clock was
// zero. The first daemon writes it to the table and all others read it there, so that
// they agree on the bounds of time windows although their own clocks step.
type clockOrigin struct {
	SinceEpoch time.Duration `json:"zero_ns"`
}

// maxOriginError is the largest difference between the clock origin in the table and
// this daemon's that the times of calls explain.
const maxOriginError = 500 * time.Millisecond

// readTableClock returns a reading of the table service's steady clock and the time on
// this instance's clock to which it belongs.
func (g *Gateway) readTableClock(ctx context.Context) (tableClock time.Duration, at time.Time, err error) {
	before := clock.Now()
	tableClock, err = g.TableClock(ctx)
	if err != nil {
		return 0, time.Time{}, err
	}
	after := clock.Now()
	return tableClock, before.Add(after.Sub(before) / 2), nil
}

// learnTrueTime reads the table service's clock and sets the core's true time, on which
// all daemons agree.
func (g *Gateway) learnTrueTime(ctx context.Context) error {
	tableClock, at, err := g.readTableClock(ctx)
	if err != nil {
		return err
	}
	proposed := g.proposeOrigin(time.Duration(time.Now().UnixNano()) - tableClock)
	origin, err := g.agreeClockOrigin(ctx, proposed)
	if err != nil {
		return err
	}
	g.newDeployment.Store(origin == proposed)
	g.setTrueTime(origin+tableClock, at)
	return nil
}

// isNewDeployment reports whether this process has been the first one on the table service, which
// has not been restored since: all that daemons have recorded is there.
func (g *Gateway) isNewDeployment() bool {
	return g.newDeployment.Load() && !g.generations.hasRisen()
}

// proposeOrigin returns the clock origin to propose: the one of an earlier try whose answer may
// have been lost, so that this process knows it as its own in the table, unless it is wrong.
func (g *Gateway) proposeOrigin(origin time.Duration) time.Duration {
	if (origin - g.proposedOrigin).Abs() > maxOriginError {
		g.proposedOrigin = origin
	}
	return g.proposedOrigin
}

func (g *Gateway) setTrueTime(sinceEpoch time.Duration, at time.Time) {
	g.withCore(func(c *exchange.Core, _ time.Time) { c.SetTrueTime(sinceEpoch - time.Duration(at.UnixNano())) })
}

// repairClockOrigin writes the clock origin again if a restore of the table service has
// lost it. If another daemon has written its own before, that one is adopted.
func (g *Gateway) repairClockOrigin(ctx context.Context) error {
	tableClock, at, err := g.readTableClock(ctx)
	if err != nil {
		return err
	}
	sinceEpoch, known := g.trueTime(at)
	if !known {
		return nil // learnTrueTime is still trying
	}
	origin, err := g.agreeClockOrigin(ctx, sinceEpoch-tableClock)
	if err != nil {
		return err
	}
	if (sinceEpoch - tableClock - origin).Abs() > maxOriginError {
		g.setTrueTime(origin+tableClock, at)
	}
	return nil
}

// agreeClockOrigin returns the clock origin in the table. If there is none, it writes
// the proposed one.
func (g *Gateway) agreeClockOrigin(ctx context.Context, proposed time.Duration) (time.Duration, error) {
	value, err := g.agreeRow(ctx, clockPartition, clockRow, func() ([]byte, error) {
		return json.Marshal(clockOrigin{SinceEpoch: proposed})
	})
	if err != nil {
		return 0, err
	}
	var origin clockOrigin
	err = json.Unmarshal(value, &origin)
	return origin.SinceEpoch, err
}
