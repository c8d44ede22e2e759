package exchange

import "time"

// Each daemon waits at the table service for changes of the operator's entries. A call on a
// connection that has become unresponsive returns nothing for a long time. The daemons that
// query the table service often therefore send all others, in their state updates, a digest of
// the operator's orders and how long ago they read them. That confirms the orders of a daemon
// with the same ones, as for the configuration (see confirm.go), and has others fetch them.

// KnownOrders is what the sender of a state update knows of the operator's orders.
type KnownOrders struct {
	Digest uint64 `cbor:"1,keyasint"`
	// Age is the time from the last confirmation of these orders to this update.
	Age time.Duration `cbor:"2,keyasint"`
}

// ordersKnowledge is what this daemon knows of the operator's orders.
type ordersKnowledge struct {
	digest       uint64    // 0: not read yet
	confirmedAt  time.Time // when these orders were known to be all; zero: never
	differsSince time.Time // since when another daemon's digest has differed; zero: none does
	differsAt    Member    // that daemon
}

// OrdersRead records the digest of the orders that have been applied, which is not 0. They were
// read by a call that began at the given time; zero: by another daemon. The position is the version
// of the table service up to which they are all.
func (c *Core) OrdersRead(start time.Time, position, digest uint64) {
	c.rollouts.ordersPosition = max(c.rollouts.ordersPosition, position)
	o := &c.orders
	if o.digest != digest {
		o.digest, o.confirmedAt, o.differsSince = digest, time.Time{}, time.Time{}
	}
	c.confirmOrders(start)
}

// OrdersConfirmedAt returns the newest time at which this daemon's orders were known to be all
// that there are; zero: never.
func (c *Core) OrdersConfirmedAt() time.Time { return c.orders.confirmedAt }

// confirmOrders records that the orders were all that there are at some time.
func (c *Core) confirmOrders(at time.Time) {
	if at.After(c.orders.confirmedAt) {
		c.orders.confirmedAt = at
		c.RolloutOrdersConfirmed(at)
	}
}

// knownOrders returns what a state update says of the orders, nil for nothing.
func (c *Core) knownOrders(now time.Time) *KnownOrders {
	o := &c.orders
	if o.digest == 0 || o.confirmedAt.IsZero() || !c.QueriesTableOften(now) {
		return nil
	}
	return &KnownOrders{Digest: o.digest, Age: now.Sub(o.confirmedAt)}
}

// receiveKnownOrders applies what another daemon's state update says of the orders. Ack is the sequence number
// of this daemon's last update that it had received.
func (c *Core) receiveKnownOrders(now time.Time, update *StateUpdate, ack uint32) {
	o := &c.orders
	switch {
	case update.Orders == nil || !c.cfg.Bounds.Rollout.Enabled():
	case update.Orders.Digest != o.digest:
		if o.differsSince.IsZero() {
			o.differsSince = now
		}
		o.differsAt = update.From
	default:
		if o.differsAt.Name == update.From.Name {
			o.differsSince = time.Time{}
		}
		if sent, ok := c.sent.sentAt(ack); ok {
			c.confirmOrders(sent.Add(-update.Orders.Age))
		}
	}
}

// DifferentOrders returns a daemon whose orders differ from this daemon's, and whether
// that has lasted long enough to fetch them. The time then counts anew.
func (c *Core) DifferentOrders(now time.Time) (Member, bool) {
	o := &c.orders
	if o.differsSince.IsZero() || now.Sub(o.differsSince) < newerVersionDelay {
		return Member{}, false
	}
	o.differsSince = time.Time{}
	return o.differsAt, true
}
