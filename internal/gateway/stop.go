package gateway

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

const (
	// stopMargin is kept between the process's end and the kill.
	stopMargin = 400 * time.Millisecond
	// keptAnswers is how many lifetimes of an address answer some callers use it.
	keptAnswers = 3
)

// stop leaves the answers to callers that ask for addresses, goes on serving
// those that still come, and waits for the requests in flight.
func (g *Gateway) stop() {
	g.event(event.GatewayDraining, "")
	g.locked(func(c *exchange.Core, now time.Time) { c.Leave(now.Add(g.Settings.Grace - stopMargin)) })
	close(g.stopped)
	linger := min(keptAnswers*g.Settings.AddressTTL+time.Second, g.Settings.Grace-stopMargin)
	end := time.Now().Add(g.Settings.Grace - stopMargin)
	time.Sleep(linger)
	done := make(chan struct{})
	go func() {
		g.flight.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Until(end)):
	}
}
