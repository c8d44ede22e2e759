package core

import (
	"slices"
	"strings"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
)

// refreshServices merges the service documents in force with the backend
// servers on managed instances and passes the result to the grant system.
func (c *Core) refreshServices() {
	c.effectiveServices = c.Configuration.Services()
	clear(c.fleet.serverByInstance)
	for i := range c.effectiveServices {
		c.addManagedServers(&c.effectiveServices[i])
	}
	c.viewStale = true
	c.Grants.SetServices(c.now, c.effectiveServices)
}

// addManagedServers adds the backend servers on managed instances to those that
// the document lists. If the document lists the same server, by ID or address,
// its entry is used.
func (c *Core) addManagedServers(s *entity.Service) {
	listed := s.BackendServers
	servers := slices.Clone(listed)
	for _, b := range fleet.BackendServers(*s, c.fleet.instances) {
		instance := entity.InstanceID(b.ID)
		if match := listedServer(listed, &b); match != nil {
			c.fleet.serverByInstance[instance] = match.ID
			continue
		}
		c.fleet.serverByInstance[instance] = b.ID
		b.Location.Region = c.regionOf(b.Location.DataCentre)
		servers = append(servers, b)
	}
	s.BackendServers = servers
}

// listedServer returns the entry in listed that has the ID or the address of b,
// or nil.
func listedServer(listed []entity.BackendServer, b *entity.BackendServer) *entity.BackendServer {
	for i := range listed {
		if listed[i].ID == b.ID || listed[i].Address == b.Address {
			return &listed[i]
		}
	}
	return nil
}

// regionOf returns the region of a data centre, taken from a daemon that runs
// there; "" if none does.
func (c *Core) regionOf(dc entity.DataCentreID) entity.RegionID {
	if c.Self.Location.DataCentre == dc {
		return c.Self.Location.Region
	}
	for i := range c.members {
		if c.members[i].Location.DataCentre == dc {
			return c.members[i].Location.Region
		}
	}
	return ""
}

// service returns a service with its listed and managed backend servers, or
// nil.
func (c *Core) service(name entity.ServiceName) *entity.Service {
	for i := range c.effectiveServices {
		if c.effectiveServices[i].Name == name {
			return &c.effectiveServices[i]
		}
	}
	return nil
}

// setInstances updates the managed instances from a read of the platform's
// list. Instances that are leaving are kept until they are gone, as they still
// run work that was started before; handleInstanceList has marked their backend
// servers as draining.
func (c *Core) setInstances(list []provider.Instance) {
	var managed []provider.Instance
	for _, i := range list {
		if i.Tags[fleet.ServiceTag] == "" || (i.State != provider.Running && i.State != provider.Leaving) {
			continue
		}
		i.State = provider.Running
		managed = append(managed, i)
	}
	slices.SortFunc(managed, func(a, b provider.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if !slices.EqualFunc(managed, c.fleet.instances, sameInstance) {
		c.fleet.instances = managed
		c.refreshServices()
	}
	if c.Fleet != nil {
		c.Fleet.SetInstances(c.now, list)
	}
}

// sameInstance reports whether two states of an instance describe the same
// backend server.
func sameInstance(a, b provider.Instance) bool {
	return a.ID == b.ID && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Tags[fleet.ServiceTag] == b.Tags[fleet.ServiceTag] && a.Tags[fleet.AddressTag] == b.Tags[fleet.AddressTag]
}

// drainingServer returns the backend server to be drained because the
// platform's list shows its instance as leaving or gone, or "".
func (c *Core) drainingServer(i provider.Instance) entity.BackendServerID {
	if b := i.Tags[TagBackendServer]; b != "" && (i.State == provider.Leaving || i.State == provider.Stopped) {
		return entity.BackendServerID(b)
	}
	if i.Tags[fleet.ServiceTag] != "" && i.State == provider.Leaving {
		return c.serverOnInstance(i.ID)
	}
	return ""
}

// serverOnInstance returns the backend server on a managed instance. Without a
// document that lists it, its ID is that of the instance.
func (c *Core) serverOnInstance(i entity.InstanceID) entity.BackendServerID {
	if b := c.fleet.serverByInstance[i]; b != "" {
		return b
	}
	return entity.BackendServerID(i)
}
