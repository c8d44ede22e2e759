package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// orderRead is what one read of the operator's table says of orders.
type orderRead struct {
	complete bool // changes holds all orders
	changes  []provider.Change[OperatorEntry]
	position uint64    // version of the table service up to which the read reaches
	start    time.Time // of the call; zero: from another daemon
	source   string    // for the log; "": the table service
	delayed  bool      // calls before this one have failed
}

const (
	// maxOrderDelay bounds how much earlier than it was read an order may count as given. After
	// a longer outage the new servers are seen to drain before the roll-out could be completed.
	maxOrderDelay = 3 * time.Second
	// maxOrderDelayRatio is the same as a ratio of the order's duration.
	maxOrderDelayRatio = 0.25
)

// orderedBy returns a time by which an order was given, for its deadline. The platform counts from
// the writing of the order, which may have happened while the table service could not be read.
func (r *orderRead) orderedBy(now, confirmedAt time.Time, o *rollout.Order) time.Time {
	if !r.delayed {
		return now
	}
	earliest := now.Add(-min(maxOrderDelay, time.Duration(maxOrderDelayRatio*float64(o.Duration))))
	if confirmedAt.After(earliest) {
		return confirmedAt
	}
	return earliest
}

// orderWatch passes the operator's orders to the core.
type orderWatch struct {
	g *Gateway

	mu         sync.Mutex // guards the fields below
	orders     *orderSet
	statesRead bool        // the rows of the states have been read
	held       []orderRead // before the states were read, which may hold the identity of an order
}

func newOrderWatch(g *Gateway) *orderWatch { return &orderWatch{g: g, orders: newOrderSet()} }

// applyRead applies what a read of the table service says.
func (w *orderWatch) applyRead(r orderRead) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.g.Settings.Rollout.Enabled() {
		w.ignoreAll(&r)
		return
	}
	if !w.statesRead {
		w.hold(r)
		return
	}
	w.apply(&r)
}

// ignoreAll logs orders of which none is carried out, as the settings have roll-outs off.
func (w *orderWatch) ignoreAll(r *orderRead) {
	for _, change := range r.changes {
		if !change.Removed {
			w.g.event(event.RolloutOrderIgnored, "", event.A("service", change.Value.OrderOf), event.A("reason", "roll-outs are off: the settings have no bounds for them"))
		}
	}
}

// hold keeps a read until the states have been read.
func (w *orderWatch) hold(r orderRead) {
	if r.complete {
		w.held = nil
	}
	if last := len(w.held) - 1; last >= 0 && len(r.changes) == 0 {
		w.held[last].position, w.held[last].start = r.position, r.start
		return
	}
	w.held = append(w.held, r)
}

// applyStates passes the states of the roll-outs, as read from their rows, to the core, and then
// the reads that were held for them.
func (w *orderWatch) applyStates(rows []provider.RolloutRow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range rows {
		if rows[i].Err != nil {
			w.g.event(event.RolloutStateIgnored, "", event.A("service", rows[i].Service), event.A("error", rows[i].Err.Error()))
			continue
		}
		w.orders.addState(rows[i].State)
		w.g.withCore(func(c *exchange.Core, now time.Time) { c.RestoreRollout(now, rows[i].State) })
	}
	w.statesRead = true
	for i := range w.held {
		w.apply(&w.held[i])
	}
	w.held = nil
}

// apply applies a read at once, so that no request is placed between two of its changes. The
// caller holds the lock.
func (w *orderWatch) apply(r *orderRead) {
	changes := w.orders.apply(r)
	digest := w.orders.digest()
	w.g.withCore(func(c *exchange.Core, now time.Time) {
		confirmedAt := c.OrdersConfirmedAt()
		for i := range changes {
			applyOrderChange(c, r.orderedBy(now, confirmedAt, &changes[i].order), &changes[i])
		}
		c.OrdersRead(r.start, r.position, digest)
	})
	source := r.source
	if source == "" {
		source = "table service"
	}
	for i := range changes {
		w.logChange(&changes[i], source)
	}
}

// applyOrderChange applies a change that was made by the given time.
func applyOrderChange(c *exchange.Core, at time.Time, change *orderChange) {
	switch {
	case change.withdrawn:
		c.WithdrawRollout(at, change.service)
	case change.order.Version != 0:
		c.SetRolloutOrder(at, change.order)
	}
}

func (w *orderWatch) logChange(c *orderChange, source string) {
	if c.err != nil {
		w.g.event(event.RolloutOrderIgnored, "", event.A("service", c.service), event.A("reason", c.err.Error()))
	}
	switch {
	case c.withdrawn:
		w.g.event(event.RolloutOrderRemoved, "", event.A("service", c.service), event.A("source", source))
	case c.order.Version != 0:
		w.g.event(event.RolloutOrderRead, "", event.A("service", c.service), event.A("to", c.order.To), event.A("order", c.order.Version),
			event.A("duration_ms", c.order.Duration.Milliseconds()), event.A("source", source))
	}
}

// readRolloutStates reads the rows of the states.
func (g *Gateway) readRolloutStates(ctx context.Context) error {
	rows, err := g.Rollouts.List(ctx)
	if err == nil {
		g.orders.applyStates(rows)
	}
	return err
}

// orderList is one daemon's knowledge of the operator's orders, for another one.
type orderList struct {
	Position uint64          `cbor:"1,keyasint"`
	Orders   []rollout.Order `cbor:"2,keyasint,omitempty"`
}

// requestOrders asks a daemon that reads the operator's table often for its orders if they have
// differed from this daemon's for a while. A daemon whose connection to the table service does
// not answer learns of orders in this way.
func (g *Gateway) requestOrders(t *peer.Transport) {
	var from exchange.Member
	differ := false
	g.withCore(func(c *exchange.Core, now time.Time) { from, differ = c.DifferentOrders(now) })
	if differ {
		g.sendMessage(t.Send, peer.Address{ID: from.Name, Addr: from.PeerAddr}, message{AskOrders: true})
	}
}

// receiveOrders handles what a message asks or says of the operator's orders.
func (g *Gateway) receiveOrders(from string, m *message, reply func(message)) {
	if !g.Settings.Rollout.Enabled() {
		return
	}
	if m.AskOrders {
		if list := g.orders.list(); list.Position > 0 {
			reply(message{Orders: &list})
		}
	}
	if m.Orders != nil {
		g.orders.applyRelayed(m.Orders, "daemon "+from)
	}
}

// list returns what this daemon knows of the orders.
func (w *orderWatch) list() orderList {
	w.mu.Lock()
	defer w.mu.Unlock()
	return orderList{Position: w.orders.position, Orders: w.orders.list()}
}

// applyRelayed applies the orders that another daemon knows, if it has read the table later.
func (w *orderWatch) applyRelayed(list *orderList, source string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if list.Position <= w.orders.position {
		return
	}
	r := orderRead{complete: true, position: list.Position, source: source}
	for _, o := range list.Orders {
		if err := o.Check(); err != nil {
			w.g.event(event.RolloutOrderIgnored, "", event.A("service", o.Service), event.A("reason", err.Error()))
			continue
		}
		r.changes = append(r.changes, provider.Change[OperatorEntry]{Version: o.Version, Value: OperatorEntry{OrderOf: o.Service, Order: o}})
	}
	w.apply(&r)
}
