package fleet

import (
	"math"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// rateBook keeps the observed reclaims by data centre and class. Observations
// lose weight with time.
type rateBook struct {
	at    time.Time // up to when the rates are aged
	rates *entity.Table[Choice, Rate]
}

// rateKey leaves the market out: only reclaimable instances are observed.
func rateKey(c Choice) Choice { return Choice{DataCentre: c.DataCentre, Class: c.Class} }

func newRateBook(now time.Time, rows []Rate) rateBook {
	b := rateBook{at: now, rates: entity.NewTable[Choice, Rate]()}
	for _, r := range rows {
		b.rates.Put(Choice{DataCentre: r.DataCentre, Class: r.Class}, &r)
	}
	return b
}

// observe adds the time since the last observation for each running instance.
func (b *rateBook) observe(now time.Time, running []Choice) {
	passed := now.Sub(b.at)
	b.at = now
	keep := math.Exp2(-passed.Hours() / rateHalfLife.Hours())
	b.rates.All(func(_ Choice, r *Rate) bool {
		r.Reclaims *= keep
		r.Hours *= keep
		return true
	})
	for _, c := range running {
		b.of(c).Hours += passed.Hours()
	}
}

func (b *rateBook) reclaim(c Choice) { b.of(c).Reclaims++ }

func (b *rateBook) of(c Choice) *Rate {
	k := rateKey(c)
	r := b.rates.Get(k)
	if r == nil {
		r = &Rate{DataCentre: k.DataCentre, Class: k.Class}
		b.rates.Put(k, r)
	}
	return r
}

// rows returns the rates as the lease row keeps them.
func (b *rateBook) rows() []Rate {
	out := make([]Rate, 0, b.rates.Len())
	b.rates.All(func(_ Choice, r *Rate) bool {
		out = append(out, *r)
		return true
	})
	return out
}
