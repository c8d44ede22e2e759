package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/capacity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
	"github.com/gooseberryslip/gooseberryslip/internal/system/usage"
)

// UsageWindow returns the number of the present window, if the true time is
// known.
func (c *Core) UsageWindow(now time.Time) (window int64, known bool) {
	if !c.timeKnown || c.routes == nil {
		return 0, false
	}
	return c.usage.Window(c.sinceEpoch(now)), true
}

const (
	// leastSettle is how long after a window's end its counts may still come in from
	// daemons that are heard.
	leastSettle = 1200 * time.Millisecond
	// mostSettle is how long a daemon that is not heard is waited for.
	mostSettle = 4 * time.Second
)

// UsageComplete reports whether the counts of a window have come in from all
// daemons, or those that lack have been waited for.
func (c *Core) UsageComplete(now time.Time, window int64) bool {
	past := c.sinceEpoch(now) - c.usage.End(window)
	switch {
	case past < leastSettle:
		return false
	case past >= mostSettle:
		return true
	default:
		return c.allBeyond(now, window)
	}
}

// allBeyond reports whether every daemon that may be serving has spoken after a
// window's end: a message tells all counts that its receiver lacks.
func (c *Core) allBeyond(now time.Time, window int64) bool {
	all := true
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		all = r.window > window || !c.mayServe(now, r)
		return all
	})
	return all
}

// UsageCounts returns the counts of all organisations in a window.
func (c *Core) UsageCounts(window int64) map[entity.OrganisationID]uint32 {
	out := c.usage.Sum(window)
	for i := range c.routes.doc.Organisations {
		id := c.routes.doc.Organisations[i].ID
		if _, ok := out[id]; !ok {
			out[id] = 0
		}
	}
	return out
}

// Checkpoint is what outlives the loss of all daemons.
type Checkpoint struct {
	Counts map[entity.InstanceID][]usage.Count `cbor:"1,keyasint"` // of the newest windows
	Levels map[entity.OrganisationID]float64   `cbor:"2,keyasint"` // of the quotas' buckets
}

// Checkpoint returns the present one.
func (c *Core) Checkpoint(now time.Time) Checkpoint {
	return Checkpoint{Counts: c.usage.RecentCounts(c.usage.Window(c.sinceEpoch(now))), Levels: c.quota.Levels(now)}
}

// RestoreCounts takes the counts of a checkpoint.
func (c *Core) RestoreCounts(p *Checkpoint) { c.usage.Restore(p.Counts) }

// RestoreQuotas takes the levels of the quotas' buckets of a checkpoint.
func (c *Core) RestoreQuotas(p *Checkpoint) { c.quota.Restore(p.Levels) }

// ServerCount is a number of backend servers of one service, data centre and
// class.
type ServerCount struct {
	Service     entity.ServiceName
	DataCentre  entity.DataCentreID
	Reclaimable bool
	Count       int
}

// Listed returns how many backend servers are listed as ready.
func (c *Core) Listed() []ServerCount {
	counts := entity.NewTable[ServerCount, int]()
	c.servers.All(func(_ entity.BackendServerID, row *serverRow) bool {
		if row.listed && row.State == Ready {
			key := ServerCount{Service: row.Service, DataCentre: row.DataCentre, Reclaimable: row.Reclaimable}
			n := counts.Get(key)
			if n == nil {
				n = new(int)
				counts.Put(key, n)
			}
			*n++
		}
		return true
	})
	var out []ServerCount
	counts.All(func(key ServerCount, n *int) bool {
		key.Count = *n
		out = append(out, key)
		return true
	})
	return out
}

// Wanted returns how many backend servers should be ordered.
func (c *Core) Wanted(now time.Time) []ServerCount {
	if c.routes == nil || !c.mayPlan(now) {
		return nil
	}
	var out []ServerCount
	for i := range c.routes.doc.Services {
		s := &c.routes.doc.Services[i]
		if s.Scale == nil {
			continue
		}
		for _, w := range capacity.Plan(c.capacityInput(now, s)) {
			out = append(out,
				ServerCount{s.Name, w.DataCentre, false, w.OnDemand},
				ServerCount{s.Name, w.DataCentre, true, w.Reclaimable})
		}
	}
	return out
}

// registerTime is how long after this daemon's start all backend servers that
// are there should be listed.
const registerTime = 3 * time.Second

// mayPlan reports whether enough is known to order backend servers: the demand,
// the plan of the former holder, or how many there are.
func (c *Core) mayPlan(now time.Time) bool {
	return c.demand.seen || c.levels.Len() > 0 || now.Sub(c.cfg.Started) >= registerTime
}

func (c *Core) capacityInput(now time.Time, s *Service) capacity.Input {
	in := capacity.Input{Min: s.Scale.Min, Max: s.Scale.Max, ReclaimablePrice: s.Scale.ReclaimablePrice}
	listed := c.Listed()
	for _, dc := range c.cfg.DataCentres {
		place := capacity.Place{DataCentre: dc, Price: s.Scale.DataCentrePrices[dc], Dry: c.dryAt(now, s.Name, dc)}
		for _, n := range listed {
			switch {
			case n.Service != s.Name || n.DataCentre != dc:
			case n.Reclaimable:
				place.Reclaimable = n.Count
			default:
				place.OnDemand = n.Count
			}
		}
		in.Places = append(in.Places, place)
	}
	in.Work = c.level(s.Name).Follow(now, c.expectedWork(now, s))
	return in
}

// reclaimablePlace names the reclaimable servers of a service in a data centre.
type reclaimablePlace struct {
	service    entity.ServiceName
	dataCentre entity.DataCentreID
}

// dryFor is how long an answer that no reclaimable servers can be had holds: a
// refused order is repeated each second.
const dryFor = 2500 * time.Millisecond

// ReclaimableRefused notes whether an order of reclaimable servers was refused
// because none can be had.
func (c *Core) ReclaimableRefused(now time.Time, service entity.ServiceName, dc entity.DataCentreID, refused bool) {
	key := reclaimablePlace{service, dc}
	if !refused {
		c.dry.Delete(key)
		return
	}
	c.dry.Put(key, &now)
}

func (c *Core) dryAt(now time.Time, service entity.ServiceName, dc entity.DataCentreID) bool {
	at := c.dry.Get(reclaimablePlace{service, dc})
	return at != nil && now.Sub(*at) < dryFor
}

// level returns the level of work that a service's capacity is planned for.
func (c *Core) level(service entity.ServiceName) *capacity.Level {
	level := c.levels.Get(service)
	if level == nil {
		level = &capacity.Level{}
		c.levels.Put(service, level)
	}
	return level
}

// Levels returns the work that services' capacity is planned for, for the daemon
// that may hold the lease next.
func (c *Core) Levels() []ServiceLevel {
	var out []ServiceLevel
	c.levels.All(func(service entity.ServiceName, l *capacity.Level) bool {
		out = append(out, ServiceLevel{Service: service, Work: l.Work()})
		return true
	})
	return out
}

const (
	// quotaUse is the part of their quotas that organisations use on an ordinary
	// day, as long as their demand has not been seen.
	quotaUse = 0.4
	// outputPart is the part of a quota that pays for generated tokens.
	outputPart = 0.03
)

// expected returns the tokens a second that a service's engines will have to
// read and to generate: the present demand, and before callers have come what
// the organisations' quotas let expect.
func (c *Core) expected(now time.Time, s *Service) placement.Demand {
	d := c.Demand(now, s.Name)
	if c.demand.seen {
		return placement.Demand{Prompt: d.Prompt, Output: d.Output}
	}
	sum := 0.0
	for i := range c.routes.doc.Organisations {
		if o := &c.routes.doc.Organisations[i]; o.InTokens {
			sum += o.RatePerSec
		}
	}
	sum *= quotaUse
	return placement.Demand{Prompt: max(sum*(1-outputPart), d.Prompt), Output: max(sum*outputPart, d.Output)}
}

// foundUse is the part of the backend servers found at the start that an
// ordinary day keeps busy.
const foundUse = 0.55

// expectedWork returns the servers that the demand keeps busy. Before callers
// have come, the servers that are there bound what quotas let expect.
func (c *Core) expectedWork(now time.Time, s *Service) float64 {
	work := c.placer.Work(s.Name, c.expected(now, s))
	if c.demand.seen {
		return work
	}
	found := 0
	for _, n := range c.Listed() {
		if n.Service == s.Name {
			found += n.Count
		}
	}
	return min(work, foundUse*float64(found))
}

// AdoptLevels takes what the former holder of the lease planned for.
func (c *Core) AdoptLevels(levels []ServiceLevel) {
	for _, l := range levels {
		c.level(l.Service).Adopt(l.Work)
	}
}
