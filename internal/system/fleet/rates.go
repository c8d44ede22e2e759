package fleet

import (
	"math"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// rateTable holds the observed reclaims by data centre and class. Observations
// lose weight with time.
type rateTable struct {
	decayedTo time.Time // time up to which the rates have been decayed
	rates     *entity.Table[Choice, ReclaimRate]
}

// rateKey returns the choice without its market: only reclaimable instances are
// observed.
func rateKey(c Choice) Choice { return Choice{DataCentre: c.DataCentre, Class: c.Class} }

func newRateTable(now time.Time, rows []ReclaimRate) rateTable {
	b := rateTable{decayedTo: now, rates: entity.NewTable[Choice, ReclaimRate]()}
	for _, r := range rows {
		b.rates.Put(Choice{DataCentre: r.DataCentre, Class: r.Class}, &r)
	}
	return b
}

// observe decays the rates and adds the time since the last observation for
// each running instance.
func (b *rateTable) observe(now time.Time, running []Choice) {
	elapsed := now.Sub(b.decayedTo)
	b.decayedTo = now
	decay := math.Exp2(-elapsed.Hours() / rateHalfLife.Hours())
	b.rates.All(func(_ Choice, r *ReclaimRate) bool {
		r.Reclaims *= decay
		r.InstanceHours *= decay
		return true
	})
	for _, c := range running {
		b.rate(c).InstanceHours += elapsed.Hours()
	}
}

func (b *rateTable) addReclaim(c Choice) { b.rate(c).Reclaims++ }

func (b *rateTable) rate(c Choice) *ReclaimRate {
	k := rateKey(c)
	r := b.rates.Get(k)
	if r == nil {
		r = &ReclaimRate{DataCentre: k.DataCentre, Class: k.Class}
		b.rates.Put(k, r)
	}
	return r
}

// rows returns the rates in the form that the lease row stores.
func (b *rateTable) rows() []ReclaimRate {
	out := make([]ReclaimRate, 0, b.rates.Len())
	b.rates.All(func(_ Choice, r *ReclaimRate) bool {
		out = append(out, *r)
		return true
	})
	return out
}
