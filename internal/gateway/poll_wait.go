package gateway

import (
	"context"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

// confirmerPollWait is how long a call for changes of the configuration waits at the
// few daemons that confirm to all others that their configuration is the newest.
const confirmerPollWait = 700 * time.Millisecond

// independentPollWait returns how long a call for changes waits at a daemon that gets no
// confirmation of its configuration from peers. Two calls in a row, with 250 ms to
// spare for each, must fit into the time after which a confirmation is stale.
func (g *Gateway) independentPollWait() time.Duration {
	return (g.Settings.KeyRevocationLimit-staleMargin)/2 - 250*time.Millisecond
}

// configurationPollWait returns how long a call for changes of the configuration waits.
// It is shorter at the few daemons that confirm it to the others, so that all daemons
// have a recent confirmation when the table service fails.
func (g *Gateway) configurationPollWait() time.Duration {
	confirmer, answerConfirms := false, false
	g.withCore(func(c *exchange.Core, now time.Time) {
		confirmer, answerConfirms = c.QueriesTableOften(now), c.TableConfirms(now)
	})
	switch {
	case confirmer:
		return min(confirmerPollWait, g.independentPollWait())
	case g.recentlyConfirmed():
		return confirmedConfigurationPollWait
	case answerConfirms:
		return 0
	default:
		return g.independentPollWait()
	}
}

const (
	// confirmedPollWait is how long a call for changes waits at a daemon to which peers
	// confirm its configuration.
	confirmedPollWait = 8 * time.Second
	// confirmedConfigurationPollWait is the same for the configuration. It is longer, since a
	// daemon whose connection to the table service has become unresponsive learns of a newer
	// configuration from its peers and fetches it there.
	confirmedConfigurationPollWait = 25 * time.Second
)

// pollWait returns how long a call for changes waits. It is longer while peers confirm
// the configuration: these confirmations also arrive when this daemon's connection to
// the table service has become unresponsive.
func (g *Gateway) pollWait() time.Duration {
	if g.recentlyConfirmed() {
		return confirmedPollWait
	}
	return g.independentPollWait()
}

// recentlyConfirmed reports whether the configuration was confirmed to be the newest so
// lately that a daemon may go on waiting for the next confirmation of its peers.
func (g *Gateway) recentlyConfirmed() bool {
	var age time.Duration
	g.withCore(func(c *exchange.Core, now time.Time) { _, age = c.Version(now) })
	return age < g.confirmationWait()
}

// confirmationWait returns how old a confirmation by peers may get before a daemon asks
// the table service itself. Two calls, of which the first fails on an unresponsive
// connection, must fit into the time until the confirmation is stale. In a large fleet
// confirmations are two update intervals old when they arrive.
func (g *Gateway) confirmationWait() time.Duration {
	stale := g.Settings.KeyRevocationLimit - staleMargin
	return max(stale-2*changesTimeoutMargin-2*watchRetryDelay, stale/3)
}

// cancelUnconfirmedPoll cancels a long call when the configuration is no longer
// confirmed.
func (g *Gateway) cancelUnconfirmedPoll(ctx context.Context, cancel context.CancelFunc) {
	for clock.Wait(ctx, confirmationCheckInterval) {
		if !g.recentlyConfirmed() {
			cancel()
			return
		}
	}
}

// confirmationCheckInterval is the time between two checks of the confirmation during
// a long call.
const confirmationCheckInterval = 300 * time.Millisecond
