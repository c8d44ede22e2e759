// Package shedding decides which requests a daemon refuses while a service is short of
// room. Each daemon has a part of the service's slots, in proportion to its part of the
// demand, so that all daemons together send what the backend servers can run, without a
// message for each request and however old their views are. Within its part a daemon
// reserves slots for more urgent requests.
package shedding

import (
	"math"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

const (
	// demandTimeConstant is the time constant of the exponential decay of the demand by rank.
	demandTimeConstant = 2 * time.Second
	// holdGain is the weight of a new sample in the mean time for which requests hold their slot.
	holdGain = 0.05
	// minHold is the shortest time that a request counts as holding a slot.
	minHold = 5 * time.Millisecond
)

// Shedder holds this daemon's state of all services. It is not safe for concurrent use.
type Shedder struct {
	services *entity.Table[entity.ServiceName, service]
}

// New returns a shedder that has seen no request.
func New() *Shedder {
	return &Shedder{services: entity.NewTable[entity.ServiceName, service]()}
}

// service is this daemon's state of one service.
type service struct {
	decayedAt time.Time
	ranks     [placement.Ranks]rankState
	held      int     // requests that this daemon has at backend servers
	hold      float64 // mean time that a request holds its slot, in seconds; 0: none has ended
	limit     float64 // this daemon's part of the slots, when it last decided
	credit    float64 // slot-seconds of this daemon's part that it has left unused lately
	creditAt  time.Time
}

// rankState is what is known of the requests of one rank. All sums but held decay with
// demandTimeConstant.
type rankState struct {
	held     int     // requests at backend servers
	arrived  float64 // requests that arrived
	admitted float64 // requests that were sent
	refused  float64 // requests that were refused for lack of room
	work     float64 // slot-seconds that the arrived requests need
}

func (s *Shedder) service(now time.Time, name entity.ServiceName) *service {
	v := s.services.Get(name)
	if v == nil {
		v = &service{decayedAt: now, creditAt: now}
		s.services.Put(name, v)
	}
	v.decay(now)
	return v
}

// decay applies the exponential decay since the last call.
func (v *service) decay(now time.Time) {
	elapsed := now.Sub(v.decayedAt)
	if elapsed <= 0 {
		return
	}
	v.decayedAt = now
	remaining := math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	for i := range v.ranks {
		r := &v.ranks[i]
		r.arrived *= remaining
		r.admitted *= remaining
		r.refused *= remaining
		r.work *= remaining
	}
}

// Arrive counts a request that has arrived. Hold is the expected time for which it holds its slot.
func (s *Shedder) Arrive(now time.Time, name entity.ServiceName, rank int, hold time.Duration) {
	r := &s.service(now, name).ranks[rank]
	r.arrived++
	r.work += max(hold, minHold).Seconds()
}

// Send counts a request that is sent to a backend server.
func (s *Shedder) Send(now time.Time, name entity.ServiceName, rank int) {
	v := s.service(now, name)
	v.accrue(now)
	v.held++
	v.ranks[rank].held++
	v.ranks[rank].admitted++
}

// Release counts a request that has left its backend server, after it has held its slot for
// some time.
func (s *Shedder) Release(now time.Time, name entity.ServiceName, rank int, held time.Duration) {
	v := s.service(now, name)
	v.accrue(now)
	v.held--
	v.ranks[rank].held--
	sample := max(held, minHold).Seconds()
	if v.hold == 0 {
		v.hold = sample
	}
	v.hold += holdGain * (sample - v.hold)
}

// maxSaved is the number of requests that a daemon may send at once after it has left its part
// unused, also when that part is smaller.
const maxSaved = 2.0

// maxDebt limits what is counted of a part that was exceeded, in mean times for which a request
// holds its slot. A long request may exceed a small part for many of them.
const maxDebt = 10.0

// accrue adds the slot-seconds that this daemon has left unused of its part since the last
// call, or subtracts those beyond it. At most maxSaved requests' worth is saved.
func (v *service) accrue(now time.Time) {
	if elapsed := now.Sub(v.creditAt); elapsed > 0 {
		v.creditAt = now
		v.credit += (v.limit - float64(v.held)) * elapsed.Seconds()
	}
	v.credit = min(max(v.credit, -maxDebt*v.meanHold()), maxSaved*v.meanHold())
}

// saved returns the requests by which this daemon may exceed its part, or must stay below it.
func (v *service) saved() float64 { return max(v.credit/v.meanHold(), -1) }

// initialHold is the assumed mean time in seconds that a request holds its slot, before one
// has ended.
const initialHold = 0.5

func (v *service) meanHold() float64 {
	if v.hold == 0 {
		return initialHold
	}
	return v.hold
}
