package exchange

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// serverFilter says which servers may get a request.
type serverFilter struct {
	allows func(*serverRow) bool
	// trial: the request goes elsewhere if it would be rejected early among these servers.
	trial bool
}

func anyServer(*serverRow) bool { return true }

// heardRatio is how long the stage that the leader stated counts, as a ratio of the time in
// which a bad version must have got its last request.
const heardRatio = 0.5

// leaderHeard reports whether the leader has stated the stage a short time ago.
func (c *Core) leaderHeard(now time.Time, row *rolloutRow) bool {
	within := time.Duration(heardRatio * float64(c.cfg.Bounds.Rollout.RollbackAfter))
	return !row.heardAt.IsZero() && now.Sub(row.heardAt) < within
}

// hearOwnStage records the stage as stated by the leader if this daemon holds the lease for
// certain. A former holder that does not know of its successor yet does not.
func (c *Core) hearOwnStage(now time.Time) {
	epoch, held := c.lease.Epoch()
	if !held || !c.MayActAsLeader(now) {
		return
	}
	c.rollouts.rows.All(func(_ entity.ServiceName, row *rolloutRow) bool {
		row.epoch, row.heardAt = epoch, now
		c.raiseShare(now, row)
		return true
	})
}

// raiseShare raises the new version's share to what this daemon states as the leader.
func (c *Core) raiseShare(now time.Time, row *rolloutRow) {
	share := c.leadersShare(now, row)
	if percent(share) <= percent(row.share) {
		return // messages carry the share in percent
	}
	c.logRollout(now, event.RolloutShareChanged, row, event.A("share", share), event.A("share_before", row.share))
	row.share = share
}

// isOld reports whether a version has served since before the order, or may have: if it is not known
// which ones did, all do but those that were found bad.
func (c *Core) isOld(row *rolloutRow, version string) bool {
	if version == row.state.To {
		return false
	}
	v := c.rolloutVersions(row.state.Service)
	switch {
	case slices.Contains(row.state.From, version):
		return true
	case len(row.state.From) > 0:
		return row.state.Stage.Ended() && v.serving[version]
	default:
		usable, abandoned := v.abandoned[version]
		return usable || !abandoned
	}
}

// stopped reports whether the ordered version gets nothing any more.
func (r *rolloutRow) stopped() bool { return r.bad != "" || r.state.Stage == rollout.RolledBack }

// serverFilters returns which servers may get the next send of a request: those of the first
// filter that has one that is usable. Nil: any may.
func (c *Core) serverFilters(now time.Time, t *Ticket) []serverFilter {
	if !c.cfg.Bounds.Rollout.Enabled() {
		return nil
	}
	row := c.rollouts.rows.Get(t.Service)
	switch {
	case t.continues():
		return []serverFilter{{allows: func(r *serverRow) bool { return c.mayGetStreams(row, r) }}}
	case row == nil:
		return c.filtersWithoutOrder(now, t.Service)
	default:
		return c.filtersOfRollout(now, t, row)
	}
}

// anyAllows reports whether one of the filters, if there are any, lets a server get the request.
func anyAllows(filters []serverFilter, r *serverRow) bool {
	return filters == nil || slices.ContainsFunc(filters, func(f serverFilter) bool { return f.allows(r) })
}

// mayGetStreams reports whether a server may get a stream that its version has begun. row is the
// roll-out of its service, or nil.
func (c *Core) mayGetStreams(row *rolloutRow, r *serverRow) bool {
	if row != nil && r.Version == row.state.To {
		return !row.stopped()
	}
	usable, abandoned := c.rolloutVersions(r.Service).abandoned[r.Version]
	return usable || !abandoned
}

// filtersWithoutOrder returns the filters of a service without an order. A version that nothing
// is known of gets no requests: its order may not have been read yet.
func (c *Core) filtersWithoutOrder(now time.Time, service entity.ServiceName) []serverFilter {
	v := c.rollouts.versions.Get(service)
	if v != nil && len(v.serving) == 0 {
		c.settleVersions(now)
	}
	if v == nil || len(v.appeared)+len(v.abandoned) == 0 {
		return nil
	}
	return []serverFilter{
		{allows: func(r *serverRow) bool { return v.serving[r.Version] }},
		{allows: func(r *serverRow) bool { return v.abandoned[r.Version] }},
	}
}

// filtersOfRollout returns the filters of a request that continues no stream.
func (c *Core) filtersOfRollout(now time.Time, t *Ticket, row *rolloutRow) []serverFilter {
	ordered := serverFilter{allows: func(r *serverRow) bool { return r.Version == row.state.To }}
	old := serverFilter{allows: func(r *serverRow) bool { return c.isOld(row, r.Version) }}
	switch c.permission(now, row) {
	case rollout.NewOnly:
		v := c.rolloutVersions(t.Service)
		return []serverFilter{ordered, {allows: func(r *serverRow) bool { return v.serving[r.Version] }}}
	case rollout.Rising:
		if !c.drawsNew(t, row) {
			return []serverFilter{old, ordered}
		}
		ordered.trial = row.share < 1
		return []serverFilter{ordered, old}
	case rollout.OldFirst:
		return []serverFilter{old, ordered}
	case rollout.CanaryOnly:
		if c.drawsCanary(t, row) {
			return []serverFilter{c.canaryFilter(now, row), old}
		}
	}
	return []serverFilter{old}
}

// permission returns which servers this daemon sends new requests to.
func (c *Core) permission(now time.Time, row *rolloutRow) rollout.Permission {
	return rollout.Permit(row.state.Stage, row.stopped(), c.leaderHeard(now, row))
}

// drawsNew reports whether a request goes to the new version while its share rises.
func (c *Core) drawsNew(t *Ticket, row *rolloutRow) bool {
	return row.share >= 1 || t.Sends == 0 && rollout.DrawsNew(t.Request.ID, row.state.Order, row.share)
}

// drawsCanary reports whether a request goes to the new version as a canary. A request that has
// been sent before does not: one failure is enough for its caller.
func (c *Core) drawsCanary(t *Ticket, row *rolloutRow) bool {
	share := rollout.CanaryShare(c.cfg.Bounds.Rollout.Share)
	return t.Sends == 0 && rollout.DrawsCanary(t.Request.ID, row.state.Order) && row.split.MaySend(share)
}

// canaryFilter allows the few servers of the new version that get the canary's requests.
func (c *Core) canaryFilter(now time.Time, row *rolloutRow) serverFilter {
	var ready []entity.BackendServerID
	c.servers.All(func(id entity.BackendServerID, r *serverRow) bool {
		if r.Service == row.state.Service && r.Version == row.state.To && c.usable(now, id) {
			ready = append(ready, id)
		}
		return true
	})
	chosen := rollout.CanaryServers(ready, row.state.Order, rollout.CanaryShare(c.cfg.Bounds.Rollout.Share))
	return serverFilter{trial: true, allows: func(r *serverRow) bool { return slices.Contains(chosen, r.ID) }}
}

// chooseServer chooses among the usable backend servers that the request has not tried and whose
// version may get it.
func (c *Core) chooseServer(now time.Time, t *Ticket) (placement.Choice, bool) {
	filters := c.serverFilters(now, t)
	if filters == nil {
		return c.chooseOfVersions(now, t, anyServer)
	}
	for _, f := range filters {
		choice, ok := c.chooseOfVersions(now, t, f.allows)
		if ok && (!f.trial || c.rejectEarly(now, t, choice) == nil) {
			return choice, true
		}
	}
	return placement.Choice{}, false
}
