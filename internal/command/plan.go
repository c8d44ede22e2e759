package command

import (
	"context"
	"fmt"
	"io"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

type planCommand struct {
	adminFlags
	Service string `arg:"positional,required" help:"name of a service in manage mode"`
	Explain bool   `arg:"--explain" help:"also print the reasons, line by line"`
}

func (p *planCommand) run(ctx context.Context, e *environment) error {
	c, err := p.newClient()
	if err != nil {
		return err
	}
	answer, err := fetchPlan(ctx, c, entity.ServiceName(p.Service))
	if err != nil {
		return err
	}
	e.printResult(answer, func(w io.Writer) { p.writeText(w, answer) })
	return nil
}

// fetchPlan requests a plan of a service from a daemon and, if that one names
// another daemon as its planner, from the planner.
func fetchPlan(ctx context.Context, c *adminapi.Client, s entity.ServiceName) (adminapi.Plan, error) {
	answer, err := c.Plan(ctx, s)
	if err != nil || answer.LastPlan != nil {
		return answer, err
	}
	if answer.AdminAddress != "" {
		answer, err = peerClient(c, answer.AdminAddress).Plan(ctx, s)
	}
	if err == nil && answer.LastPlan == nil {
		err = fmt.Errorf("the service is moving from one planner to another; the last known planner is %s. Try again", answer.Planner)
	}
	return answer, err
}

func (p *planCommand) writeText(w io.Writer, answer adminapi.Plan) {
	detail := answer.LastPlan
	fmt.Fprintf(w, "%s is planned by %s\n", answer.Service, answer.Planner)
	fmt.Fprintf(w, "target %d servers, %d left when any one data centre is lost, %.2f per hour\n", detail.Target, detail.ServersAfterLoss, detail.CostPerHour)
	if detail.TargetUnmet {
		fmt.Fprintln(w, "the target cannot be reached with what is offered and allowed")
	}
	for _, s := range detail.Start {
		fmt.Fprintf(w, "start %s %s %s at %.2f per hour\n", s.DataCentre, s.Class, s.Market, s.PerHour)
	}
	for _, token := range detail.Drain {
		fmt.Fprintf(w, "drain %s\n", token)
	}
	if p.Explain {
		fmt.Fprintf(w, "\n%s", detail.Explanation)
	}
}
