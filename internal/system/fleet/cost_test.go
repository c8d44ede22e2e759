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
	meanPriceRatio        = 0.3  // mean price of reclaimable instances, as a ratio of the on-demand price
	dailyLowRequests      = 60   // concurrent requests at the day's minimum
	dailyHighRequests     = 200  // concurrent requests at the day's maximum
	reclaimWavesPerDay    = 2    // mass reclaims in each data centre
	priceStepDeviation    = 0.06 // standard deviation of one step of the price's logarithm; over many steps that of the logarithm tends to 0.3
	singleReclaimsPerHour = 0.02 // reclaims of each single instance
	reclaimNotice         = 30 * time.Second
	minWithinTarget       = 0.95 // fraction of the time in which the load must be within the target utilisation
)

// priceView returns the prices that a planner is given in place of the real
// ones.
type priceView func(real []provider.Price) []provider.Price

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

// withMeanPrices replaces the prices of reclaimable instances by their mean, so
// that the planner spreads servers evenly.
func withMeanPrices(p []provider.Price) []provider.Price {
	out := append([]provider.Price{}, p...)
	for i := range out {
		if out[i].Market == provider.Reclaimable {
			out[i].PerHour = meanPriceRatio
		}
	}
	return out
}

// costResult is the outcome of one day with one priceView.
type costResult struct {
	cost         float64 // in prices of one on-demand instance hour
	withinTarget float64 // fraction of the time in which the load was within the target utilisation
	withinSlots  float64 // fraction of the time in which every request had a slot
	lostServers  int
}

// simulateDay runs one planner through a day with a daily curve of load, prices
// that vary independently in each data centre, mass reclaims of all reclaimable
// instances of one data centre, and reclaims of single instances. The market
// conditions depend on the seed alone.
func simulateDay(seed uint64, stepDeviation float64, view priceView) costResult {
	svc := testService(6, 60)
	w := newWorld(seed, 1, svc)
	conditions := newMarketConditions(seed)
	conditions.stepDeviation = stepDeviation
	var r costResult
	const day = 24 * time.Hour
	const warmUp = time.Hour // time before the measurement starts
	start := w.now
	withinTarget, withinSlots, steps := 0, 0, 0
	for w.now.Sub(start) < warmUp+day {
		since := w.now.Sub(start)
		conditions.advance(w, since)
		w.prices = view(conditions.prices)
		w.load = Load{Busy: dayLoad(since)}
		w.run(10 * time.Second)
		if since < warmUp {
			continue
		}
		steps++
		serving, _ := w.running()
		slots := float64(serving * svc.Fleet.SlotsPerHost)
		if float64(w.load.Busy) <= slots*targetUtilisation {
			withinTarget++
		}
		if float64(w.load.Busy) <= slots {
			withinSlots++
		}
		r.cost += hourlyCost(w, conditions.prices) * (10 * time.Second).Hours()
	}
	r.withinTarget = float64(withinTarget) / float64(steps)
	r.withinSlots = float64(withinSlots) / float64(steps)
	r.lostServers = w.events[event.FleetServerLost]
	return r
}

func dayLoad(since time.Duration) int {
	phase := 2 * math.Pi * since.Hours() / 24
	return int(dailyLowRequests + (dailyHighRequests-dailyLowRequests)*(1-math.Cos(phase))/2)
}

// hourlyCost returns the cost per hour of all live instances.
func hourlyCost(w *world, prices []provider.Price) float64 {
	m := newPriceTable(State{Prices: prices})
	total := 0.0
	for _, i := range w.instances {
		if i.endedAt.IsZero() {
			total += m.offerOf(Choice{DataCentre: i.DataCentre, Class: i.Class, Market: i.Market}).perHour
		}
	}
	return total
}

// marketConditions generates the prices and reclaims of a simulated day.
type marketConditions struct {
	prices        []provider.Price
	logPriceRatio map[entity.DataCentreID]float64 // logarithm of the price's ratio to the mean price
	rng           interface{ Float64() float64 }
	norm          interface{ NormFloat64() float64 }
	stepDeviation float64 // standard deviation of one step of logPriceRatio
}

func newMarketConditions(seed uint64) *marketConditions {
	rng := newWorld(seed^0xbeef, 0, testService(0, 0)).rng
	return &marketConditions{prices: testPrices(meanPriceRatio), logPriceRatio: make(map[entity.DataCentreID]float64), rng: rng, norm: rng}
}

// advance changes the prices and triggers reclaims every five minutes.
func (e *marketConditions) advance(w *world, since time.Duration) {
	const interval = 5 * time.Minute
	if since%interval != 0 {
		return
	}
	const persistence = 0.98 // fraction of logPriceRatio that one step retains
	variance := e.stepDeviation * e.stepDeviation / (1 - persistence*persistence)
	for i, p := range e.prices {
		if p.Market != provider.Reclaimable {
			continue
		}
		e.logPriceRatio[p.DataCentre] = persistence*e.logPriceRatio[p.DataCentre] + e.stepDeviation*e.norm.NormFloat64()
		e.prices[i].PerHour = meanPriceRatio * math.Exp(e.logPriceRatio[p.DataCentre]-variance/2)
		if e.rng.Float64() < reclaimWavesPerDay*interval.Hours()/24 {
			w.reclaim(p.DataCentre, reclaimNotice)
		}
	}
	for _, i := range w.instances {
		if e.rng.Float64() < singleReclaimsPerHour*interval.Hours() && i.Market == provider.Reclaimable && i.endedAt.IsZero() && i.State != provider.Leaving {
			i.State = provider.Leaving
			w.schedule(reclaimNotice, func() {
				if i.endedAt.IsZero() {
					w.endInstance(i)
				}
			})
		}
	}
}

// With the same constant price everywhere, the choice of data centre gains
// nothing. Reclaimable servers must still make the fleet cheaper than one on
// demand only.
func TestPlan_CostWithConstantPrices(t *testing.T) {
	planned, onDemand := simulateDay(1, 0, realPrices), simulateDay(1, 0, onDemandOnly)
	t.Logf("planned %+v, on demand only %+v; cost ratio %.3f", planned, onDemand, planned.cost/onDemand.cost)
	if ratio := planned.cost / onDemand.cost; ratio > 0.45 || planned.withinTarget < minWithinTarget {
		t.Errorf("costs %.3f of on demand only; within the target utilisation for %.3f of the time", ratio, planned.withinTarget)
	}
}

// Compares the cost at the latency target with a fleet on demand only, and with
// a fleet that is spread without regard to the current prices.
func TestPlan_CostAtTheLatencyTarget(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		planned := simulateDay(seed, priceStepDeviation, realPrices)
		onDemand := simulateDay(seed, priceStepDeviation, onDemandOnly)
		priceBlind := simulateDay(seed, priceStepDeviation, withMeanPrices)
		t.Logf("seed %d: planned %+v, on demand only %+v, without current prices %+v; cost ratios %.3f and %.3f",
			seed, planned, onDemand, priceBlind, planned.cost/onDemand.cost, planned.cost/priceBlind.cost)
		if ratio := planned.cost / onDemand.cost; ratio > 0.45 {
			t.Errorf("seed %d: costs %.3f of on demand only", seed, ratio)
		}
		if planned.cost > priceBlind.cost {
			t.Errorf("seed %d: costs more than without current prices: ratio %.3f", seed, planned.cost/priceBlind.cost)
		}
		if planned.withinTarget < minWithinTarget {
			t.Errorf("seed %d: within the target utilisation for only %.3f of the time", seed, planned.withinTarget)
		}
	}
}
