package shedding

import (
	"fmt"
	"math"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// shortageRatio is the ratio of a service's slots that must be taken for it to count as
	// short of room.
	shortageRatio = 0.75
	// spareDeviations is the part of each backend server's slots that is left for the random
	// differences between servers, in square roots of the number of its slots.
	spareDeviations = 0.7
	// minUsedRatio is the lowest ratio of the slots that the daemons use together.
	minUsedRatio = 0.5
	// displacedWeight is the weight of less urgent requests that hold slots. Backend servers
	// give the next slots to the more urgent ones, so they delay these only a little.
	displacedWeight = 0.3
	// protectedRatio is the ratio of the overall share of served requests below which a rank is
	// not held back by the reserve. It is twice what a rank gets at least, since some of its
	// requests find no room all the same.
	protectedRatio = 0.5
	// burstDeviations is the number of standard deviations of a random arrival process by which
	// a daemon may exceed its part of an idle service.
	burstDeviations = 3.0
	// burstRequests is the number of requests by which it may exceed that part in any case.
	burstRequests = 2.0
)

// Request describes a request that is to be sent.
type Request struct {
	Service   entity.ServiceName
	Rank      int           // 0 is the most urgent
	Draw      float64       // from 0 to 1, evenly distributed over the requests
	Expected  time.Duration // until the first event at the chosen backend server
	Objective time.Duration // time left until the first event is late; 0: it has no objective
}

// Room describes what a service has, as this daemon sees it.
type Room struct {
	Servers int           // usable backend servers
	Slots   int           // of these servers
	Taken   float64       // requests at these servers, of all daemons
	Share   float64       // this daemon's part of the demand, from 0 to 1
	Age     time.Duration // mean age of the view of the other daemons' requests, for logs
}

// short reports whether the service is short of room.
func (r *Room) short() bool { return r.Taken >= shortageRatio*float64(r.Slots) }

// Reason says why a request is refused.
type Reason string

const (
	// Late requests are expected to miss their objective while the service is short of room.
	Late Reason = "late"
	// NoRoom is for requests beyond this daemon's part of the slots.
	NoRoom Reason = "no-room"
	// Reserved is for requests that would need a slot that is kept for more urgent ones.
	Reserved Reason = "reserved"
)

// Decision says whether a request is sent, with the inputs.
type Decision struct {
	Reason  Reason  // "": it is sent
	Held    float64 // requests of this daemon at backend servers, weighted by their urgency
	Limit   float64 // this daemon's part of the slots
	Reserve float64 // slots kept for more urgent requests
}

// Decide decides on a request that has arrived.
func (s *Shedder) Decide(now time.Time, q Request, room Room) Decision {
	v := s.service(now, q.Service)
	d := Decision{Limit: room.limit()}
	v.accrue(now)
	v.limit = d.Limit
	if v.underserved(q.Rank, q.Draw) {
		d.Held = v.heldBefore(0)
	} else {
		d.Held = v.heldBefore(q.Rank)
		d.Reserve = v.reserve(q.Rank)
	}
	d.Reason = v.refusalReason(&q, &room, &d)
	if d.Reason != "" {
		v.ranks[q.Rank].refused++
	}
	return d
}

// refusalReason returns why a request is refused, "" if it is sent.
func (v *service) refusalReason(q *Request, room *Room, d *Decision) Reason {
	burst := room.burst(d.Limit)
	extra := v.saved() + burst
	maxHeld := max(room.part(), maxSaved) + burst
	switch {
	case room.short() && q.Objective != 0 && q.Expected > q.Objective:
		return Late
	case d.Held+1 > d.Limit+extra || float64(v.held+1) > maxHeld:
		return NoRoom
	case d.Held+1+d.Reserve > d.Limit+extra || float64(v.held+1)+d.Reserve > maxHeld:
		return Reserved
	}
	return ""
}

// part returns this daemon's part of the slots, and of those that are free in its view.
func (r *Room) part() float64 {
	if r.Slots == 0 {
		return 0
	}
	free := max(1-r.Taken/float64(r.Slots), 0)
	return r.Share * float64(r.Slots) * (1 + free)
}

// burst returns by how much this daemon may exceed its limit. It falls to zero as the service
// gets short of room.
func (r *Room) burst(limit float64) float64 {
	headroom := 1 - r.Taken/(shortageRatio*max(float64(r.Slots), 1))
	return max(headroom, 0) * (burstRequests + burstDeviations*math.Sqrt(limit))
}

// limit returns the number of requests that this daemon may have at the backend servers. It
// leaves a part of the slots free.
func (r *Room) limit() float64 {
	perServer := float64(r.Slots) / float64(max(r.Servers, 1))
	return r.part() * max(1-spareDeviations/math.Sqrt(max(perServer, 1)), minUsedRatio)
}

// heldBefore returns the requests at backend servers that a request of a rank has to wait for.
func (v *service) heldBefore(rank int) float64 {
	held := 0.0
	for i := range v.ranks {
		weight := 1.0
		if i > rank {
			weight = displacedWeight
		}
		held += weight * float64(v.ranks[i].held)
	}
	return held
}

// reserve returns the slots that more urgent requests will need beyond those that they have.
func (v *service) reserve(rank int) float64 {
	work, held := 0.0, 0
	for i := range rank {
		work += v.ranks[i].work / demandTimeConstant.Seconds()
		held += v.ranks[i].held
	}
	return max(work+math.Sqrt(work)-float64(held), 0)
}

// underserved reports whether a rank has got less than protectedRatio of the share that all
// requests have got. A daemon that sees few requests of the rank rounds by the request's draw.
func (v *service) underserved(rank int, draw float64) bool {
	arrived, admitted := 0.0, 0.0
	for i := range v.ranks {
		arrived += v.ranks[i].arrived
		admitted += v.ranks[i].admitted
	}
	r := &v.ranks[rank]
	return (r.admitted+draw)*arrived < protectedRatio*admitted*r.arrived
}

// String returns the inputs of the decision, for logs.
func (d Decision) String() string {
	return fmt.Sprintf("held %.1f, limit %.2f, reserve %.2f", d.Held, d.Limit, d.Reserve)
}
