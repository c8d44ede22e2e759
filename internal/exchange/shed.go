package exchange

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
	"github.com/gooseberryslip/gooseberryslip/internal/system/shedding"
)

// ShedPrefix begins the codes of refusals by load shedding. The reason follows.
const ShedPrefix = "shed-"

// shed refuses a request for which there is no room while others need it more. It returns
// nil if the request may be sent.
func (c *Core) shed(now time.Time, t *Ticket, choice placement.Choice) *Refusal {
	if c.shedder == nil {
		return nil
	}
	if !t.arrivalCounted {
		t.arrivalCounted = true
		c.shedder.Arrive(now, t.Service, t.priority, c.expectedHold(t, choice))
	}
	if t.Sends > 0 && t.continues() {
		return nil // its caller has got a part of the answer
	}
	room := c.room(now, t.Service, choice)
	q := shedding.Request{Service: t.Service, Rank: t.priority, Draw: drawOf(t.Request.ID), Expected: choice.Cost}
	if t.Route.Objective > 0 {
		q.Objective = max(t.Arrived.Add(t.Route.Objective).Sub(now), time.Nanosecond)
	}
	d := c.shedder.Decide(now, q, room)
	if d.Reason == "" {
		return nil
	}
	r := c.finalRefusal(t, ShedPrefix+string(d.Reason), c.shedder.RetryAfter(now, q, t.timeLeft(now)))
	r.Inputs = fmt.Sprintf("rank %d, expected %v at %s, objective %v, %s, taken %.0f of %d, share %.4f, view %v old",
		t.priority, choice.Cost.Round(time.Millisecond), choice.Server, t.Route.Objective, d, room.Taken, room.Slots, room.Share, room.Age)
	return r
}

// drawOf returns a number from 0 to 1, evenly over the requests.
func drawOf(id entity.RequestID) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return float64(h.Sum64()%drawSteps) / drawSteps
}

// drawSteps is the number of different draws.
const drawSteps = 1 << 20

// expectedHold returns how long a request is expected to hold its slot.
func (c *Core) expectedHold(t *Ticket, choice placement.Choice) time.Duration {
	if !t.Route.ModelWork {
		return choice.Cost
	}
	return choice.Cost + c.placer.OutputDuration(t.Service, t.Request.Work.expectedOutput())
}

// room returns what this daemon knows of a service's room.
func (c *Core) room(now time.Time, service entity.ServiceName, choice placement.Choice) shedding.Room {
	return shedding.Room{
		Servers: choice.Servers, Slots: choice.Slots, Taken: choice.Utilisation * float64(choice.Slots),
		Share: c.demandShare(now, service), Age: c.viewAge(),
	}
}

// minDemandShare is the lowest part of a service that a daemon has, in multiples of an equal
// one, so that a daemon whose callers have just arrived may send.
const minDemandShare = 0.5

// demandShare returns this daemon's part of the demand of all daemons for a service. What each
// has sent last is compared, so that the parts add up to one while the demand rises.
func (c *Core) demandShare(now time.Time, service entity.ServiceName) float64 {
	daemons := 1
	local, fleet := c.demandWork(c.sentDemand, service), 0.0
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if c.recentlySeen(now, r) {
			daemons++
			fleet += c.demandWork(r.demand, service)
		}
		return true
	})
	lowest := minDemandShare / float64(daemons)
	if local+fleet == 0 {
		return 1 / float64(daemons)
	}
	return max(local/(local+fleet), lowest)
}

// demandWork returns the slots that a daemon's demand for a service needs.
func (c *Core) demandWork(rates []ServiceDemand, service entity.ServiceName) float64 {
	for i := range rates {
		if d := &rates[i]; d.Service == service {
			return c.placer.SlotSeconds(service, d.Requests, placement.Demand{Prompt: d.Prompt, Output: d.Output})
		}
	}
	return 0
}

// countSent records that an attempt of a request begins.
func (c *Core) countSent(now time.Time, t *Ticket) {
	if c.shedder != nil {
		c.shedder.Send(now, t.Service, t.priority)
	}
}

// countReleased records that the present attempt of a request has left its backend server.
func (c *Core) countReleased(now time.Time, t *Ticket) {
	if c.shedder != nil {
		c.shedder.Release(now, t.Service, t.priority, now.Sub(t.sentAt))
	}
}

// minViewAge is the mean age of what daemons know of each other's requests in a small fleet.
const minViewAge = 50 * time.Millisecond

// viewAge returns the mean age of what this daemon knows of the others' requests.
func (c *Core) viewAge() time.Duration { return max(c.updateInterval()/2, minViewAge) }

// sampleLoad returns how many requests for a service all daemons send before they learn of
// each other's; 0: load shedding is switched off.
func (c *Core) sampleLoad(now time.Time, service entity.ServiceName) float64 {
	if c.shedder == nil {
		return 0
	}
	return c.Demand(now, service).Requests * c.viewAge().Seconds()
}
