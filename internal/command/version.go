package command

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
)

// Version is the version of the release. Builds of a release set it with
// -ldflags -X.
var Version = "development"

type versionCommand struct{}

// versionReport is the JSON output of the version subcommand.
type versionReport struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"` // of the source, in version control
	Go       string `json:"go"`
}

func (*versionCommand) run(_ context.Context, e *environment) error {
	r := versionReport{Version: Version, Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				r.Revision = s.Value
			}
		}
	}
	e.printResult(r, func(w io.Writer) { fmt.Fprintln(w, "gooseberryslip", r.Version, r.Revision, r.Go) })
	return nil
}
