package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

const (
	// stopMargin is the time by which the process ends before it would be killed.
	stopMargin = 400 * time.Millisecond
	// addressTTLsInUse is the number of TTLs for which some callers go on using a list
	// of addresses.
	addressTTLsInUse = 3
)

// stop removes this daemon from the addresses that callers get, goes on serving the
// requests that callers still send to it, waits for the requests in flight and closes the
// servers.
func (g *Gateway) stop(servers []*http.Server) {
	g.event(event.GatewayDraining, "")
	g.withCore(func(c *exchange.Core, now time.Time) { c.Leave(now.Add(g.Settings.StopGrace - stopMargin)) })
	close(g.stopSignal)
	acceptDuration := min(addressTTLsInUse*g.Settings.AddressTTL+time.Second, g.Settings.StopGrace-stopMargin)
	deadline := time.Now().Add(g.Settings.StopGrace - stopMargin)
	time.Sleep(acceptDuration)
	done := make(chan struct{})
	go func() {
		g.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Until(deadline)):
	}
	closeServers(servers, deadline)
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
