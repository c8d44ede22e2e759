package command

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
)

type getCommand struct {
	adminFlags
	Service string `arg:"positional" help:"name of a service; default: list all services"`
}

func (g *getCommand) run(ctx context.Context, e *environment) error {
	c, err := g.newClient()
	if err != nil {
		return err
	}
	if g.Service == "" {
		documents, err := c.Documents(ctx)
		if err != nil {
			return err
		}
		e.printResult(documents, func(w io.Writer) { writeDocuments(w, documents) })
		return nil
	}
	d, found, err := c.Document(ctx, entity.ServiceName(g.Service))
	if err != nil {
		return err
	}
	if !found {
		return fmt.Errorf("there is no service %q; \"gooseberryslip get\" lists them", g.Service)
	}
	e.printResult(d, func(w io.Writer) { fmt.Fprint(w, formatDocument(d)) })
	return nil
}

// writeDocuments writes a table with a row for each document.
func writeDocuments(w io.Writer, documents []configuration.Document) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tREVISION\tTIME\tAUTHOR\tOPERATION")
	for _, d := range documents {
		deleted := ""
		if d.Deleted {
			deleted = " (deleted)"
		}
		fmt.Fprintf(t, "%s%s\t%d\t%s\t%s\t%s\n", d.Service, deleted, d.Revision, d.Time().Format(time.DateTime), d.Author, d.Operation)
	}
	_ = t.Flush()
}
