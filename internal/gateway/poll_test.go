package gateway

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

// newPollingGateway returns a gateway with the given number of other daemons, which are
// named before it, and a configuration that was confirmed some time ago.
func newPollingGateway(peers int, confirmedAgo time.Duration) *Gateway {
	g := New(Config{Settings: Settings{Name: "z", KeyRevocationLimit: 5 * time.Second, DrainLimit: 3 * time.Second}})
	g.withCore(func(c *exchange.Core, now time.Time) {
		c.SetDocument(now, &exchange.Document{Version: 1})
		c.TableShows(1)
		c.Confirm(now.Add(-confirmedAgo))
		for i := range peers {
			name := entity.InstanceID("a" + string(rune('A'+i%26)) + string(rune('a'+i/26)))
			c.ReceiveUpdate(now, &exchange.StateUpdate{From: exchange.Member{Name: name, Start: 1}, Sequence: 1}, 0)
		}
	})
	return g
}

// TestConfigurationPollWait_LargeFleet: in a fleet of 89 daemons a confirmation by a peer is
// up to two update intervals of 0.88 s and one poll of the confirmer old. Daemons that
// have such a one must not ask the table service themselves.
func TestConfigurationPollWait_LargeFleet(t *testing.T) {
	const age = 2*880*time.Millisecond + confirmerPollWait
	g := newPollingGateway(88, age)
	if wait := g.configurationPollWait(); wait != confirmedConfigurationPollWait {
		t.Fatalf("with a confirmation %v old a call waits %v, want %v", age, wait, confirmedConfigurationPollWait)
	}
}

// Without confirmations the configuration must be confirmed by a call, on the second
// connection if the first is unresponsive, before it is stale.
func TestConfigurationPollWait_UnconfirmedDaemonAsksInTime(t *testing.T) {
	g := newPollingGateway(88, 0)
	latest := g.confirmationWait() + confirmationCheckInterval + changesTimeoutMargin + 2*watchRetryDelay
	if stale := g.Settings.KeyRevocationLimit - staleMargin; latest >= stale {
		t.Fatalf("the second call begins up to %v after the last confirmation, which is stale after %v", latest, stale)
	}
	g = newPollingGateway(88, g.confirmationWait())
	if wait := g.configurationPollWait(); wait != 0 {
		t.Fatalf("an unconfirmed daemon's call waits %v for changes", wait)
	}
}

// While no answer can confirm anything, calls that do not wait would follow each other
// without a pause.
func TestConfigurationPollWait_NoPointlessCalls(t *testing.T) {
	restored := newPollingGateway(88, 4*time.Second)
	restored.withCore(func(c *exchange.Core, _ time.Time) { c.TableShows(0) })
	empty := New(Config{Settings: Settings{Name: "z", KeyRevocationLimit: 5 * time.Second}})
	empty.withCore(func(c *exchange.Core, now time.Time) {
		c.ReceiveUpdate(now, &exchange.StateUpdate{From: exchange.Member{Name: "a", Start: 1}, Sequence: 1}, 0)
		c.ReceiveUpdate(now, &exchange.StateUpdate{From: exchange.Member{Name: "b", Start: 1}, Sequence: 1}, 0)
	})
	for name, g := range map[string]*Gateway{"the table lacks the configuration": restored, "there is no configuration": empty} {
		if wait := g.configurationPollWait(); wait < time.Second {
			t.Errorf("%s: a call waits only %v for changes", name, wait)
		}
	}
}

// TestServerBatchDelay_OftenEnoughForDrainingServers: the delay spares calls in a large
// fleet, but leaves most of the time after which a draining server must get nothing.
func TestServerBatchDelay_OftenEnoughForDrainingServers(t *testing.T) {
	small, large := newPollingGateway(5, 0), newPollingGateway(88, 0)
	if d := small.serverBatchDelay(); d > 150*time.Millisecond {
		t.Fatalf("a daemon of a small fleet learns of servers %v late", d)
	}
	if d := large.serverBatchDelay(); d <= maxBatchDelay || 2*d >= large.Settings.DrainLimit {
		t.Fatalf("the delay is %v, want more than %v and less than half of %v", d, maxBatchDelay, large.Settings.DrainLimit)
	}
	large.Settings.DrainLimit = 0
	if d := large.serverBatchDelay(); d > maxBatchDelay {
		t.Fatalf("the delay is %v although no limit for draining servers is stated", d)
	}
}

// TestRetryDelay_GrowsWhereOthersTell: a daemon that the table service turns away, and that hears
// others, calls it less and less often. One that nobody tells anything does not wait.
func TestRetryDelay_GrowsWhereOthersTell(t *testing.T) {
	delays := func(g *Gateway) (first, last time.Duration) {
		w := &watcher[int]{g: g, failures: 1}
		first = w.retryDelay()
		w.failures = 20
		return first, w.retryDelay()
	}
	if first, last := delays(newPollingGateway(88, 0)); first != watchRetryDelay || last != maxWatchRetryDelay {
		t.Errorf("delays from %v to %v, want %v to %v", first, last, watchRetryDelay, maxWatchRetryDelay)
	}
	if first, last := delays(newPollingGateway(0, 0)); first != watchRetryDelay || last != watchRetryDelay {
		t.Errorf("delays from %v to %v at a daemon that hears nobody, want %v", first, last, watchRetryDelay)
	}
}
