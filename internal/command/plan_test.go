package command

import (
	"strings"
	"testing"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
)

func TestPlan_FollowsToThePlanner(t *testing.T) {
	c := newCLI(t)
	planner, server := startDaemon(t, "d2")
	admin := strings.TrimPrefix(server.URL, "http://")
	planner.plan = &adminapi.Plan{Service: "prices", Planner: "d2", Admin: admin, Last: &adminapi.PlanDetail{
		Target: 3, Keep: 2, Cost: 0.9, Why: "load: one server\n",
		Start: []adminapi.PlanStart{{DataCentre: "west-b", Class: "gpu", Market: "reclaimable", PerHour: 0.3}},
	}}
	c.daemon.plan = &adminapi.Plan{Service: "prices", Planner: "d2", Admin: admin}
	c.run(ExitOK, "plan", "prices")
	c.has(c.out, "planned by d2", "target 3 servers, 2 left", "start west-b gpu reclaimable")
	if strings.Contains(c.out, "load:") {
		t.Errorf("the reasons are told unasked: %s", c.out)
	}
	c.run(ExitOK, "plan", "prices", "--explain")
	c.has(c.out, "load: one server")
	planner.plan.Last = nil
	c.run(ExitFailed, "plan", "prices")
	c.has(c.err, "Try again")
}

func TestPlan_ServiceThatNobodyPlans(t *testing.T) {
	c := newCLI(t)
	c.run(ExitFailed, "plan", "prices")
	c.has(c.err, "only services in manage mode")
}
