package exchange

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

// demandMemory is the time over which demand is averaged.
const demandMemory = 4 * time.Second

// ServiceDemand is the work that one daemon's callers ask of a service.
type ServiceDemand struct {
	Service  entity.ServiceName `cbor:"1,keyasint"`
	Requests float64            `cbor:"2,keyasint"` // a second
	Prompt   float64            `cbor:"3,keyasint"` // tokens a second that engines must read
	Output   float64            `cbor:"4,keyasint"` // tokens a second
}

// demand averages the requests of this daemon with fading weights.
type demand struct {
	rows  []ServiceDemand
	at    time.Time
	first time.Time // of all requests
	seen  bool      // requests have come for long enough to tell the demand
}

// add counts one request, of whose prompt so much must be read.
func (d *demand) add(now time.Time, t *Ticket, prompt entity.Tokens) {
	d.fade(now)
	if d.first.IsZero() {
		d.first = now
	}
	d.seen = now.Sub(d.first) > demandMemory
	row := d.row(t.Service)
	row.Requests++
	row.Prompt += float64(prompt)
	row.Output += float64(t.Request.Work.expectedOutput())
}

func (d *demand) row(service entity.ServiceName) *ServiceDemand {
	for i := range d.rows {
		if d.rows[i].Service == service {
			return &d.rows[i]
		}
	}
	d.rows = append(d.rows, ServiceDemand{Service: service})
	return &d.rows[len(d.rows)-1]
}

func (d *demand) fade(now time.Time) {
	if d.at.IsZero() {
		d.at = now
	}
	left := max(1-now.Sub(d.at).Seconds()/demandMemory.Seconds(), 0)
	d.at = now
	for i := range d.rows {
		d.rows[i].Requests *= left
		d.rows[i].Prompt *= left
		d.rows[i].Output *= left
	}
}

// rates returns the demand a second.
func (d *demand) rates(now time.Time) []ServiceDemand {
	d.fade(now)
	out := make([]ServiceDemand, len(d.rows))
	s := demandMemory.Seconds()
	for i, r := range d.rows {
		out[i] = ServiceDemand{Service: r.Service, Requests: r.Requests / s, Prompt: r.Prompt / s, Output: r.Output / s}
	}
	return out
}

// Demand returns the demand of all daemons for a service.
func (c *Core) Demand(now time.Time, service entity.ServiceName) ServiceDemand {
	sum := ServiceDemand{Service: service}
	add := func(list []ServiceDemand) {
		for _, r := range list {
			if r.Service == service {
				sum.Requests += r.Requests
				sum.Prompt += r.Prompt
				sum.Output += r.Output
			}
		}
	}
	add(c.demand.rates(now))
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if c.heardLately(now, r) {
			add(r.demand)
		}
		return true
	})
	return sum
}

// WorkOf describes the inputs of a service's capacity plan, for logs.
func (c *Core) WorkOf(now time.Time, service entity.ServiceName) string {
	d := c.Demand(now, service)
	present := c.placer.Work(service, placement.Demand{Prompt: d.Prompt, Output: d.Output})
	return fmt.Sprintf("planned %.2f now %.2f requests/s %.1f prompt/s %.0f output/s %.0f %s",
		c.level(service).Work(), present, d.Requests, d.Prompt, d.Output, c.placer.Speed(service))
}
