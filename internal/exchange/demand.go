package exchange

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 4 * time.Second

// ServiceDemand is the demand of one daemon's callers for a service.
type ServiceDemand struct {
	Service  entity.ServiceName `cbor:"1,keyasint"`
	Requests float64            `cbor:"2,keyasint"` // per second
	Prompt   float64            `cbor:"3,keyasint"` // tokens per second that engines must read, cached ones excluded
	Output   float64            `cbor:"4,keyasint"` // tokens per second
	size     float64            // tokens per second of prompts and answers, cached ones included
}

// demand averages the requests of this daemon over demandWindow, with decaying
// weights.
type demand struct {
	rows           []ServiceDemand // sums over demandWindow, not rates
	decayedAt      time.Time       // when decay was last applied
	firstRequestAt time.Time       // zero before the first request
	established    bool            // requests have arrived for longer than demandWindow, so that the rates are meaningful
}

// add counts one request. Prompt is the number of its prompt tokens that an engine
// must read.
func (d *demand) add(now time.Time, t *Ticket, prompt entity.Tokens) {
	d.decay(now)
	if d.firstRequestAt.IsZero() {
		d.firstRequestAt = now
	}
	d.established = now.Sub(d.firstRequestAt) > demandWindow
	row := d.row(t.Service)
	row.Requests++
	row.Prompt += float64(prompt)
	row.Output += float64(t.Request.Work.expectedOutput())
	row.size += t.Request.Work.size()
}

// smallRatio is the ratio to the mean size of a service's requests below which one is
// small.
const smallRatio = 0.8

// small reports whether a request is smaller than most of its service's lately.
func (d *demand) small(t *Ticket) bool {
	row := d.row(t.Service)
	return row.Requests > 0 && t.Request.Work.size() < smallRatio*row.size/row.Requests
}

// row returns the sums of a service, which it adds if there are none.
func (d *demand) row(service entity.ServiceName) *ServiceDemand {
	for i := range d.rows {
		if d.rows[i].Service == service {
			return &d.rows[i]
		}
	}
	d.rows = append(d.rows, ServiceDemand{Service: service})
	return &d.rows[len(d.rows)-1]
}

// decay reduces all sums by the ratio of the time since the last call to
// demandWindow.
func (d *demand) decay(now time.Time) {
	if d.decayedAt.IsZero() {
		d.decayedAt = now
	}
	remaining := max(1-now.Sub(d.decayedAt).Seconds()/demandWindow.Seconds(), 0)
	d.decayedAt = now
	for i := range d.rows {
		d.rows[i].Requests *= remaining
		d.rows[i].Prompt *= remaining
		d.rows[i].Output *= remaining
		d.rows[i].size *= remaining
	}
}

// rates returns the demand per second.
func (d *demand) rates(now time.Time) []ServiceDemand {
	d.decay(now)
	out := make([]ServiceDemand, len(d.rows))
	s := demandWindow.Seconds()
	for i, r := range d.rows {
		out[i] = ServiceDemand{Service: r.Service, Requests: r.Requests / s, Prompt: r.Prompt / s, Output: r.Output / s}
	}
	return out
}

// Demand returns the demand of all daemons' callers for a service.
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
		if c.recentlySeen(now, r) {
			add(r.demand)
		}
		return true
	})
	return sum
}

// DescribeWork describes the inputs of a service's capacity plan, for logs.
func (c *Core) DescribeWork(now time.Time, service entity.ServiceName) string {
	d := c.Demand(now, service)
	currentWork := c.placer.BusyServers(service, placement.Demand{Prompt: d.Prompt, Output: d.Output})
	return fmt.Sprintf("planned %.2f now %.2f withheld by limits %.1f requests/s %.1f prompt/s %.0f output/s %.0f %s",
		c.level(service).BusyServers(), currentWork, c.withheldServers(now, service), d.Requests, d.Prompt, d.Output, c.placer.SpeedSummary(service))
}
