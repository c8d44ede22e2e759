// Package capacity decides how many backend servers of each class to order in
// each data centre. It answers a demand that swings and waves of reclaims that
// take all reclaimable servers of a data centre while no others can be had: a
// base on demand carries the ordinary load, cheap reclaimable servers are added
// while they last.
package capacity

import (
	"math"
	"sort"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Place is a data centre with its price in parts of the base price.
type Place struct {
	DataCentre entity.DataCentreID
	Price      float64
}

// Input is what the decision is made from.
type Input struct {
	Places           []Place
	Min, Max         int     // in one data centre, both classes together
	ReclaimablePrice float64 // in parts of an on-demand server's price
	Work             float64 // servers that the present demand keeps busy all the time
}

// Want is the number of servers wanted in a data centre.
type Want struct {
	DataCentre  entity.DataCentreID
	OnDemand    int
	Reclaimable int
}

const (
	// busyPart is how busy the on-demand servers may be.
	busyPart = 0.8
	// reclaimablePart is how many reclaimable servers go with each busy one.
	reclaimablePart = 0.0
)

// Plan returns the wanted numbers, cheapest data centre first.
func Plan(in Input) []Want {
	places := append([]Place(nil), in.Places...)
	sort.SliceStable(places, func(i, j int) bool { return places[i].Price < places[j].Price })
	wants := make([]Want, len(places))
	for i, p := range places {
		wants[i] = Want{DataCentre: p.DataCentre, OnDemand: in.Min}
	}
	base := int(math.Ceil(in.Work / busyPart))
	spread(wants, base-in.Min*len(places), in.Max, func(w *Want) *int { return &w.OnDemand })
	extra := int(math.Ceil(in.Work * reclaimablePart))
	spread(wants, extra, in.Max, func(w *Want) *int { return &w.Reclaimable })
	return wants
}

// spread adds servers one by one where there are fewest.
func spread(wants []Want, count, limit int, field func(*Want) *int) {
	for ; count > 0; count-- {
		var least *Want
		for i := range wants {
			w := &wants[i]
			if w.OnDemand+w.Reclaimable >= limit {
				continue
			}
			if least == nil || *field(w) < *field(least) {
				least = w
			}
		}
		if least == nil {
			return
		}
		*field(least)++
	}
}
