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
	// priorReclaims and priorHours are what is assumed before anything has been
	// observed: one reclaim in twenty instance hours.
	priorReclaims = 1.0
	priorHours    = 20.0
	// rateHalfLife is the time in which an observation loses half its weight.
	rateHalfLife = 6 * time.Hour
	// reclaimWaste is the work that a reclaim costs the fleet besides warm-up:
	// caches that are lost and tokens that are computed again.
	reclaimWaste = 5 * time.Minute
)

// Rate is what has been observed of reclaims of one class in one data centre.
type Rate struct {
	DataCentre entity.DataCentreID `cbor:"1,keyasint"`
	Class      string              `cbor:"2,keyasint"`
	Reclaims   float64             `cbor:"3,keyasint"`
	Hours      float64             `cbor:"4,keyasint"` // instance hours
}

// PerHour returns the reclaims expected in one instance hour.
func (r Rate) PerHour() float64 {
	return (r.Reclaims + priorReclaims) / (r.Hours + priorHours)
}

// offer is a choice with what it costs.
type offer struct {
	choice    Choice
	perHour   float64
	effective float64 // per hour of useful work
}

// String is the form used in explanations.
func (c Choice) String() string {
	return fmt.Sprintf("%s %s in %s", c.Market, c.Class, c.DataCentre)
}

// market holds the prices of one moment.
type market struct {
	offers  []offer // that may be ordered now, cheapest first
	choices map[Choice]offer
}

// newMarket works the prices out. The effective price of a reclaimable
// instance adds the warm-up of its replacements and the work that is lost.
func newMarket(s State) market {
	m := market{choices: make(map[Choice]offer)}
	for _, p := range s.Prices {
		o := offer{choice: Choice{DataCentre: p.DataCentre, Class: p.Class, Market: p.Market}, perHour: p.PerHour, effective: p.PerHour}
		if p.Market == provider.Reclaimable {
			wasted := (s.WarmUp + reclaimWaste).Hours()
			o.effective *= 1 + rateOf(s.Rates, o.choice).PerHour()*wasted
		}
		m.choices[o.choice] = o
	}
	m.addOffers(s)
	return m
}

// addOffers lists what the policy allows, has a price and is not refused. The
// order of the policy's classes decides between equals.
func (m *market) addOffers(s State) {
	for _, dc := range s.Policy.DataCentres {
		for _, class := range s.Policy.Classes {
			for _, kind := range []provider.Market{provider.Reclaimable, provider.OnDemand} {
				c := Choice{DataCentre: dc, Class: class, Market: kind}
				if o, known := m.choices[c]; known && !slices.Contains(s.Refused, c) {
					m.offers = append(m.offers, o)
				}
			}
		}
	}
	slices.SortStableFunc(m.offers, func(a, b offer) int { return cmp.Compare(a.effective, b.effective) })
}

// cheapestIn returns the best offer of a data centre.
func (m market) cheapestIn(dc entity.DataCentreID) (offer, bool) {
	i := slices.IndexFunc(m.offers, func(o offer) bool { return o.choice.DataCentre == dc })
	if i < 0 {
		return offer{}, false
	}
	return m.offers[i], true
}

// of returns the price of a choice; 0 when it has none.
func (m market) of(c Choice) offer { return m.choices[c] }

// live returns the number of servers that are not leaving, and the cost of all.
func (m market) live(s State) (live int, cost float64) {
	for _, server := range s.Servers {
		cost += m.of(server.Choice).perHour
		if server.State != Leaving {
			live++
		}
	}
	return live, cost
}

func (m market) dearestFirst(servers []Server) []Server {
	out := slices.Clone(servers)
	slices.SortStableFunc(out, func(a, b Server) int {
		return cmp.Compare(m.of(b.Choice).effective, m.of(a.Choice).effective)
	})
	return out
}

func rateOf(rates []Rate, c Choice) Rate {
	i := slices.IndexFunc(rates, func(r Rate) bool { return r.DataCentre == c.DataCentre && r.Class == c.Class })
	if i < 0 {
		return Rate{DataCentre: c.DataCentre, Class: c.Class}
	}
	return rates[i]
}
