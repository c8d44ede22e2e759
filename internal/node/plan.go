package node

import (
	"context"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
)

// Plan returns the plan of a service if this daemon is its planner. Otherwise it
// returns the peer that announces that it is, or false if none does.
func (b *adminBackend) Plan(_ context.Context, s entity.ServiceName) (adminapi.Plan, bool, error) {
	v := b.n.daemon.View()
	self := b.n.self()
	for i := range v.Plans {
		if v.Plans[i].Service == s {
			return adminapi.Plan{
				Service: s, Planner: self.ID, AdminAddress: self.AdminAddr, LastPlan: planDetail(&v.Plans[i].Plan),
			}, true, nil
		}
	}
	for _, p := range v.Planners {
		if p.Service == s && p.Daemon != self.ID {
			return adminapi.Plan{Service: s, Planner: p.Daemon, AdminAddress: adminAddress(&v, p.Daemon)}, true, nil
		}
	}
	return adminapi.Plan{}, false, nil
}

// adminAddress returns the advertised address of a daemon's administration API,
// or "" if the daemon is not known.
func adminAddress(v *core.View, id entity.InstanceID) string {
	for i := range v.Members {
		if v.Members[i].ID == id {
			return v.Members[i].AdminAddr
		}
	}
	return ""
}

// planDetail converts a plan to the form of the administration API.
func planDetail(p *fleet.Plan) *adminapi.PlanDetail {
	out := &adminapi.PlanDetail{
		Target: p.Target, ServersAfterLoss: p.ServersAfterLoss, CostPerHour: p.Cost, TargetUnmet: p.TargetUnmet, Drain: p.Drain, Explanation: p.Explain(),
	}
	for _, s := range p.Start {
		out.Start = append(out.Start, adminapi.PlanStart{
			DataCentre: s.Choice.DataCentre, Class: s.Choice.Class, Market: s.Choice.Market, PerHour: s.PerHour,
		})
	}
	return out
}
