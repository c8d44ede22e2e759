// Package capacity decides how many backend servers of each class to order in
// each data centre. It answers a demand that swings, and waves of reclaims that
// take all reclaimable servers of a data centre while no others can be had:
// cheap reclaimable servers, more than the load needs and spread so that one
// wave leaves most of them, carry the load; what they lack after a wave is
// ordered on demand at once, and given back when they return. At the limit of a
// data centre on-demand servers take the place of reclaimable ones only where
// none can be had, so that a wave in one place does not drive them out of the
// others.
package capacity

import (
	"math"
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Place is a data centre with its price in parts of the base price.
type Place struct {
	DataCentre  entity.DataCentreID
	Price       float64
	OnDemand    int  // on-demand servers that are there
	Reclaimable int  // reclaimable servers that are there
	Dry         bool // no more reclaimable ones can be had at present
}

// Input is what the decision is made from.
type Input struct {
	Places           []Place
	Min, Max         int     // in one data centre, both classes together
	ReclaimablePrice float64 // in parts of an on-demand server's price
	Work             float64 // servers that the demand keeps busy all the time
}

// Want is the number of servers wanted in a data centre.
type Want struct {
	DataCentre  entity.DataCentreID
	OnDemand    int
	Reclaimable int
}

const (
	// basePart is how many on-demand servers go with each busy one at least.
	basePart = 0.25
	// reclaimablePart is how many reclaimable servers go with each busy one, where
	// they cost next to nothing.
	reclaimablePart = 2.6
	// totalPart is how many servers of both classes go with each busy one at least.
	totalPart = 0.9
	// alonePart is how many on-demand servers go with each busy one where
	// reclaimable ones are not worth their risk.
	alonePart = 1.25
	// dearPrice is the price at which reclaimable servers are not worth their
	// risk, in parts of an on-demand server's.
	dearPrice = 0.7
)

// Plan returns the wanted numbers.
func Plan(in Input) []Want {
	places := append([]Place(nil), in.Places...)
	sort.SliceStable(places, func(i, j int) bool { return places[i].Price < places[j].Price })
	wants := make([]Want, len(places))
	for i, p := range places {
		wants[i] = Want{DataCentre: p.DataCentre}
	}
	cheap := math.Max(0, 1-in.ReclaimablePrice/dearPrice)
	base := int(math.Ceil(in.Work * basePart))
	reclaimable := int(math.Ceil(in.Work * reclaimablePart * cheap))
	total := int(math.Ceil(in.Work * (totalPart*cheap + alonePart*(1-cheap))))
	there := 0
	for _, p := range places {
		there += p.Reclaimable
	}

	anyRoom := func(i int) bool { return wants[i].servers() < in.Max }
	roomOnDemand := func(i int) bool { return wants[i].OnDemand+places[i].kept(&wants[i], in.Max) < in.Max }
	spread(wants, base, anyRoom, onDemand)
	spread(wants, reclaimable, anyRoom, reclaimableServers)
	spread(wants, total-base-min(there, reclaimable), roomOnDemand, onDemand)
	for i := range wants {
		w := &wants[i]
		w.Reclaimable = min(w.Reclaimable, in.Max-w.OnDemand)
		w.OnDemand = max(w.OnDemand, in.Min-w.Reclaimable)
	}
	return wants
}

// kept returns how many reclaimable servers on-demand ones may not replace. Those
// that are still to come replace no on-demand server that is there.
func (p *Place) kept(w *Want, limit int) int {
	there := min(p.Reclaimable, w.Reclaimable)
	if p.Dry {
		return there
	}
	return max(there, min(w.Reclaimable, limit-p.OnDemand))
}

func (w *Want) servers() int { return w.OnDemand + w.Reclaimable }

func onDemand(w *Want) *int { return &w.OnDemand }

func reclaimableServers(w *Want) *int { return &w.Reclaimable }

// spread adds servers one by one where there is room and there are fewest.
func spread(wants []Want, count int, room func(int) bool, field func(*Want) *int) {
	for ; count > 0; count-- {
		var least *Want
		for i := range wants {
			if w := &wants[i]; room(i) && (least == nil || *field(w) < *field(least)) {
				least = w
			}
		}
		if least == nil {
			return
		}
		*field(least)++
	}
}

const (
	// settle is how long a lower demand must last before fewer servers are wanted.
	settle = 25 * time.Second
	// shrinkMargin is how far below the present level the demand must be.
	shrinkMargin = 0.85
)

// Level follows the work of one service: up at once, down slowly, so that a
// short lull takes no servers away.
type Level struct {
	work  float64
	since time.Time // since when the work has been lower
	most  float64   // the highest work since then
}

// Follow takes the present work and returns the level to plan for.
func (l *Level) Follow(now time.Time, work float64) float64 {
	switch {
	case work > l.work:
		l.work, l.since = work, time.Time{}
	case work > l.work*shrinkMargin:
		l.since = time.Time{}
	case l.since.IsZero():
		l.since, l.most = now, work
	default:
		l.most = max(l.most, work)
		if now.Sub(l.since) >= settle {
			l.work, l.since = l.most, time.Time{}
		}
	}
	return l.work
}

// Work returns the level.
func (l *Level) Work() float64 { return l.work }

// Adopt takes the level of the daemon that has planned until now.
func (l *Level) Adopt(work float64) { l.work, l.since = work, time.Time{} }
