package servicedoc

import (
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
)

// CheckChange returns the reasons why a service must not change from one
// document to the next in a single step, as tomldoc.Problems, or nil. Either
// may be nil, for a new and for a deleted service. The name serves for messages.
func CheckChange(name string, from, to *entity.Service) error {
	if from == nil || to == nil {
		return nil
	}
	c := checker{tomldoc.Empty(name)}
	if from.Kind != to.Kind {
		c.Add("kind", "cannot change from %s to %s while requests are in flight; use a service of another name", from.Kind, to.Kind)
	}
	if from.Mode != to.Mode {
		c.modeChange(from, to)
	}
	return c.Err()
}

// modeChange keeps a change of mode apart from a change of servers: those that
// the old scripts run stay listed, so that no request in flight is cut off.
func (c checker) modeChange(from, to *entity.Service) {
	listed := map[entity.BackendServerID]string{}
	for _, b := range to.BackendServers {
		listed[b.ID] = b.Address
	}
	for _, b := range from.BackendServers {
		if listed[b.ID] != b.Address {
			c.Add("backend_servers", "%s (%s) must stay listed in the change from %s to %s mode; remove it in a later change",
				b.ID, b.Address, from.Mode, to.Mode)
		}
	}
}

// CheckAgainst returns the reasons why a service cannot stand beside the
// others, as tomldoc.Problems, or nil. A document of the same name among the
// others is passed over.
func CheckAgainst(name string, s *entity.Service, others []entity.Service) error {
	if s == nil {
		return nil
	}
	c := checker{tomldoc.Empty(name)}
	for i := range others {
		if others[i].Name != s.Name {
			c.against(s, &others[i])
		}
	}
	return c.Err()
}

// against keeps back ends and credentials apart: a back end has one home and
// one number of slots, and a token tells one organisation.
func (c checker) against(s, other *entity.Service) {
	taken := map[entity.BackendServerID]bool{}
	for _, b := range other.BackendServers {
		taken[b.ID] = true
	}
	for i, b := range s.BackendServers {
		if taken[b.ID] {
			c.Add(at("backend_servers", i)+".id", "%q is a backend server of service %s", b.ID, other.Name)
		}
	}
	owner := map[string]entity.OrganisationID{}
	for _, o := range other.Organisations {
		owner[o.CredentialSHA256] = o.ID
	}
	for i, o := range s.Organisations {
		if id, known := owner[o.CredentialSHA256]; known && id != o.ID {
			c.Add(at("organisations", i)+".credential_sha256", "is that of organisation %s in service %s", id, other.Name)
		}
	}
}
