package command

import (
	"context"
	"fmt"
	"io"

	"github.com/gooseberryslip/gooseberryslip/internal/buildinfo"
)

type versionCommand struct{}

func (*versionCommand) run(_ context.Context, e *environment) error {
	b := buildinfo.Read()
	e.printResult(b, func(w io.Writer) { fmt.Fprintln(w, "gooseberryslip", b.Version, b.Revision, b.Go) })
	return nil
}
