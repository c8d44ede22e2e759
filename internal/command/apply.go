package command

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/google/uuid"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/linediff"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
)

type apply struct {
	remote
	File      string `arg:"positional" help:"service document"`
	Delete    string `arg:"--delete" placeholder:"SERVICE" help:"delete this service instead"`
	Revision  uint64 `arg:"--revision" help:"the revision that was edited; default: the file's revision line, else the one in force"`
	Operation string `arg:"--operation" placeholder:"ID" help:"id of the change, to repeat one whose reply was lost"`
}

func (a *apply) run(ctx context.Context, e *environment) error {
	if (a.File == "") == (a.Delete == "") {
		return usage("give a service document, or --delete SERVICE")
	}
	c, err := a.client()
	if err != nil {
		return err
	}
	doc := &document{service: entity.ServiceName(a.Delete)}
	if a.File != "" {
		if doc, err = readDocument(a.File); err != nil {
			return err
		}
	}
	change, err := a.change(ctx, c, doc)
	if err != nil {
		return err
	}
	o, err := c.Apply(ctx, change)
	if err != nil {
		return e.applyFailed(change, err)
	}
	e.print(o, func(w io.Writer) { fmt.Fprintf(w, "%s: in force as revision %d\n", o.Service, o.Revision) })
	return doc.mark(o.Revision)
}

// change returns the change that the flags and the file ask for.
func (a *apply) change(ctx context.Context, c *adminapi.Client, doc *document) (configuration.Change, error) {
	change := configuration.Change{
		Operation: a.Operation, Service: doc.service, Text: doc.text, ReadRevision: a.Revision,
	}
	if change.Operation == "" {
		change.Operation = uuid.NewString()
	}
	change.ReadRevision = cmp.Or(change.ReadRevision, doc.revision)
	if change.ReadRevision > 0 {
		return change, nil
	}
	inForce, _, err := c.Document(ctx, doc.service)
	change.ReadRevision = inForce.Revision
	return change, err
}

// applyFailed tells how to go on after a change that was not made.
func (e *environment) applyFailed(change configuration.Change, err error) error {
	var f *adminapi.Failure
	if e.output == "json" || !errors.As(err, &f) {
		if errors.Is(err, adminapi.ErrUnreachable) {
			fmt.Fprintf(e.err, "The change may have taken effect. To find out, repeat it with --operation %s --revision %d.\n",
				change.Operation, change.ReadRevision)
		}
		return err
	}
	switch {
	case f.Code == adminapi.CodeConflict:
		fmt.Fprintf(e.err, "%s was changed to revision %d by %s at %s, after revision %d that you edited.\n--- theirs\n+++ yours\n",
			change.Service, f.Theirs.Revision, f.Theirs.Author, f.Theirs.Time().Format("2006-01-02 15:04:05"), change.ReadRevision)
		writeLines(e.err, linediff.Lines(f.Theirs.Text, change.Text))
		fmt.Fprintf(e.err, "Get the document again, make your change in it and apply that.\n")
	case f.MayHaveTakenEffect:
		fmt.Fprintf(e.err, "To repeat it: --operation %s --revision %d\n", change.Operation, change.ReadRevision)
	}
	return err
}
