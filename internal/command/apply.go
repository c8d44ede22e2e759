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

type applyCommand struct {
	adminFlags
	File      string `arg:"positional" help:"service document"`
	Delete    string `arg:"--delete" placeholder:"SERVICE" help:"delete this service instead"`
	Revision  uint64 `arg:"--revision" help:"the revision that was edited; default: that of the file's revision line, else the one in force"`
	Operation string `arg:"--operation" placeholder:"ID" help:"id of the change; give the same one to repeat a change whose reply was lost"`
}

func (a *applyCommand) run(ctx context.Context, e *environment) error {
	if (a.File == "") == (a.Delete == "") {
		return newUsageError("give either a service document or --delete SERVICE")
	}
	c, err := a.newClient()
	if err != nil {
		return err
	}
	doc := &document{service: entity.ServiceName(a.Delete)}
	if a.File != "" {
		if doc, err = readDocument(a.File); err != nil {
			return err
		}
	}
	change, err := a.buildChange(ctx, c, doc)
	if err != nil {
		return err
	}
	outcome, err := c.Apply(ctx, change)
	if err != nil {
		return e.reportApplyFailure(change, err)
	}
	e.printResult(outcome, func(w io.Writer) { fmt.Fprintf(w, "%s: in force as revision %d\n", outcome.Service, outcome.Revision) })
	return doc.updateRevisionLine(outcome.Revision)
}

// buildChange returns the change that the flags and the file describe. If neither
// says which revision was edited, the change is based on the one in force.
func (a *applyCommand) buildChange(ctx context.Context, c *adminapi.Client, doc *document) (configuration.Change, error) {
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

// reportApplyFailure prints what the operator can do about a change that was not
// made, or may not have been, and returns err.
func (e *environment) reportApplyFailure(change configuration.Change, err error) error {
	var failure *adminapi.Failure
	if e.format == "json" || !errors.As(err, &failure) {
		if errors.Is(err, adminapi.ErrUnreachable) {
			fmt.Fprintf(e.stderr, "The change may have taken effect. To find out, repeat it with --operation %s --revision %d.\n",
				change.Operation, change.ReadRevision)
		}
		return err
	}
	switch {
	case failure.Code == adminapi.CodeConflict:
		fmt.Fprintf(e.stderr, "%s was changed to revision %d by %s at %s, after revision %d that you edited.\n--- theirs\n+++ yours\n",
			change.Service, failure.Theirs.Revision, failure.Theirs.Author, failure.Theirs.Time().Format("2006-01-02 15:04:05"), change.ReadRevision)
		writeLines(e.stderr, linediff.Lines(failure.Theirs.Text, change.Text))
		fmt.Fprintf(e.stderr, "Get the document again, make your change in it and apply that.\n")
	case failure.MayHaveTakenEffect:
		fmt.Fprintf(e.stderr, "To repeat it: --operation %s --revision %d\n", change.Operation, change.ReadRevision)
	}
	return err
}
