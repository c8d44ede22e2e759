package command

import (
	"context"
	"fmt"
	"io"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/linediff"
)

type diffCommand struct {
	adminFlags
	File string `arg:"positional,required" help:"service document"`
}

// diffReport is the JSON output of a comparison.
type diffReport struct {
	Service  entity.ServiceName `json:"service"`
	Revision uint64             `json:"revision"`         // in force; 0 for a new service
	Edited   uint64             `json:"edited,omitempty"` // from the file's revision line; 0 without one
	Lines    []string           `json:"lines"`
}

// run returns errReported if the documents differ, so that the process exits with
// ExitFailed.
func (d *diffCommand) run(ctx context.Context, e *environment) error {
	doc, err := readDocument(d.File)
	if err != nil {
		return err
	}
	c, err := d.newClient()
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
	e.printResult(report, func(w io.Writer) { report.writeText(w, d.File) })
	if len(report.Lines) > 0 {
		return errReported
	}
	return nil
}

func (r *diffReport) writeText(w io.Writer, file string) {
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
