package exchange

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// serviceVersions says which versions of a service may be used without an order.
type serviceVersions struct {
	serving   map[string]bool
	appeared  map[string]*appearance // versions that nothing is known of yet
	abandoned map[string]bool        // versions of orders that ended without completion; true: usable if no other is
	void      map[uint64]bool        // orders that were withdrawn, or that a restore of the table service has undone
}

// appearance is the first listing of a version's servers.
type appearance struct {
	at           time.Time
	entryVersion uint64 // the lowest known version of their entries in the table service; 0: not known
}

// rolloutVersions returns what is known of a service's versions.
func (c *Core) rolloutVersions(s entity.ServiceName) *serviceVersions {
	v := c.rollouts.versions.Get(s)
	if v == nil {
		v = &serviceVersions{serving: map[string]bool{}, appeared: map[string]*appearance{}, abandoned: map[string]bool{}, void: map[uint64]bool{}}
		c.rollouts.versions.Put(s, v)
	}
	return v
}

// rolloutSawServer records the version of a listed server.
func (c *Core) rolloutSawServer(now time.Time, s *BackendServer) {
	if !c.cfg.Bounds.Rollout.Enabled() {
		return
	}
	v := c.rolloutVersions(s.Service)
	if a := v.appeared[s.Version]; a != nil {
		if s.EntryVersion > 0 && (a.entryVersion == 0 || s.EntryVersion < a.entryVersion) {
			a.entryVersion = s.EntryVersion
		}
		return
	}
	if _, abandoned := v.abandoned[s.Version]; !v.serving[s.Version] && !abandoned {
		v.appeared[s.Version] = &appearance{at: now, entryVersion: s.EntryVersion}
	}
}

// onlyVersionDelay is how long after this daemon's start the only listed version of a service
// counts as the one that serves although the orders could not be read.
const onlyVersionDelay = registrationDelay

// ordersKnownSince reports whether all orders are known that a version's servers may have been
// started by: an order precedes the entries of its servers in the table service.
func (c *Core) ordersKnownSince(a *appearance) bool {
	return c.rollouts.ordersConfirmed.After(a.at) || a.entryVersion > 0 && c.rollouts.ordersPosition >= a.entryVersion
}

// settleVersions lets versions serve that no order names.
func (c *Core) settleVersions(now time.Time) {
	ordersRead := !c.rollouts.ordersConfirmed.IsZero() || now.Sub(c.cfg.Started) > onlyVersionDelay
	c.rollouts.versions.All(func(service entity.ServiceName, v *serviceVersions) bool {
		row := c.rollouts.rows.Get(service)
		only := row == nil && len(v.appeared) == 1 && len(v.serving) == 0 && ordersRead
		for version, first := range v.appeared {
			if (only || c.ordersKnownSince(first)) && row.maySettle(version) {
				delete(v.appeared, version)
				v.serving[version] = true
			}
		}
		return true
	})
}

// maySettle reports whether a version may turn out to serve beside a roll-out, which is nil if
// there is none.
func (r *rolloutRow) maySettle(version string) bool {
	switch {
	case r == nil:
		return true
	case version == r.state.To || !r.state.Stage.Ended():
		return false
	default:
		return r.state.Stage != rollout.Completed || !slices.Contains(r.state.From, version)
	}
}

// leaveVersions records which versions serve when a roll-out is dropped or replaced. Usable says
// that an ordered version that has not been completed is used when no other is usable.
func (c *Core) leaveVersions(row *rolloutRow, usable bool) {
	v := c.rolloutVersions(row.state.Service)
	to := row.state.To
	switch {
	case row.state.Stage == rollout.Completed:
		v.serve([]string{to})
	case !v.serving[to]:
		v.abandoned[to] = usable
		delete(v.appeared, to)
	}
}

// serve records that exactly these versions serve.
func (v *serviceVersions) serve(versions []string) {
	clear(v.serving)
	for _, version := range versions {
		v.serving[version] = true
		delete(v.appeared, version)
		delete(v.abandoned, version)
	}
}

// presentVersions returns the versions that serve, without the ordered one. If nothing is known
// of the versions, all that are listed count.
func (c *Core) presentVersions(service entity.ServiceName, to string) []string {
	v := c.rolloutVersions(service)
	var out []string
	for version := range v.serving {
		out = append(out, version)
	}
	if len(out) == 0 {
		for version := range v.appeared {
			out = append(out, version)
		}
	}
	out = slices.DeleteFunc(out, func(version string) bool { return version == to })
	slices.Sort(out)
	return out
}
