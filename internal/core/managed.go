package core

import (
	"slices"
	"strings"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
)

// refreshServices puts the documents in force together with the backend
// servers that run on instances of ours, and tells the systems.
func (c *Core) refreshServices() {
	c.inForce = c.Configuration.Services()
	clear(c.fleet.hosts)
	for i := range c.inForce {
		c.addManaged(&c.inForce[i])
	}
	c.viewOld = true
	c.Grants.SetServices(c.now, c.inForce)
}

// addManaged adds the backend servers of ours to those of a document. One that
// the document lists too, by id or address, is the document's.
func (c *Core) addManaged(s *entity.Service) {
	written := s.BackendServers
	servers := slices.Clone(written)
	for _, b := range fleet.BackendServers(*s, c.fleet.instances) {
		instance := entity.InstanceID(b.ID)
		if w := sameServer(written, &b); w != nil {
			c.fleet.hosts[instance] = w.ID
			continue
		}
		c.fleet.hosts[instance] = b.ID
		b.Place.Region = c.regionOf(b.Place.DataCentre)
		servers = append(servers, b)
	}
	s.BackendServers = servers
}

// sameServer returns the backend server that a document lists for b, or nil.
func sameServer(written []entity.BackendServer, b *entity.BackendServer) *entity.BackendServer {
	for i := range written {
		if written[i].ID == b.ID || written[i].Address == b.Address {
			return &written[i]
		}
	}
	return nil
}

// regionOf returns the region of a data centre, by its daemons; "" if it has
// none.
func (c *Core) regionOf(dc entity.DataCentreID) entity.RegionID {
	if c.Self.Place.DataCentre == dc {
		return c.Self.Place.Region
	}
	for i := range c.members {
		if c.members[i].Place.DataCentre == dc {
			return c.members[i].Place.Region
		}
	}
	return ""
}

// service returns a service with all its backend servers, or nil.
func (c *Core) service(name entity.ServiceName) *entity.Service {
	for i := range c.inForce {
		if c.inForce[i].Name == name {
			return &c.inForce[i]
		}
	}
	return nil
}

// setInstances takes the instances of ours from a reading of the list. Those
// that leave still run what was begun there, so they stay until they are gone;
// they are marked as leaving before.
func (c *Core) setInstances(list []provider.Instance) {
	var ours []provider.Instance
	for _, i := range list {
		if i.Tags[fleet.ServiceTag] == "" || (i.State != provider.Running && i.State != provider.Leaving) {
			continue
		}
		i.State = provider.Running
		ours = append(ours, i)
	}
	slices.SortFunc(ours, func(a, b provider.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if !slices.EqualFunc(ours, c.fleet.instances, sameInstance) {
		c.fleet.instances = ours
		c.refreshServices()
	}
	if c.Fleet != nil {
		c.Fleet.SetInstances(c.now, list)
	}
}

// sameInstance reports whether an instance has the same backend server as
// before.
func sameInstance(a, b provider.Instance) bool {
	return a.ID == b.ID && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Tags[fleet.ServiceTag] == b.Tags[fleet.ServiceTag] && a.Tags[fleet.AddressTag] == b.Tags[fleet.AddressTag]
}

// leavingServer returns the backend server whose instance the list shows as
// leaving, or "".
func (c *Core) leavingServer(i provider.Instance) entity.BackendServerID {
	if b := i.Tags[TagBackendServer]; b != "" && (i.State == provider.Leaving || i.State == provider.Gone) {
		return entity.BackendServerID(b)
	}
	if i.Tags[fleet.ServiceTag] != "" && i.State == provider.Leaving {
		return c.hostedBy(i.ID)
	}
	return ""
}

// hostedBy names the backend server on an instance of ours.
func (c *Core) hostedBy(i entity.InstanceID) entity.BackendServerID {
	if b := c.fleet.hosts[i]; b != "" {
		return b
	}
	return entity.BackendServerID(i)
}
