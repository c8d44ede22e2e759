package gateway

import (
	"context"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

func (g *Gateway) watchServers(runCtx context.Context) {
	w := &watcher[exchange.BackendServer]{g: g, name: exchange.ServersFeed, feed: g.serverFeed, wait: g.pollWait, batchWait: g.serverFeed.batchDelay}
	w.apply = func(complete bool, changes []provider.Change[exchange.BackendServer], _ time.Time) {
		g.applyServers(complete, w.position, changes)
	}
	w.run(runCtx)
}

// applyServers applies changes of the list of backend servers up to a position, all at once: a daemon
// that has applied only a part of its first list would refuse requests of the services in the
// other part.
func (g *Gateway) applyServers(complete bool, position uint64, changes []provider.Change[exchange.BackendServer]) {
	var events []func()
	g.withCore(func(c *exchange.Core, now time.Time) {
		if complete {
			c.RemoveUnlisted(now, listedServers(changes), position)
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
		c.RemoveServer(now, id, change.Version)
		return func() {} // the core logs it
	case change.Err != nil:
		// An entry that cannot be decoded gives no address to send requests to.
		c.RemoveServer(now, id, change.Version)
		return func() {
			g.event(event.ServerEntryIgnored, "", event.A("backend_server", id), event.A("error", change.Err.Error()))
		}
	}
	code := event.ServerListed
	change.Value.EntryVersion = change.Version
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
