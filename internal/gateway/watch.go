package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	// listTimeout bounds a read of the complete list.
	listTimeout = 1500 * time.Millisecond
	// changesTimeoutMargin is added to the wait time of a call for changes to get its timeout.
	changesTimeoutMargin = 700 * time.Millisecond
	// watchRetryDelay is the minimum delay after a failed call; up to as much again is
	// added at random.
	watchRetryDelay = 150 * time.Millisecond
	// maxWatchRetryDelay is that minimum after several failed calls at a daemon to which others
	// tell what changes.
	maxWatchRetryDelay = 1200 * time.Millisecond
)

// watcher reads one feed: first the complete list, then its changes by long polls.
type watcher[T any] struct {
	g    *Gateway
	name string // of the feed, for the log
	feed provider.Feed[T]
	wait func() time.Duration // returns how long the next call for changes waits
	// apply is called with the result of each call. Complete says that changes holds
	// all entries of the list; start is when the call was made.
	apply func(complete bool, changes []provider.Change[T], start time.Time)

	// batchWait returns the delay after a result with changes, so that the next one has
	// several.
	batchWait     func() time.Duration
	batchDelay    time.Duration // the delay after the last result
	position      uint64        // version after which changes are read; 0: read the complete list next
	newestVersion uint64        // highest version seen
	failures      int           // failed calls since the last successful one
}

// restored reports whether a version is the first one of a newer generation of the
// table service that this watcher has got.
func (w *watcher[T]) restored(version uint64) bool {
	return w.newestVersion > 0 && provider.Generation(version) > provider.Generation(w.newestVersion)
}

func (w *watcher[T]) run(ctx context.Context) {
	for ctx.Err() == nil {
		start := clock.Now()
		err := w.step(ctx, start)
		switch {
		case err == nil:
			w.noteSuccess()
			clock.Wait(ctx, w.batchDelay)
		case errors.Is(err, provider.ErrHistoryLost):
			w.position = 0
		default:
			w.noteFailure(ctx, err)
			delay := w.retryDelay()
			clock.Wait(ctx, delay+rand.N(delay))
		}
	}
}

func (w *watcher[T]) step(ctx context.Context, start time.Time) error {
	if w.position == 0 {
		return w.list(ctx, start)
	}
	wait := w.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+changesTimeoutMargin)
	defer cancel()
	if wait > w.g.independentPollWait() {
		go w.g.cancelUnconfirmedPoll(ctx, cancel)
	}
	go w.g.generations.cancelOnRestore(ctx, cancel)
	changes, position, err := w.feed.Changes(ctx, w.position, wait)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return nil // cancelled, as the configuration is not confirmed or the service was restored; made again at once
	}
	if err != nil {
		return err
	}
	w.position, w.newestVersion = max(position.Version, w.position), max(position.Version, w.newestVersion)
	w.apply(false, changes, start)
	w.batchDelay = 0
	if len(changes) > 0 {
		w.batchDelay = w.batchWait()
	}
	return nil
}

// errStaleList: the table service returned a list that is older than one seen before.
var errStaleList = errors.New("list of the table service is older than one seen before")

func (w *watcher[T]) list(ctx context.Context, start time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	changes, position, err := w.feed.List(ctx)
	if err != nil {
		return err
	}
	if position.Version < w.newestVersion {
		return errStaleList
	}
	w.g.observeGeneration(provider.Generation(position.Version))
	if w.restored(position.Version) {
		w.g.withCore(func(c *exchange.Core, now time.Time) { c.TableRestored(now) })
	}
	w.position, w.newestVersion = position.Version, position.Version
	w.apply(true, changes, start)
	return nil
}

// retryDelay returns the minimum delay after a failed call. It doubles with each one at a
// daemon that learns from others what changes: calls that are turned away load the table
// service too.
func (w *watcher[T]) retryDelay() time.Duration {
	others := false
	w.g.withCore(func(c *exchange.Core, now time.Time) { others = c.OthersQueryTable(now) })
	if !others {
		return watchRetryDelay
	}
	return backoff(watchRetryDelay, maxWatchRetryDelay, w.failures)
}

// backoff returns the delay after a number of failures, which doubles with each up to a limit.
func backoff(first, limit time.Duration, failures int) time.Duration {
	delay := first
	for range failures - 1 {
		delay = min(2*delay, limit)
	}
	return delay
}

// noteSuccess, if the last call failed, logs that the feed can be read again and tells
// the core.
func (w *watcher[T]) noteSuccess() {
	if w.failures == 0 {
		return
	}
	w.failures = 0
	w.g.withCore(func(c *exchange.Core, now time.Time) { c.TableRecovered(now) })
	w.g.event(event.DependencyRegained, "", event.A("dependency", w.name))
}

// noteFailure logs that the feed cannot be read, unless the call before failed too.
func (w *watcher[T]) noteFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.failures++
	if w.failures > 1 {
		return
	}
	w.g.event(event.DependencyLost, "", event.A("dependency", w.name), event.A("error", err.Error()))
}

// Each result with changes makes every daemon call the table service again. So a daemon
// waits for further changes after a change, for a time that rises with the number of
// peers.
const (
	// batchDelayPerPeer, times the number of peers, is that time.
	batchDelayPerPeer = 4 * time.Millisecond
	// maxBatchDelay is its maximum.
	maxBatchDelay = 400 * time.Millisecond
	// serverBatchDelayPerPeer is the same for the list of backend servers, at daemons that
	// learn from the few that query the table service often which servers drain.
	serverBatchDelayPerPeer = 20 * time.Millisecond
	// maxServerBatchRatio is the maximum of that delay, as a ratio of the time after which
	// a draining server must get no requests.
	maxServerBatchRatio = 0.4
)

func (g *Gateway) batchDelay() time.Duration {
	peers := 0
	g.withCore(func(c *exchange.Core, _ time.Time) { peers = len(c.Peers()) })
	return min(time.Duration(peers)*batchDelayPerPeer, maxBatchDelay)
}

// serverBatchDelay returns the delay after a change of the list of backend servers.
func (g *Gateway) serverBatchDelay() time.Duration {
	peers, queriesOften := 0, false
	g.withCore(func(c *exchange.Core, now time.Time) {
		peers, queriesOften = len(c.Peers()), c.QueriesTableOften(now) || c.ReadsForOthers(now)
	})
	longest := time.Duration(maxServerBatchRatio * float64(g.Settings.DrainLimit))
	if queriesOften || longest <= maxBatchDelay {
		return g.batchDelay()
	}
	return min(time.Duration(peers)*serverBatchDelayPerPeer, longest)
}

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

func (g *Gateway) watchConfiguration(runCtx context.Context) {
	w := &watcher[*exchange.Document]{g: g, name: "configuration", feed: g.Configuration, wait: g.configurationPollWait, batchWait: g.batchDelay, apply: g.applyConfiguration}
	w.run(runCtx)
}

func (g *Gateway) applyConfiguration(_ bool, changes []provider.Change[*exchange.Document], start time.Time) {
	readable := true
	for _, change := range changes {
		if change.Removed || change.Err != nil {
			readable = false
			g.event(event.ConfigurationIgnored, "", event.A("removed", change.Removed), event.A("error", errorText(change.Err)))
			continue
		}
		readable = true
		g.withCore(func(c *exchange.Core, _ time.Time) { c.TableShows(change.Value.Version) })
		g.applyDocument(change.Value, "table service")
	}
	if readable {
		g.withCore(func(c *exchange.Core, now time.Time) { c.ConfirmByTable(now, start) })
	}
}

// applyDocument puts a configuration in force, unless the one in force is as new or newer.
func (g *Gateway) applyDocument(doc *exchange.Document, source string) {
	applied := false
	g.withCore(func(c *exchange.Core, now time.Time) { applied = c.SetDocument(now, doc) })
	if !applied {
		return
	}
	g.event(event.GatewayConfigurationApplied, "", event.A("version", doc.Version), event.A("routes", len(doc.Routes)), event.A("source", source))
	for _, problem := range doc.Problems() {
		g.event(event.ConfigurationPartlyUnusable, "", event.A("version", doc.Version), event.A("problem", problem))
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (g *Gateway) watchServers(runCtx context.Context) {
	w := &watcher[exchange.BackendServer]{g: g, name: "backend-servers", feed: g.serverFeed, wait: g.pollWait, batchWait: g.serverFeed.batchDelay, apply: g.applyServers}
	w.run(runCtx)
}

// applyServers applies changes of the list of backend servers, all at once: a daemon that
// has applied only a part of its first list would refuse requests of the services in the
// other part.
func (g *Gateway) applyServers(complete bool, changes []provider.Change[exchange.BackendServer], _ time.Time) {
	var events []func()
	g.withCore(func(c *exchange.Core, now time.Time) {
		if complete {
			c.RemoveUnlisted(now, listedServers(changes))
		}
		for _, change := range changes {
			events = append(events, g.applyServer(c, now, &change))
		}
	})
	for _, log := range events {
		log()
	}
}

// listedServers returns the IDs in a complete list.
func listedServers(list []provider.Change[exchange.BackendServer]) map[entity.BackendServerID]bool {
	listed := make(map[entity.BackendServerID]bool, len(list))
	for _, entry := range list {
		listed[entity.BackendServerID(entry.ID)] = true
	}
	return listed
}

// applyServer applies one change of the list and returns a function that logs it.
func (g *Gateway) applyServer(c *exchange.Core, now time.Time, change *provider.Change[exchange.BackendServer]) (log func()) {
	id := entity.BackendServerID(change.ID)
	switch {
	case change.Removed:
		c.RemoveServer(now, id)
		return func() { g.event(event.ServerUnlisted, "", event.A("backend_server", id)) }
	case change.Err != nil:
		// An entry that cannot be decoded gives no address to send requests to.
		c.RemoveServer(now, id)
		return func() {
			g.event(event.ServerEntryIgnored, "", event.A("backend_server", id), event.A("error", change.Err.Error()))
		}
	}
	code := event.ServerListed
	if !c.PutServer(now, change.Value) {
		code = event.ServerEntryOutdated
	}
	s := change.Value
	return func() {
		g.event(code, "", event.A("backend_server", s.ID), event.A("born", s.Born), event.A("sequence", s.Sequence),
			event.A("service", s.Service), event.A("address", s.Address), event.A("server_version", s.Version), event.A("state", int(s.State)),
			event.A("reclaimable", s.Reclaimable))
	}
}
