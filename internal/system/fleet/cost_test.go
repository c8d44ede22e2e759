package fleet

import (
	"math"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	meanRatio      = 0.3 // mean price of reclaimable to on demand
	dayLow         = 60  // requests at once, at the day's low
	dayHigh        = 200
	wavesPerDay    = 2    // of each data centre
	priceSpread    = 0.06 // of one step; the logarithm's deviation settles at 0.3
	singlesPerHour = 0.02 // reclaims of one instance
	notice         = 30 * time.Second
	latencyShare   = 0.95 // of the time, that the load must be under utilisation
)

// policyView says which prices a planner is told.
type policyView func(real []provider.Price) []provider.Price

func realPrices(p []provider.Price) []provider.Price { return p }

func onDemandOnly(p []provider.Price) []provider.Price {
	var out []provider.Price
	for _, price := range p {
		if price.Market == provider.OnDemand {
			out = append(out, price)
		}
	}
	return out
}

// withoutPrices tells the mean in place of the price, so that servers are
// spread evenly.
func withoutPrices(p []provider.Price) []provider.Price {
	out := append([]provider.Price{}, p...)
	for i := range out {
		if out[i].Market == provider.Reclaimable {
			out[i].PerHour = meanRatio
		}
	}
	return out
}

// costResult is what one day of one policy came to.
type costResult struct {
	cost    float64 // in hours of one instance on demand
	onTime  float64 // share of the time in which the load was under utilisation
	covered float64 // share of the time in which every request had a slot
	lost    int
}

// simulateDay runs one planner through a day with a daily curve of load,
// prices that move by themselves in each data centre, waves that take all
// reclaimable instances of one, and single reclaims. The weather depends on
// the seed alone.
func simulateDay(seed uint64, spread float64, view policyView) costResult {
	svc := testService(6, 60)
	w := newWorld(seed, 1, svc)
	weather := newWeather(seed)
	weather.spread = spread
	var r costResult
	const day = 24 * time.Hour
	const warm = time.Hour // before the measurement
	start := w.now
	onTime, covered, steps := 0, 0, 0
	for w.now.Sub(start) < warm+day {
		since := w.now.Sub(start)
		weather.blow(w, since)
		w.prices = view(weather.prices)
		w.load = Load{Busy: dayLoad(since)}
		w.run(10 * time.Second)
		if since < warm {
			continue
		}
		steps++
		serving, _ := w.running()
		slots := float64(serving * svc.Fleet.SlotsPerHost)
		if float64(w.load.Busy) <= slots*utilisation {
			onTime++
		}
		if float64(w.load.Busy) <= slots {
			covered++
		}
		r.cost += bill(w, weather.prices) * (10 * time.Second).Hours()
	}
	r.onTime = float64(onTime) / float64(steps)
	r.covered = float64(covered) / float64(steps)
	r.lost = w.events[event.FleetServerLost]
	return r
}

func dayLoad(since time.Duration) int {
	phase := 2 * math.Pi * since.Hours() / 24
	return int(dayLow + (dayHigh-dayLow)*(1-math.Cos(phase))/2)
}

// bill returns what all live instances cost an hour.
func bill(w *world, prices []provider.Price) float64 {
	m := newMarket(State{Prices: prices})
	total := 0.0
	for _, i := range w.instances {
		if i.ended.IsZero() {
			total += m.of(Choice{DataCentre: i.DataCentre, Class: i.Class, Market: i.Market}).perHour
		}
	}
	return total
}

// weather is what the planner cannot choose.
type weather struct {
	prices []provider.Price
	level  map[entity.DataCentreID]float64 // logarithm of the price against the mean
	rng    interface{ Float64() float64 }
	norm   interface{ NormFloat64() float64 }
	spread float64 // of one step of the level
}

func newWeather(seed uint64) *weather {
	rng := newWorld(seed^0xbeef, 0, testService(0, 0)).rng
	return &weather{prices: testPrices(meanRatio), level: make(map[entity.DataCentreID]float64), rng: rng, norm: rng}
}

// blow moves prices each five minutes and brings reclaims about.
func (e *weather) blow(w *world, since time.Duration) {
	const every = 5 * time.Minute
	if since%every != 0 {
		return
	}
	const pull = 0.98
	variance := e.spread * e.spread / (1 - pull*pull)
	for i, p := range e.prices {
		if p.Market != provider.Reclaimable {
			continue
		}
		e.level[p.DataCentre] = pull*e.level[p.DataCentre] + e.spread*e.norm.NormFloat64()
		e.prices[i].PerHour = meanRatio * math.Exp(e.level[p.DataCentre]-variance/2)
		if e.rng.Float64() < wavesPerDay*every.Hours()/24 {
			w.reclaim(p.DataCentre, notice)
		}
	}
	for _, i := range w.instances {
		if e.rng.Float64() < singlesPerHour*every.Hours() && i.Market == provider.Reclaimable && i.ended.IsZero() && i.State != provider.Leaving {
			i.State = provider.Leaving
			w.after(notice, func() {
				if i.ended.IsZero() {
					w.end(i)
				}
			})
		}
	}
}

// With the same constant price everywhere nothing is gained by choosing.
func TestPlan_CostWithConstantPrices(t *testing.T) {
	own, demand := simulateDay(1, 0, realPrices), simulateDay(1, 0, onDemandOnly)
	t.Logf("own %+v, on demand %+v; ratio %.3f", own, demand, own.cost/demand.cost)
	if ratio := own.cost / demand.cost; ratio > 0.45 || own.onTime < latencyShare {
		t.Errorf("%.3f of on demand only, under the target utilisation for %.3f of the time", ratio, own.onTime)
	}
}

// Cost at the latency target, against on demand only and against spreading
// without prices.
func TestPlan_CostAtTheLatencyTarget(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		own := simulateDay(seed, priceSpread, realPrices)
		demand := simulateDay(seed, priceSpread, onDemandOnly)
		spread := simulateDay(seed, priceSpread, withoutPrices)
		t.Logf("seed %d: own %+v, on demand %+v, without prices %+v; ratios %.3f and %.3f",
			seed, own, demand, spread, own.cost/demand.cost, own.cost/spread.cost)
		if ratio := own.cost / demand.cost; ratio > 0.45 {
			t.Errorf("seed %d: %.3f of on demand only", seed, ratio)
		}
		if own.cost > spread.cost {
			t.Errorf("seed %d: dearer than without prices: %.3f", seed, own.cost/spread.cost)
		}
		if own.onTime < latencyShare {
			t.Errorf("seed %d: the load was under the target utilisation for %.3f of the time", seed, own.onTime)
		}
	}
}
