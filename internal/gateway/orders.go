package gateway

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	// refusedPause is the time after which an order that was refused or failed is
	// repeated.
	refusedPause = 1 * time.Second
	// missingPause is the time after which an order is repeated whose servers are
	// not there.
	missingPause = 6 * time.Second
)

// orderKey names what one order sets.
type orderKey struct {
	service    entity.ServiceName
	dataCentre entity.DataCentreID
	market     provider.Market
}

// placedOrder is the last order of a key.
type placedOrder struct {
	count int
	ok    bool
	at    time.Time
	most  int // servers that have been there since
}

// orderBook remembers the orders of this daemon while it holds the lease.
type orderBook struct {
	placed *entity.Table[orderKey, placedOrder]
}

func newOrderBook() *orderBook {
	return &orderBook{placed: entity.NewTable[orderKey, placedOrder]()}
}

// due returns the orders to be sent now.
func (b *orderBook) due(now time.Time, wanted []exchange.ServerCount, listed []exchange.ServerCount) []provider.ServerOrder {
	there := make(map[orderKey]int, len(listed))
	for _, l := range listed {
		there[keyOf(&l)] = l.Count
	}
	var out []provider.ServerOrder
	for _, w := range wanted {
		key := keyOf(&w)
		if b.needed(now, key, w.Count, there[key]) {
			out = append(out, provider.ServerOrder{Service: w.Service, DataCentre: w.DataCentre, Market: key.market, Count: w.Count})
		}
	}
	return out
}

// needed reports whether to order now, and notes how many servers have been there
// since the last order.
func (b *orderBook) needed(now time.Time, key orderKey, count, there int) bool {
	p := b.placed.Get(key)
	switch {
	case p == nil:
		return count != there
	case p.count != count:
		return true
	case !p.ok:
		return now.Sub(p.at) >= refusedPause
	case there < p.most:
		return now.Sub(p.at) >= refusedPause // some have been taken away
	default:
		p.most = min(there, count)
		return there < count && now.Sub(p.at) >= missingPause
	}
}

func (b *orderBook) done(now time.Time, o provider.ServerOrder, err error) {
	b.placed.Put(orderKey{o.Service, o.DataCentre, o.Market}, &placedOrder{count: o.Count, ok: err == nil, at: now})
}

func keyOf(c *exchange.ServerCount) orderKey {
	market := provider.OnDemand
	if c.Reclaimable {
		market = provider.Reclaimable
	}
	return orderKey{c.Service, c.DataCentre, market}
}
