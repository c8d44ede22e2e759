package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

const (
	// stopMargin is the time by which the process ends before it would be killed.
	stopMargin = 400 * time.Millisecond
	// answerMargin is the time before that in which requests that outlast the stop are
	// answered.
	answerMargin = 100 * time.Millisecond
	// addressTTLsInUse is the number of TTLs for which some callers go on using a list
	// of addresses.
	addressTTLsInUse = 3
	// lateRetryDelay is the Retry-After time of requests that arrive while this daemon
	// closes its connections: other daemons can serve them at once.
	lateRetryDelay = 50 * time.Millisecond
)

// stop removes this daemon from the addresses that callers get, goes on serving the
// requests that callers still send to it, waits for the requests in flight and closes the
// servers.
func (g *Gateway) stop(servers []*http.Server) {
	deadline := time.Now().Add(g.Settings.StopGrace - stopMargin)
	requestDuration := g.Settings.StopGrace - stopMargin - answerMargin
	acceptDuration := min(addressTTLsInUse*g.Settings.AddressTTL+time.Second, requestDuration)
	g.event(event.GatewayDraining, "")
	g.withCore(func(c *exchange.Core, now time.Time) { c.Leave(now.Add(requestDuration)) })
	close(g.stopSignal)
	time.Sleep(acceptDuration)
	if n := g.requests.closeWhenEmpty(time.Until(deadline.Add(-answerMargin))); n > 0 {
		g.event(event.GatewayStopTooShort, "", event.A("in_flight", n))
		g.endGrace()
		g.requests.waitUntilEmpty(time.Until(deadline))
	}
	closeServers(servers, deadline)
}

// errStopping is the cause that cancels the context of a request that outlasts a planned
// stop.
var errStopping = errors.New("time of the planned stop is over")

// endByStop ends a request that outlasts a planned stop. No further attempt follows, and
// its caller is told so unless a response has started.
func (x *forwarding) endByStop(cancel context.CancelCauseFunc) {
	x.g.withCore(func(_ *exchange.Core, now time.Time) { x.ticket.Deadline = now })
	cancel(errStopping)
}

// closeServers closes servers whose requests have ended. Until the deadline it waits for
// responses whose end has not been written yet.
func closeServers(servers []*http.Server, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var closing sync.WaitGroup
	for _, s := range servers {
		closing.Go(func() {
			if s.Shutdown(ctx) != nil {
				_ = s.Close() // an error changes nothing: the process ends
			}
		})
	}
	closing.Wait()
}

// refuseLate rejects a request that arrives when the requests in flight have ended and
// this daemon closes its connections, or that has not come whole by then.
func (x *forwarding) refuseLate(arrived time.Time) {
	defer x.logResult(arrived)
	x.refuse(&exchange.Refusal{Status: exchange.Unavailable, Code: "leaving", RetryAfter: lateRetryDelay})
}
