package command

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
)

// Version is the release. Builds of a release set it with -ldflags -X.
var Version = "development"

type version struct{}

// versionReport is the version in JSON.
type versionReport struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"` // of the source
	Go       string `json:"go"`
}

func (*version) run(_ context.Context, e *environment) error {
	r := versionReport{Version: Version, Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				r.Revision = s.Value
			}
		}
	}
	e.print(r, func(w io.Writer) { fmt.Fprintln(w, "gooseberryslip", r.Version, r.Revision, r.Go) })
	return nil
}
