package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/capacity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
	"github.com/gooseberryslip/gooseberryslip/internal/system/streamversion"
	"github.com/gooseberryslip/gooseberryslip/internal/system/usage"
)

// UsageWindow returns the number of the present usage window. It is not known until
// the true time and the configuration are.
func (c *Core) UsageWindow(now time.Time) (window int64, known bool) {
	if !c.trueTimeKnown || c.index == nil {
		return 0, false
	}
	return c.usage.Window(c.sinceUnixEpoch(now)), true
}

const (
	// minCountDelay is how long after a window's end counts may still arrive from
	// daemons that are reachable.
	minCountDelay = 1200 * time.Millisecond
	// maxCountDelay is how long after a window's end the counts of unreachable
	// daemons are waited for.
	maxCountDelay = 4 * time.Second
)

// UsageComplete reports whether a window's counts have arrived from all daemons, or
// the missing ones have been waited for long enough.
func (c *Core) UsageComplete(now time.Time, window int64) bool {
	sinceEnd := c.sinceUnixEpoch(now) - c.usage.End(window)
	switch {
	case sinceEnd < minCountDelay:
		return false
	case sinceEnd >= maxCountDelay:
		return true
	default:
		return c.allReportedAfter(now, window)
	}
}

// allReportedAfter reports whether every daemon that may be serving has sent an
// update after a window's end. Each update includes all counts that its receiver
// lacks.
func (c *Core) allReportedAfter(now time.Time, window int64) bool {
	all := true
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		all = r.usageWindow > window || !c.mayServe(now, r)
		return all
	})
	return all
}

// UsageCounts returns the number of requests of each organisation in a window.
// Organisations without requests are included.
func (c *Core) UsageCounts(window int64) map[entity.OrganisationID]uint32 {
	out := c.usage.Sum(window)
	for i := range c.index.doc.Organisations {
		id := c.index.doc.Organisations[i].ID
		if _, ok := out[id]; !ok {
			out[id] = 0
		}
	}
	return out
}

// Checkpoint is the state that is stored so that it survives the loss of all
// daemons.
type Checkpoint struct {
	Counts map[entity.InstanceID][]usage.Count `cbor:"1,keyasint"`           // usage of the newest windows, by the daemon process that counted
	Levels map[entity.OrganisationID]float64   `cbor:"2,keyasint"`           // levels of the quotas' token buckets, in units
	Notice Notice                              `cbor:"3,keyasint,omitempty"` // deaths of suspect contents, and limits in force
	// At is the true time of the checkpoint since 1970; 0: not known.
	At time.Duration `cbor:"5,keyasint,omitempty"`
	// Interval is the time between two checkpoints, which grows with the fleet.
	Interval time.Duration `cbor:"6,keyasint,omitempty"`
	// Versions are those that the services have had lately.
	Versions []streamversion.SeenVersion `cbor:"4,keyasint,omitempty"`
}

// Checkpoint returns the present state to store.
func (c *Core) Checkpoint(now time.Time) Checkpoint {
	deaths := c.suspectDeaths(now)
	at, known := c.TrueTime(now)
	if !known {
		at = 0
	}
	return Checkpoint{
		At:     at,
		Counts: c.usage.RecentCounts(c.usage.Window(c.sinceUnixEpoch(now))), Levels: c.quota.Levels(now),
		Notice: Notice{
			ContentDeaths: undated(now, deaths), Trials: undatedTrials(now, c.pastTrials(deaths)),
			Limits: c.statements.limitsInForce(now), Brittle: c.statements.brittleStatements(now, c.statements.brittleProcesses()),
			Leaving: c.statements.leavingStatements(now, c.statements.rows.Keys()),
		},
		Versions: c.streams.Seen(),
	}
}

// RestoreCounts restores the usage counts of a checkpoint.
func (c *Core) RestoreCounts(p *Checkpoint) { c.usage.Restore(p.Counts) }

// RestoreVersions restores the versions that the services had lately: a stream may have begun
// at one that has no server any more.
func (c *Core) RestoreVersions(now time.Time, p *Checkpoint) {
	for _, v := range p.Versions {
		c.changeVersions(now, []entity.ServiceName{v.Service}, func() { c.streams.SawVersion(now, v.Service, v.Version) })
	}
}

const (
	// minLevelAgeLimit is the minimum of the age up to which the levels in a checkpoint are used.
	// After that, what was spent since may be all that they hold. It applies in small fleets.
	minLevelAgeLimit = 1200 * time.Millisecond
	// levelAgeIntervals is that age in large fleets, in intervals between two checkpoints.
	levelAgeIntervals = 2
)

// RestoreQuotas restores the levels of the quotas' token buckets of a checkpoint, unless they are
// too old or their age is not known. Without them the buckets start empty.
func (c *Core) RestoreQuotas(now time.Time, p *Checkpoint) {
	limit := max(minLevelAgeLimit, levelAgeIntervals*p.Interval)
	if at, known := c.TrueTime(now); known && p.At > 0 && at-p.At <= limit {
		c.quota.Restore(p.Levels)
	}
}

// ServerCount is a number of backend servers of one service, data centre and class
// (reclaimable or on-demand).
type ServerCount struct {
	Service     entity.ServiceName
	DataCentre  entity.DataCentreID
	Reclaimable bool
	Count       int
}

// ListedServers returns the numbers of backend servers that are listed as ready. During a
// roll-out those of the ordered version do not count.
func (c *Core) ListedServers() []ServerCount {
	counts := entity.NewTable[ServerCount, int]()
	c.servers.All(func(_ entity.BackendServerID, row *serverRow) bool {
		if row.listed && c.inService(row) && c.countsForCapacity(row) {
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

// listedCount returns the number of listed servers of the class that key names. The count of key
// is ignored.
func (c *Core) listedCount(key ServerCount) int {
	for _, n := range c.ListedServers() {
		if n.Service == key.Service && n.DataCentre == key.DataCentre && n.Reclaimable == key.Reclaimable {
			return n.Count
		}
	}
	return 0
}

// TargetServers returns the target numbers of backend servers, or nil while too little is
// known to plan.
func (c *Core) TargetServers(now time.Time) []ServerCount {
	if c.index == nil || !c.mayPlan(now) || c.recentlyRestored(now) {
		return nil
	}
	var out []ServerCount
	for i := range c.index.doc.Services {
		s := &c.index.doc.Services[i]
		if s.Scale == nil {
			continue
		}
		for _, target := range capacity.Plan(c.capacityInput(now, s)) {
			out = append(out,
				ServerCount{s.Name, target.DataCentre, false, target.OnDemand},
				ServerCount{s.Name, target.DataCentre, true, target.Reclaimable})
		}
	}
	c.keepServerCounts(out)
	return out
}

// registrationDelay is how long after this daemon's start all existing backend
// servers should be listed.
const registrationDelay = 3 * time.Second

// mayPlan reports whether enough is known to plan the number of backend servers:
// the demand, the plan of the previous lease holder, or how many servers there are.
func (c *Core) mayPlan(now time.Time) bool {
	return c.demand.established || c.levels.Len() > 0 || now.Sub(c.cfg.Started) >= registrationDelay
}

// capacityInput returns the inputs of a service's capacity plan.
func (c *Core) capacityInput(now time.Time, s *Service) capacity.Input {
	in := capacity.Input{Min: s.Scale.Min, Max: s.Scale.Max, ReclaimablePrice: s.Scale.ReclaimablePrice}
	listed := c.ListedServers()
	for _, dc := range c.cfg.DataCentres {
		state := capacity.DataCentreState{DataCentre: dc, Price: s.Scale.DataCentrePrices[dc], Exhausted: c.reclaimableExhausted(now, s, dc)}
		for _, n := range listed {
			switch {
			case n.Service != s.Name || n.DataCentre != dc:
			case n.Reclaimable:
				state.Reclaimable = n.Count
			default:
				state.OnDemand = n.Count
			}
		}
		state.OnDemand = c.existingOnDemand(now, s, dc, state.OnDemand)
		in.DataCentres = append(in.DataCentres, state)
	}
	work := c.expectedWork(now, s)
	in.BusyServers = c.level(s.Name).Update(now, work)
	in.OnDemandBusy = c.onDemandLevel(s).Update(now, work)
	in.Withheld = c.statements.withheldLevel(s.Name).Update(now, c.withheldServers(now, s.Name))
	return in
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

// Levels returns the work that the services' capacity is planned for, so that the
// next lease holder can adopt it.
func (c *Core) Levels() []ServiceLevel {
	var out []ServiceLevel
	c.levels.All(func(service entity.ServiceName, l *capacity.Level) bool {
		out = append(out, ServiceLevel{Service: service, Work: l.BusyServers()})
		return true
	})
	return out
}

const (
	// expectedQuotaUseRatio is the ratio of their quotas that organisations use on
	// an ordinary day. It is used until the demand has been observed.
	expectedQuotaUseRatio = 0.4
	// expectedOutputRatio is the ratio of a quota that is spent on generated
	// tokens.
	expectedOutputRatio = 0.03
)

// expectedDemand returns the tokens per second that a service's engines will have
// to read and to generate: the present demand or, until it has been observed, an
// estimate from the organisations' quotas.
func (c *Core) expectedDemand(now time.Time, s *Service) placement.Demand {
	d := c.Demand(now, s.Name)
	if c.demand.established {
		return placement.Demand{Prompt: d.Prompt, Output: d.Output}
	}
	sum := 0.0
	for i := range c.index.doc.Organisations {
		if o := &c.index.doc.Organisations[i]; o.InTokens {
			sum += o.RatePerSec
		}
	}
	sum *= expectedQuotaUseRatio
	return placement.Demand{Prompt: max(sum*(1-expectedOutputRatio), d.Prompt), Output: max(sum*expectedOutputRatio, d.Output)}
}

// initialUtilisation is the ratio of the backend servers found at the start that an
// ordinary day keeps busy.
const initialUtilisation = 0.55

// expectedWork returns the number of servers that the demand keeps busy. Until the
// demand has been observed, the estimate from quotas is limited by the servers that
// exist.
func (c *Core) expectedWork(now time.Time, s *Service) float64 {
	work := c.placer.BusyServers(s.Name, c.expectedDemand(now, s))
	if c.demand.established {
		return work
	}
	found := 0
	for _, n := range c.ListedServers() {
		if n.Service == s.Name {
			found += n.Count
		}
	}
	return min(work, initialUtilisation*float64(found))
}

// AdoptLevels adopts the work that the previous lease holder planned for.
func (c *Core) AdoptLevels(levels []ServiceLevel) {
	for _, l := range levels {
		c.level(l.Service).Adopt(l.Work)
		if level := c.onDemandLevels.Get(l.Service); level != nil {
			level.Adopt(l.Work)
		}
	}
}
