package exchange

import (
	"testing"
	"time"
)

// TestKnownOrders_ConfirmedByOthers: a daemon that waits in a long call must learn from those that
// read often that its orders are all there are, at a time before they told it, and no more than
// that.
func TestKnownOrders_ConfirmedByOthers(t *testing.T) {
	a, b := newTestCore(t, "a"), newTestCore(t, "b")
	for _, c := range []*Core{a, b} {
		c.cfg.Bounds.Rollout = RolloutBounds{Share: 0.1, Slack: 50, RollbackAfter: 5 * time.Second}
		c.OrdersRead(zero, 0, 7)
	}
	b.NextUpdate(at(time.Second))
	a.OrdersRead(at(2*time.Second), 0, 7)
	update := a.NextUpdate(at(3 * time.Second))
	b.ReceiveUpdate(at(9*time.Second), &update, b.sequence)
	if got := b.orders.confirmedAt; !got.Equal(zero) {
		t.Errorf("orders are confirmed for %v after the start, want the time of this daemon's read: the other daemon's is older than the update that it acknowledges", got.Sub(zero))
	}
	b.NextUpdate(at(10 * time.Second))
	update = a.NextUpdate(at(11 * time.Second))
	b.ReceiveUpdate(at(12*time.Second), &update, b.sequence)
	if got := b.orders.confirmedAt; !got.Equal(at(time.Second)) {
		t.Errorf("orders are confirmed for %v after the start, want 1 s: 10 s less an age of 9 s", got.Sub(zero))
	}
}

// TestKnownOrders_DifferentOnesAreFetched: a daemon whose connection to the table service does not
// answer must fetch the orders, but not while a change is on its way.
func TestKnownOrders_DifferentOnesAreFetched(t *testing.T) {
	a, b := newTestCore(t, "a"), newTestCore(t, "b")
	for _, c := range []*Core{a, b} {
		c.cfg.Bounds.Rollout = RolloutBounds{Share: 0.1, Slack: 50, RollbackAfter: 5 * time.Second}
		c.OrdersRead(zero, 0, 7)
	}
	tell := func(d time.Duration) {
		update := a.NextUpdate(at(d))
		b.ReceiveUpdate(at(d), &update, b.sequence)
	}
	a.OrdersRead(at(time.Second), 0, 8)
	tell(time.Second)
	if _, differ := b.DifferentOrders(at(time.Second)); differ {
		t.Error("orders are fetched at once, although the table service may be about to tell them")
	}
	if from, differ := b.DifferentOrders(at(time.Second + newerVersionDelay)); !differ || from.Name != "a" {
		t.Errorf("orders are not fetched from a: %+v %v", from, differ)
	}
	b.OrdersRead(time.Time{}, 0, 8)
	tell(2 * time.Second)
	if _, differ := b.DifferentOrders(at(time.Minute)); differ {
		t.Error("orders are fetched although they are the same")
	}
}
