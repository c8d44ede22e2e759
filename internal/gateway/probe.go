package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

// probeTimeout bounds one probe of a backend server.
const probeTimeout = 700 * time.Millisecond

// probe dials a backend server to find out whether its process has died, and tells the
// core.
func (g *Gateway) probe(p exchange.Probe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	result := probeResult(g.pool.Probe(ctx, p.Address))
	g.withCore(func(c *exchange.Core, now time.Time) { c.ProbeEnded(now, p, result) })
}

func probeResult(err error) exchange.ProbeResult {
	switch {
	case err == nil:
		return exchange.Reachable
	case notListening(err):
		return exchange.Refused
	default:
		return exchange.Unreachable
	}
}

// notListening reports whether a connection failed because nothing listens at the
// address.
func notListening(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
