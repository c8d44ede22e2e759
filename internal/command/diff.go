package command

import (
	"context"
	"fmt"
	"io"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/linediff"
)

type diff struct {
	remote
	File string `arg:"positional,required" help:"service document"`
}

// diffReport is a comparison in JSON.
type diffReport struct {
	Service  entity.ServiceName `json:"service"`
	Revision uint64             `json:"revision"` // in force; 0: the service is new
	Edited   uint64             `json:"edited,omitempty"`
	Lines    []string           `json:"lines"`
}

// run exits with ExitFailed when the documents differ.
func (d *diff) run(ctx context.Context, e *environment) error {
	doc, err := readDocument(d.File)
	if err != nil {
		return err
	}
	c, err := d.client()
	if err != nil {
		return err
	}
	inForce, _, err := c.Document(ctx, doc.service)
	if err != nil {
		return err
	}
	report := diffReport{
		Service: doc.service, Revision: inForce.Revision, Edited: doc.revision,
		Lines: linediff.Lines(inForce.Text, doc.text),
	}
	e.print(report, func(w io.Writer) { report.write(w, d.File) })
	if len(report.Lines) > 0 {
		return errReported
	}
	return nil
}

func (r *diffReport) write(w io.Writer, file string) {
	if r.Edited > 0 && r.Edited != r.Revision {
		fmt.Fprintf(w, "# %s was edited from revision %d; revision %d is in force\n", file, r.Edited, r.Revision)
	}
	if len(r.Lines) == 0 {
		fmt.Fprintf(w, "# no difference to revision %d\n", r.Revision)
		return
	}
	fmt.Fprintf(w, "--- %s, revision %d\n+++ %s\n", r.Service, r.Revision, file)
	writeLines(w, r.Lines)
}

func writeLines(w io.Writer, lines []string) {
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
}
