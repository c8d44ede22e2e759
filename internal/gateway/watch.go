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
	// listTimeout bounds the reading of a whole list.
	listTimeout = 1500 * time.Millisecond
	// changesMargin is how much later than asked for an answer may come.
	changesMargin = 700 * time.Millisecond
	// watchPause is the pause after a failed call.
	watchPause = 150 * time.Millisecond
)

// watcher follows one feed for ever.
type watcher[T any] struct {
	g    *Gateway
	name string
	feed provider.Feed[T]
	wait func() time.Duration
	// take is called with each answer. Whole says that changes holds all
	// entries; start is when the call was made.
	take func(whole bool, changes []provider.Change[T], start time.Time)

	gather   time.Duration // pause after an answer with changes, so that the next has several
	position uint64        // 0: read the whole list next
	newest   uint64        // version seen
	failing  bool
}

func (w *watcher[T]) run(ctx context.Context) {
	for ctx.Err() == nil {
		start := clock.Now()
		err := w.step(ctx, start)
		switch {
		case err == nil:
			w.regained()
			clock.Wait(ctx, w.gather)
		case errors.Is(err, provider.ErrHistoryLost):
			w.position = 0
		default:
			w.lost(ctx, err)
			clock.Wait(ctx, watchPause+rand.N(watchPause))
		}
	}
}

func (w *watcher[T]) step(ctx context.Context, start time.Time) error {
	if w.position == 0 {
		return w.list(ctx, start)
	}
	wait := w.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+changesMargin)
	defer cancel()
	if wait > w.g.feedWait() {
		go w.g.watchWait(ctx, cancel)
	}
	changes, at, err := w.feed.Changes(ctx, w.position, wait)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return nil // ended by watchWait, to be made again at once
	}
	if err != nil {
		return err
	}
	w.position, w.newest = max(at.Version, w.position), max(at.Version, w.newest)
	w.take(false, changes, start)
	w.gather = 0
	if len(changes) > 0 {
		w.gather = w.g.gatherTime()
	}
	return nil
}

// errOldList: the list is older than what has been seen.
var errOldList = errors.New("the list is older than an earlier answer")

func (w *watcher[T]) list(ctx context.Context, start time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	changes, at, err := w.feed.List(ctx)
	if err != nil {
		return err
	}
	if at.Version < w.newest {
		return errOldList
	}
	w.position, w.newest = at.Version, at.Version
	w.take(true, changes, start)
	return nil
}

// regained notes that the feed answers again.
func (w *watcher[T]) regained() {
	if !w.failing {
		return
	}
	w.failing = false
	w.g.locked(func(c *exchange.Core, now time.Time) { c.StoreBack(now) })
	w.g.event(event.DependencyRegained, "", event.A("dependency", w.name))
}

func (w *watcher[T]) lost(ctx context.Context, err error) {
	if w.failing || ctx.Err() != nil {
		return
	}
	w.failing = true
	w.g.event(event.DependencyLost, "", event.A("dependency", w.name), event.A("error", err.Error()))
}

// gatherPerPeer is how long a daemon waits after a change for further ones, for
// each other daemon: every change costs a call of each of them.
const gatherPerPeer = 4 * time.Millisecond

// maxGather bounds it.
const maxGather = 400 * time.Millisecond

func (g *Gateway) gatherTime() time.Duration {
	others := 0
	g.locked(func(c *exchange.Core, _ time.Time) { others = len(c.Others()) })
	return min(time.Duration(others)*gatherPerPeer, maxGather)
}

// confirmWait is how long a call for changes of the configuration waits at the
// daemons that confirm it for the others.
const confirmWait = 700 * time.Millisecond

// feedWait is how long a call for changes waits: two calls in a row must fit
// into the time after which a confirmation is stale.
func (g *Gateway) feedWait() time.Duration {
	return (g.Settings.Revoke-staleMargin)/2 - 250*time.Millisecond
}

// configurationWait is shorter at a few daemons, so that all know of a recent
// confirmation when the table service goes away.
func (g *Gateway) configurationWait() time.Duration {
	often := false
	g.locked(func(c *exchange.Core, now time.Time) { often = c.Confirmer(now) })
	if often {
		return min(confirmWait, g.feedWait())
	}
	return g.patientWait()
}

// longWait is how long a call for changes waits at a daemon to which others
// confirm the configuration.
const longWait = 8 * time.Second

// patientWait is longer while others confirm the configuration: they tell this
// daemon as well if a connection to the table service has gone silent.
func (g *Gateway) patientWait() time.Duration {
	if g.confirmed() {
		return longWait
	}
	return g.feedWait()
}

// confirmed reports whether the configuration was confirmed a short time ago.
func (g *Gateway) confirmed() bool {
	var age time.Duration
	g.locked(func(c *exchange.Core, now time.Time) { _, age = c.Version(now) })
	return age < g.feedWait()
}

// watchWait ends a long call when nobody confirms the configuration any more.
func (g *Gateway) watchWait(ctx context.Context, cancel context.CancelFunc) {
	for clock.Wait(ctx, watchInterval) {
		if !g.confirmed() {
			cancel()
			return
		}
	}
}

// watchInterval is the time between two looks at a long call.
const watchInterval = 300 * time.Millisecond

func (g *Gateway) watchConfiguration(life context.Context) {
	w := &watcher[*exchange.Document]{g: g, name: "configuration", feed: g.Configuration, wait: g.configurationWait, take: g.takeConfiguration}
	w.run(life)
}

func (g *Gateway) takeConfiguration(_ bool, changes []provider.Change[*exchange.Document], start time.Time) {
	readable := true
	for _, change := range changes {
		if change.Removed || change.Err != nil {
			readable = false
			g.event(event.ConfigurationIgnored, "", event.A("removed", change.Removed), event.A("error", errorText(change.Err)))
			continue
		}
		readable = true
		g.takeDocument(change.Value, "table service")
	}
	if readable {
		g.locked(func(c *exchange.Core, _ time.Time) { c.Confirm(start) })
	}
}

// takeDocument puts a configuration in force, unless a newer one is.
func (g *Gateway) takeDocument(doc *exchange.Document, source string) {
	taken := false
	g.locked(func(c *exchange.Core, now time.Time) { taken = c.SetDocument(now, doc) })
	if !taken {
		return
	}
	g.event(event.ConfigurationTaken, "", event.A("version", doc.Version), event.A("routes", len(doc.Routes)), event.A("source", source))
	for _, problem := range doc.Problems() {
		g.event(event.ConfigurationFlawed, "", event.A("version", doc.Version), event.A("problem", problem))
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (g *Gateway) watchServers(life context.Context) {
	w := &watcher[exchange.BackendServer]{g: g, name: "backend-servers", feed: g.Servers, wait: g.patientWait, take: g.takeServers}
	w.run(life)
}

func (g *Gateway) takeServers(whole bool, changes []provider.Change[exchange.BackendServer], _ time.Time) {
	if whole {
		g.dropUnlisted(changes)
	}
	for _, change := range changes {
		id := entity.BackendServerID(change.ID)
		switch {
		case change.Removed:
			g.locked(func(c *exchange.Core, now time.Time) { c.RemoveServer(now, id) })
			g.event(event.ServerUnlisted, "", event.A("backend_server", id))
		case change.Err != nil:
			// An entry that cannot be read names no backend server to use.
			g.locked(func(c *exchange.Core, now time.Time) { c.RemoveServer(now, id) })
			g.event(event.ServerUnreadable, "", event.A("backend_server", id), event.A("error", change.Err.Error()))
		default:
			g.takeServer(change.Value)
		}
	}
}

// dropUnlisted removes the backend servers that are not in the whole list.
func (g *Gateway) dropUnlisted(list []provider.Change[exchange.BackendServer]) {
	listed := make(map[entity.BackendServerID]bool, len(list))
	for _, entry := range list {
		listed[entity.BackendServerID(entry.ID)] = true
	}
	g.locked(func(c *exchange.Core, now time.Time) { c.RemoveUnlisted(now, listed) })
}

func (g *Gateway) takeServer(s exchange.BackendServer) {
	taken := false
	g.locked(func(c *exchange.Core, now time.Time) { taken = c.PutServer(now, s) })
	code := event.ServerListed
	if !taken {
		code = event.ServerOvertaken
	}
	g.event(code, "", event.A("backend_server", s.ID), event.A("born", s.Born), event.A("sequence", s.Sequence),
		event.A("service", s.Service), event.A("address", s.Address), event.A("state", int(s.State)),
		event.A("reclaimable", s.Reclaimable))
}
