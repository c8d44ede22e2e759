package command

import (
	"context"
	"fmt"
	"io"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

type plan struct {
	remote
	Service string `arg:"positional,required" help:"name of a service in manage mode"`
	Explain bool   `arg:"--explain" help:"say why, line by line"`
}

func (p *plan) run(ctx context.Context, e *environment) error {
	c, err := p.client()
	if err != nil {
		return err
	}
	answer, err := askPlan(ctx, c, entity.ServiceName(p.Service))
	if err != nil {
		return err
	}
	e.print(answer, func(w io.Writer) { p.write(w, answer) })
	return nil
}

// askPlan asks a daemon for a plan and, if another one has it, that one.
func askPlan(ctx context.Context, c *adminapi.Client, s entity.ServiceName) (adminapi.Plan, error) {
	answer, err := c.Plan(ctx, s)
	if err != nil || answer.Last != nil {
		return answer, err
	}
	if answer.Admin != "" {
		answer, err = peerOf(c, answer.Admin).Plan(ctx, s)
	}
	if err == nil && answer.Last == nil {
		err = fmt.Errorf("the service passes from one planner to another; the last one known is %s. Try again", answer.Planner)
	}
	return answer, err
}

func (p *plan) write(w io.Writer, a adminapi.Plan) {
	l := a.Last
	fmt.Fprintf(w, "%s is planned by %s\n", a.Service, a.Planner)
	fmt.Fprintf(w, "target %d servers, %d left when any one data centre is lost, %.2f per hour\n", l.Target, l.Keep, l.Cost)
	if l.Short {
		fmt.Fprintln(w, "the target cannot be reached with what is offered and allowed")
	}
	for _, s := range l.Start {
		fmt.Fprintf(w, "start %s %s %s at %.2f per hour\n", s.DataCentre, s.Class, s.Market, s.PerHour)
	}
	for _, token := range l.Drain {
		fmt.Fprintf(w, "drain %s\n", token)
	}
	if p.Explain {
		fmt.Fprintf(w, "\n%s", l.Why)
	}
}
