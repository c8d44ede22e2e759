package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
)

// maxAddresses bounds the addresses that a caller is told.
const maxAddresses = 8

// viewInterval is the age at which a view is published anew, if the core ticks
// at all.
const viewInterval = time.Second

// View is what the shell may read between ticks. It is never changed once
// published.
type View struct {
	Members   []membership.Member
	Addresses []membership.Member // for callers, best first
	Services  []entity.Service
	Documents []configuration.Document
	Revision  uint64
	Head      uint64
	Current   bool
	Draining  bool
	ReclaimAt time.Time // zero: no reclaim announced
	InFlight  int       // requests that are not finished
	Load      grant.Snapshot
	Plans     []ServicePlan    // of the services that this daemon plans
	Planners  []ServicePlanner // of all managed services
}

// LoadByBackend indexes the load by backend server.
func (v *View) LoadByBackend() map[entity.BackendServerID]grant.Status {
	out := make(map[entity.BackendServerID]grant.Status, len(v.Load.Backends))
	for _, s := range v.Load.Backends {
		out[s.Backend] = s
	}
	return out
}

// Coordinated returns the model engines that this daemon coordinates.
func (v *View) Coordinated() []entity.BackendServer {
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

// publishView puts a new view into the outbox if something in it has changed,
// and now and then for the load.
func (c *Core) publishView() {
	current := c.Configuration.Current(c.now)
	if !c.viewOld && current == c.viewCurrent && c.now.Sub(c.viewAt) < viewInterval {
		return
	}
	c.viewOld = false
	c.viewAt = c.now
	c.viewCurrent = current
	c.out.View = &View{
		Members:   c.members,
		Addresses: c.addresses(),
		Services:  c.inForce,
		Documents: c.Configuration.Documents(),
		Revision:  c.Configuration.Revision(),
		Head:      c.Configuration.HeadRevision(),
		Current:   current,
		Draining:  c.drain.on,
		ReclaimAt: c.drain.reclaimAt,
		InFlight:  c.active,
		Load:      c.Grants.Snapshot(),
		Plans:     c.plans(),
		Planners:  c.planners(),
	}
}

// addresses chooses the daemons that callers are told: this one unless it is
// leaving, then, in turn, live ones of other data centres and of this one.
func (c *Core) addresses() []membership.Member {
	near, far := c.livePeers()
	c.shuffle(near)
	c.shuffle(far)
	var out []membership.Member
	if !c.drain.on {
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

// shuffle brings members into random order, which spreads the callers.
func (c *Core) shuffle(m []membership.Member) {
	c.Rand.Shuffle(len(m), func(i, j int) { m[i], m[j] = m[j], m[i] })
}
