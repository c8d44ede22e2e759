// Package buildinfo says which build of the program runs.
package buildinfo

import (
	"runtime"
	"runtime/debug"
)

// Version is the version of the release. Builds of a release set it with
// -ldflags -X.
var Version = "development"

// Build identifies a build of the program.
type Build struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"` // of the source, in version control; "": not known
	Go       string `json:"go"`
}

// Read returns the build of this process.
func Read() Build {
	b := Build{Version: Version, Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				b.Revision = s.Value
			}
		}
	}
	return b
}
