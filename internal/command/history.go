package command

import (
	"context"
	"fmt"
	"io"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

type historyCommand struct {
	adminFlags
	Service  string `arg:"positional,required" help:"name of a service"`
	Revision uint64 `arg:"--revision" help:"print the document of this revision"`
}

func (h *historyCommand) run(ctx context.Context, e *environment) error {
	c, err := h.newClient()
	if err != nil {
		return err
	}
	documents, err := c.History(ctx, entity.ServiceName(h.Service))
	if err != nil {
		return err
	}
	if h.Revision == 0 {
		e.printResult(documents, func(w io.Writer) { writeDocuments(w, documents) })
		return nil
	}
	for _, d := range documents {
		if d.Revision == h.Revision {
			e.printResult(d, func(w io.Writer) { fmt.Fprint(w, d.Text) })
			return nil
		}
	}
	return fmt.Errorf("service %s has no revision %d among its last %d documents", h.Service, h.Revision, len(documents))
}
