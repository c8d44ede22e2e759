// Package capacity decides how many backend servers of each class a service
// should have in each data centre. It is made for a demand that varies, and for
// mass reclaims that take all reclaimable servers of a data centre while no new
// ones are available there.
//
// Cheap reclaimable servers carry the load. There are more of them than the
// load needs, and they are spread so that one mass reclaim leaves most of them.
// On-demand servers make up what would be missing if the data centre with the
// most reclaimable servers lost them now, since a replacement takes longer to
// start than the notice of a reclaim lasts. In calm times that is nothing; while
// the reclaimable servers of one data centre are gone, it covers the loss of the
// next one. They are released when reclaimable servers are back. When the demand falls,
// they are released sooner than reclaimable ones, which cost less. When a data centre is at its
// limit, on-demand servers replace reclaimable ones only where no reclaimable
// ones are available, so that a mass reclaim in one data centre does not
// displace the reclaimable servers of the others.
//
// Servers that state a limit far below what they usually get do not count: others are
// added for them as far as the data centres' limits allow.
package capacity

import (
	"cmp"
	"math"
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// DataCentreState is the state of one data centre.
type DataCentreState struct {
	DataCentre  entity.DataCentreID
	Price       float64 // ratio to the base price
	OnDemand    int     // on-demand servers that exist or are starting
	Reclaimable int     // reclaimable servers that exist
	Exhausted   bool    // no more reclaimable servers are available now
}

// Input is the input of Plan, for one service.
type Input struct {
	DataCentres      []DataCentreState
	Min, Max         int     // servers of both classes together in one data centre
	ReclaimablePrice float64 // as a ratio of the on-demand price
	BusyServers      float64 // number of servers that the demand keeps fully busy
	OnDemandBusy     float64 // the same, for on-demand servers that replace reclaimable ones
	Withheld         float64 // number of existing servers that do not count, because of the limits they state
}

// Target is the number of servers that a data centre should have.
type Target struct {
	DataCentre  entity.DataCentreID
	OnDemand    int
	Reclaimable int
}

const (
	// reclaimablePerBusy is the number of reclaimable servers for each busy
	// server if they cost next to nothing.
	reclaimablePerBusy = 2.6
	// minTotalPerBusy is the smallest number of servers of both classes for
	// each busy server after the loss of the reclaimable servers of one data
	// centre, if reclaimable servers cost next to nothing.
	minTotalPerBusy = 0.9
	// onDemandOnlyPerBusy is the number of on-demand servers for each busy
	// server if reclaimable servers are not worth their risk.
	onDemandOnlyPerBusy = 1.25
	// maxReclaimablePrice is the price, as a ratio of the on-demand price, at
	// which reclaimable servers are not worth their risk any more.
	maxReclaimablePrice = 0.7
)

// Plan returns the target for each data centre, the cheapest data centre first.
func Plan(in Input) []Target {
	dataCentres := append([]DataCentreState(nil), in.DataCentres...)
	sort.SliceStable(dataCentres, func(i, j int) bool { return dataCentres[i].Price < dataCentres[j].Price })
	targets := make([]Target, len(dataCentres))
	for i, d := range dataCentres {
		targets[i] = Target{DataCentre: d.DataCentre}
	}
	reclaimableShare := math.Max(0, 1-in.ReclaimablePrice/maxReclaimablePrice)
	reclaimable := int(math.Ceil(in.BusyServers * reclaimablePerBusy * reclaimableShare))
	total := int(math.Ceil(in.OnDemandBusy*minTotalPerBusy*reclaimableShare + in.BusyServers*onDemandOnlyPerBusy*(1-reclaimableShare)))
	onDemand := total - min(survivingReclaimable(dataCentres), reclaimable)

	hasCapacity := func(i int) bool { return targets[i].total() < in.Max }
	hasOnDemandCapacity := func(i int) bool {
		return targets[i].OnDemand+dataCentres[i].protectedReclaimable(&targets[i], in.Max) < in.Max
	}
	addEvenly(targets, reclaimable, hasCapacity, reclaimableField)
	// Servers stay where they are: one that is stopped here and started elsewhere is
	// missing until the new one has started.
	unplacedOnDemand := addEvenly(targets, onDemand, func(i int) bool {
		return targets[i].OnDemand < dataCentres[i].OnDemand && hasOnDemandCapacity(i)
	}, onDemandField)
	addEvenly(targets, unplacedOnDemand, hasOnDemandCapacity, onDemandField)
	for i := range targets {
		t := &targets[i]
		t.Reclaimable = min(t.Reclaimable, in.Max-t.OnDemand)
		t.OnDemand = max(t.OnDemand, in.Min-t.Reclaimable)
	}
	unplaced := addEvenly(targets, int(in.Withheld), func(i int) bool { return hasCapacity(i) && !dataCentres[i].Exhausted }, reclaimableField)
	addEvenly(targets, unplaced, hasCapacity, onDemandField)
	return targets
}

// survivingReclaimable returns how many of the existing reclaimable servers are left
// if the data centre that has most of them loses all of its own.
func survivingReclaimable(dataCentres []DataCentreState) int {
	sum, most := 0, 0
	for _, d := range dataCentres {
		sum += d.Reclaimable
		most = max(most, d.Reclaimable)
	}
	return sum - most
}

// protectedReclaimable returns how many reclaimable servers of the target may
// not be replaced by on-demand servers. Reclaimable servers that do not exist
// yet count only as far as the limit allows them beside the existing on-demand
// servers, and not at all while none are available.
func (d *DataCentreState) protectedReclaimable(target *Target, limit int) int {
	running := min(d.Reclaimable, target.Reclaimable)
	if d.Exhausted {
		return running
	}
	return max(running, min(target.Reclaimable, limit-d.OnDemand))
}

func (t *Target) total() int { return t.OnDemand + t.Reclaimable }

func onDemandField(t *Target) *int { return &t.OnDemand }

func reclaimableField(t *Target) *int { return &t.Reclaimable }

// addEvenly adds servers one by one, each to the data centre that has fewest of
// those that have capacity. It returns the number of servers that no data centre has
// capacity for.
func addEvenly(targets []Target, count int, hasCapacity func(int) bool, field func(*Target) *int) (unplaced int) {
	for ; count > 0; count-- {
		var fewest *Target
		for i := range targets {
			if t := &targets[i]; hasCapacity(i) && (fewest == nil || *field(t) < *field(fewest)) {
				fewest = t
			}
		}
		if fewest == nil {
			return count
		}
		*field(fewest)++
	}
	return 0
}

const (
	// shrinkDelay is how long a lower demand must last before the level falls by which
	// reclaimable servers are planned.
	shrinkDelay = 25 * time.Second
	// onDemandShrinkBootTimes is the same for on-demand servers, in boot times of a server, and
	// minOnDemandShrinkDelay its minimum.
	minOnDemandShrinkDelay  = 5 * time.Second
	onDemandShrinkBootTimes = 2
	// shrinkThreshold is the ratio to the current level that the demand must
	// not exceed for the level to fall.
	shrinkThreshold = 0.85
)

// Level is the number of busy servers for which the capacity of one service is
// planned. It follows a rising demand at once and a falling one after a delay,
// so that a short drop removes no servers.
type Level struct {
	busyServers   float64
	lowerSince    time.Time     // since when the demand has been at or below the threshold
	maxWhileLower float64       // the highest demand since then
	delay         time.Duration // 0: shrinkDelay
}

// NewOnDemandLevel returns the level by which on-demand servers are planned that take the given
// time to start. It falls when a demand has been lower for about as long as it takes to replace
// what is given up.
func NewOnDemandLevel(bootTime time.Duration) *Level {
	return &Level{delay: min(max(onDemandShrinkBootTimes*bootTime, minOnDemandShrinkDelay), shrinkDelay)}
}

// Update updates the level with the number of servers that the current demand
// keeps busy, and returns it.
func (l *Level) Update(now time.Time, busyServers float64) float64 {
	switch {
	case busyServers > l.busyServers:
		l.busyServers, l.lowerSince = busyServers, time.Time{}
	case busyServers > l.busyServers*shrinkThreshold:
		l.lowerSince = time.Time{}
	case l.lowerSince.IsZero():
		l.lowerSince, l.maxWhileLower = now, busyServers
	default:
		l.maxWhileLower = max(l.maxWhileLower, busyServers)
		if now.Sub(l.lowerSince) >= cmp.Or(l.delay, shrinkDelay) {
			l.busyServers, l.lowerSince = l.maxWhileLower, time.Time{}
		}
	}
	return l.busyServers
}

// BusyServers returns the level, in busy servers.
func (l *Level) BusyServers() float64 { return l.busyServers }

// Adopt sets the level to the one with which another daemon has planned before.
func (l *Level) Adopt(busyServers float64) { l.busyServers, l.lowerSince = busyServers, time.Time{} }
