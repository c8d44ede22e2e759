package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
)

// maxAddresses bounds the number of daemon addresses that callers get.
const maxAddresses = 8

// viewInterval is the age at which an otherwise unchanged view is published
// again with the present load.
const viewInterval = time.Second

// View is a snapshot of the core's state that may be read concurrently with
// Tick. It is never modified after it was published.
type View struct {
	Members   []membership.Member
	Addresses []membership.Member // to be given to callers, most preferred first
	Services  []entity.Service
	Documents []configuration.Document
	Revision  uint64    // of the documents in force
	Head      uint64    // highest revision known
	Current   bool      // the configuration is known to be up to date
	Draining  bool      // this daemon is stopping
	ReclaimAt time.Time // zero: no reclaim was announced
	InFlight  int       // number of requests without a final outcome
	Load      grant.Snapshot
	Plans     []ServicePlan    // of the services that this daemon plans
	Planners  []ServicePlanner // of all managed services
}

// LoadByBackend returns the load of each backend server by its ID.
func (v *View) LoadByBackend() map[entity.BackendServerID]grant.Status {
	out := make(map[entity.BackendServerID]grant.Status, len(v.Load.Backends))
	for _, s := range v.Load.Backends {
		out[s.Backend] = s
	}
	return out
}

// CoordinatedEngines returns the model engines that this daemon coordinates.
func (v *View) CoordinatedEngines() []entity.BackendServer {
	load := v.LoadByBackend()
	var out []entity.BackendServer
	for i := range v.Services {
		if v.Services[i].Kind != entity.KindModel {
			continue
		}
		for _, b := range v.Services[i].BackendServers {
			if load[b.ID].Exact {
				out = append(out, b)
			}
		}
	}
	return out
}

// publishView adds a new view to the outbox if something in it has changed or
// the last one is as old as viewInterval.
func (c *Core) publishView() {
	current := c.Configuration.Current(c.now)
	if !c.viewStale && current == c.viewConfigCurrent && c.now.Sub(c.viewPublishedAt) < viewInterval {
		return
	}
	c.viewStale = false
	c.viewPublishedAt = c.now
	c.viewConfigCurrent = current
	c.out.View = &View{
		Members:   c.members,
		Addresses: c.callerAddresses(),
		Services:  c.effectiveServices,
		Documents: c.Configuration.Documents(),
		Revision:  c.Configuration.Revision(),
		Head:      c.Configuration.HeadRevision(),
		Current:   current,
		Draining:  c.drain.active,
		ReclaimAt: c.drain.reclaimAt,
		InFlight:  c.unfinished,
		Load:      c.Grants.Snapshot(),
		Plans:     c.plans(),
		Planners:  c.planners(),
	}
}

// callerAddresses selects the daemons whose addresses callers get: this one
// unless it is draining, then live ones of other data centres and of this one
// in turn.
func (c *Core) callerAddresses() []membership.Member {
	near, far := c.livePeers()
	c.shuffleMembers(near)
	c.shuffleMembers(far)
	var out []membership.Member
	if !c.drain.active {
		out = append(out, c.Self)
	}
	for len(out) < maxAddresses && len(near)+len(far) > 0 {
		if len(far) > 0 {
			out, far = append(out, far[0]), far[1:]
		}
		if len(near) > 0 {
			out, near = append(out, near[0]), near[1:]
		}
	}
	return out
}

// shuffleMembers puts members into random order, so that callers spread over
// them.
func (c *Core) shuffleMembers(m []membership.Member) {
	c.Rand.Shuffle(len(m), func(i, j int) { m[i], m[j] = m[j], m[i] })
}
