package servicedoc

import (
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
)

// CheckChange returns the reasons why a service must not change from the document
// from to the document to in a single step, as tomldoc.Problems, or nil. from is
// nil for a new service and to is nil for a deleted one. The problems give name
// as the file's name.
func CheckChange(name string, from, to *entity.Service) error {
	if from == nil || to == nil {
		return nil
	}
	c := checker{tomldoc.Empty(name)}
	if from.Kind != to.Kind {
		c.Add("kind", "cannot change from %s to %s while requests are in flight; use a service of another name", from.Kind, to.Kind)
	}
	if from.Mode != to.Mode {
		c.checkModeChange(from, to)
	}
	return c.Err()
}

// checkModeChange reports backend servers that a change of mode also removes or
// moves to another address. The backend servers in a document are those started
// outside the system. They must stay listed, so that no request in flight on them
// is interrupted.
func (c checker) checkModeChange(from, to *entity.Service) {
	addresses := map[entity.BackendServerID]string{}
	for _, b := range to.BackendServers {
		addresses[b.ID] = b.Address
	}
	for _, b := range from.BackendServers {
		if addresses[b.ID] != b.Address {
			c.Add("backend_servers", "%s (%s) must stay listed in the change from %s to %s mode; remove it in a later change",
				b.ID, b.Address, from.Mode, to.Mode)
		}
	}
}

// CheckConflicts returns the conflicts of a service with the others, as
// tomldoc.Problems, or nil. A service of the same name among the others is
// ignored. The problems give name as the file's name.
func CheckConflicts(name string, s *entity.Service, others []entity.Service) error {
	if s == nil {
		return nil
	}
	c := checker{tomldoc.Empty(name)}
	for i := range others {
		if others[i].Name != s.Name {
			c.checkConflicts(s, &others[i])
		}
	}
	return c.Err()
}

// checkConflicts reports backend servers and credentials that another service
// uses too. A backend server has one coordinator and one number of slots, so it
// belongs to one service only; a token identifies one organisation.
func (c checker) checkConflicts(s, other *entity.Service) {
	otherServers := map[entity.BackendServerID]bool{}
	for _, b := range other.BackendServers {
		otherServers[b.ID] = true
	}
	for i, b := range s.BackendServers {
		if otherServers[b.ID] {
			c.Add(elementKey("backend_servers", i)+".id", "%q is already a backend server of service %s", b.ID, other.Name)
		}
	}
	organisationByCredential := map[string]entity.OrganisationID{}
	for _, o := range other.Organisations {
		organisationByCredential[o.CredentialSHA256] = o.ID
	}
	for i, o := range s.Organisations {
		if id, used := organisationByCredential[o.CredentialSHA256]; used && id != o.ID {
			c.Add(elementKey("organisations", i)+".credential_sha256", "is already used by organisation %s in service %s", id, other.Name)
		}
	}
}
