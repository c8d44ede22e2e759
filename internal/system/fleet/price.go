package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	// priorReclaims and priorInstanceHours are the rate assumed before anything
	// has been observed: one reclaim in twenty instance hours.
	priorReclaims      = 1.0
	priorInstanceHours = 20.0
	// rateHalfLife is the time in which an observation loses half its weight.
	rateHalfLife = 6 * time.Hour
	// lostWorkPerReclaim is the server time that a reclaim costs besides the
	// warm-up: cached prompts are lost and tokens are computed again.
	lostWorkPerReclaim = 5 * time.Minute
)

// ReclaimRate holds the observed reclaims of one class in one data centre.
// Observations lose weight with time.
type ReclaimRate struct {
	DataCentre    entity.DataCentreID `cbor:"1,keyasint"`
	Class         string              `cbor:"2,keyasint"`
	Reclaims      float64             `cbor:"3,keyasint"`
	InstanceHours float64             `cbor:"4,keyasint"` // hours that instances ran, summed over the instances
}

// PerHour returns the reclaims expected in one instance hour.
func (r ReclaimRate) PerHour() float64 {
	return (r.Reclaims + priorReclaims) / (r.InstanceHours + priorInstanceHours)
}

// offer is a choice with its price.
type offer struct {
	choice           Choice
	perHour          float64
	effectivePerHour float64 // price of an hour of useful work
}

// String returns the form used in explanations.
func (c Choice) String() string {
	return fmt.Sprintf("%s %s in %s", c.Market, c.Class, c.DataCentre)
}

// priceTable holds the prices of all choices at one moment.
type priceTable struct {
	offers   []offer // choices that may be launched now, cheapest first
	byChoice map[Choice]offer
}

// newPriceTable computes the effective prices. That of a reclaimable instance
// adds the warm-up of its replacements and the work lost by reclaims.
func newPriceTable(s State) priceTable {
	m := priceTable{byChoice: make(map[Choice]offer)}
	for _, p := range s.Prices {
		o := offer{choice: Choice{DataCentre: p.DataCentre, Class: p.Class, Market: p.Market}, perHour: p.PerHour, effectivePerHour: p.PerHour}
		if p.Market == provider.Reclaimable {
			wastedHours := (s.WarmUp + lostWorkPerReclaim).Hours()
			o.effectivePerHour *= 1 + rateOf(s.Rates, o.choice).PerHour()*wastedHours
		}
		m.byChoice[o.choice] = o
	}
	m.addOffers(s)
	return m
}

// addOffers adds the choices that the policy allows, that have a price and that
// are not refused. Of choices with equal prices, the class that the policy
// names first comes first.
func (m *priceTable) addOffers(s State) {
	for _, dc := range s.Policy.DataCentres {
		for _, class := range s.Policy.Classes {
			for _, market := range []provider.Market{provider.Reclaimable, provider.OnDemand} {
				c := Choice{DataCentre: dc, Class: class, Market: market}
				if o, known := m.byChoice[c]; known && !slices.Contains(s.Refused, c) {
					m.offers = append(m.offers, o)
				}
			}
		}
	}
	slices.SortStableFunc(m.offers, func(a, b offer) int { return cmp.Compare(a.effectivePerHour, b.effectivePerHour) })
}

// cheapestIn returns the cheapest offer in a data centre.
func (m priceTable) cheapestIn(dc entity.DataCentreID) (offer, bool) {
	i := slices.IndexFunc(m.offers, func(o offer) bool { return o.choice.DataCentre == dc })
	if i < 0 {
		return offer{}, false
	}
	return m.offers[i], true
}

// offerOf returns the offer of a choice; its prices are 0 if the choice has no
// known price.
func (m priceTable) offerOf(c Choice) offer { return m.byChoice[c] }

// liveServers returns the number of servers that are not draining, and the
// hourly cost of all servers.
func (m priceTable) liveServers(s State) (live int, cost float64) {
	for _, server := range s.Servers {
		cost += m.offerOf(server.Choice).perHour
		if server.State != Draining {
			live++
		}
	}
	return live, cost
}

func (m priceTable) mostExpensiveFirst(servers []Server) []Server {
	out := slices.Clone(servers)
	slices.SortStableFunc(out, func(a, b Server) int {
		return cmp.Compare(m.offerOf(b.Choice).effectivePerHour, m.offerOf(a.Choice).effectivePerHour)
	})
	return out
}

func rateOf(rates []ReclaimRate, c Choice) ReclaimRate {
	i := slices.IndexFunc(rates, func(r ReclaimRate) bool { return r.DataCentre == c.DataCentre && r.Class == c.Class })
	if i < 0 {
		return ReclaimRate{DataCentre: c.DataCentre, Class: c.Class}
	}
	return rates[i]
}
