package command

import (
	"strings"
	"testing"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
)

func TestPlan_FollowsToThePlanner(t *testing.T) {
	c := newTestCLI(t)
	planner, server := startDaemon(t, "d2")
	admin := strings.TrimPrefix(server.URL, "http://")
	planner.plan = &adminapi.Plan{Service: "prices", Planner: "d2", AdminAddress: admin, LastPlan: &adminapi.PlanDetail{
		Target: 3, ServersAfterLoss: 2, CostPerHour: 0.9, Explanation: "load: one server\n",
		Start: []adminapi.PlanStart{{DataCentre: "west-b", Class: "gpu", Market: "reclaimable", PerHour: 0.3}},
	}}
	c.daemon.plan = &adminapi.Plan{Service: "prices", Planner: "d2", AdminAddress: admin}
	c.run(ExitOK, "plan", "prices")
	c.requireContains(c.stdout, "planned by d2", "target 3 servers, 2 left", "start west-b gpu reclaimable")
	if strings.Contains(c.stdout, "load:") {
		t.Errorf("the reasons are printed without --explain: %s", c.stdout)
	}
	c.run(ExitOK, "plan", "prices", "--explain")
	c.requireContains(c.stdout, "load: one server")
	planner.plan.LastPlan = nil
	c.run(ExitFailed, "plan", "prices")
	c.requireContains(c.stderr, "Try again")
}

func TestPlan_ServiceThatNobodyPlans(t *testing.T) {
	c := newTestCLI(t)
	c.run(ExitFailed, "plan", "prices")
	c.requireContains(c.stderr, "only services in manage mode")
}
