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
