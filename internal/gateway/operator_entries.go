package gateway

import (
	"context"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// OperatorEntry is an entry of the operator's table: the configuration, or the order to roll out
// a version of a service.
type OperatorEntry struct {
	// OrderOf is the service of an order, also if the order was removed or cannot be decoded.
	// It is empty for the configuration.
	OrderOf  entity.ServiceName
	Order    rollout.Order
	Document *exchange.Document // the configuration
}

func (g *Gateway) watchOperatorEntries(runCtx context.Context) {
	w := &watcher[OperatorEntry]{g: g, name: "configuration", feed: g.OperatorEntries, wait: g.configurationPollWait, batchWait: g.batchDelay}
	w.apply = func(complete bool, changes []provider.Change[OperatorEntry], start time.Time) {
		configuration, orders := splitEntries(changes)
		g.applyConfiguration(configuration, start)
		g.orders.applyRead(orderRead{complete: complete, changes: orders, position: w.position, start: start, delayed: w.failures > 0})
	}
	w.run(runCtx)
}

// splitEntries separates the configuration's changes from those of orders.
func splitEntries(changes []provider.Change[OperatorEntry]) (configuration, orders []provider.Change[OperatorEntry]) {
	for _, change := range changes {
		if change.Value.OrderOf == "" {
			configuration = append(configuration, change)
		} else {
			orders = append(orders, change)
		}
	}
	return configuration, orders
}

// applyConfiguration applies the changes of the configuration that a call returned. A call that
// returned none confirms the one in force.
func (g *Gateway) applyConfiguration(changes []provider.Change[OperatorEntry], start time.Time) {
	readable := true
	for _, change := range changes {
		if change.Removed || change.Err != nil {
			readable = false
			g.event(event.ConfigurationIgnored, "", event.A("removed", change.Removed), event.A("error", errorText(change.Err)))
			continue
		}
		readable = true
		g.withCore(func(c *exchange.Core, _ time.Time) { c.TableShows(change.Value.Document.Version) })
		g.applyDocument(change.Value.Document, "table service")
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
