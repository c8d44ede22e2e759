package exchange

import (
	"sort"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/quota"
)

// Status is this daemon's view of itself, the backend servers and the other
// daemons, for operators.
type Status struct {
	Instance     entity.InstanceID `json:"instance"`
	Version      uint64            `json:"configuration_version"`
	ConfirmedAgo string            `json:"configuration_confirmed_ago"`
	Serving      bool              `json:"serving"`
	Leaving      bool              `json:"leaving"`
	LeaseEpoch   uint64            `json:"lease_epoch"`
	HoldsLease   bool              `json:"holds_lease"`
	Servers      []ServerStatus    `json:"backend_servers"`
	Daemons      []DaemonStatus    `json:"daemons"`
	Quotas       []quota.Use       `json:"quotas"`
	Planned      []ServiceLevel    `json:"planned_work"`
}

// ServerStatus is this daemon's view of a backend server.
type ServerStatus struct {
	ID          entity.BackendServerID `json:"id"`
	Service     entity.ServiceName     `json:"service"`
	DataCentre  entity.DataCentreID    `json:"data_centre"`
	Usable      bool                   `json:"usable"`
	Reclaimable bool                   `json:"reclaimable"`
}

// DaemonStatus is this daemon's view of another one.
type DaemonStatus struct {
	Name            entity.InstanceID `json:"name"`
	LastReceivedAgo string            `json:"heard_ago"`
	Serving         bool              `json:"serving"`
	Leaving         bool              `json:"leaving"`
	Version         uint64            `json:"configuration_version"`
}

// Status returns this daemon's view for operators.
func (c *Core) Status(now time.Time) Status {
	version, age := c.Version(now)
	epoch, held := c.lease.Epoch()
	s := Status{
		Instance: c.cfg.Self.Name, Version: version, ConfirmedAgo: age.Round(time.Millisecond).String(),
		Serving: c.Serving(now), Leaving: c.leaving, LeaseEpoch: epoch, HoldsLease: held,
		Quotas: c.quota.Uses(now, true), Planned: c.Levels(),
	}
	c.servers.All(func(id entity.BackendServerID, r *serverRow) bool {
		s.Servers = append(s.Servers, ServerStatus{id, r.Service, r.DataCentre, c.usable(now, id), r.Reclaimable})
		return true
	})
	c.peers.All(func(name entity.InstanceID, r *peerRow) bool {
		lastReceived := "never"
		if !r.lastReceived.IsZero() {
			lastReceived = now.Sub(r.lastReceived).Round(time.Millisecond).String()
		}
		s.Daemons = append(s.Daemons, DaemonStatus{name, lastReceived, r.serving, r.leaving, r.version})
		return true
	})
	sort.Slice(s.Servers, func(i, j int) bool { return s.Servers[i].ID < s.Servers[j].ID })
	sort.Slice(s.Daemons, func(i, j int) bool { return s.Daemons[i].Name < s.Daemons[j].Name })
	return s
}
