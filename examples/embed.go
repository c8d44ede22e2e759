// Package examples holds example settings, service documents and an experiment.
package examples

import "embed"

// Quickstart holds the service documents that "gooseberryslip quickstart"
// serves.
//
//go:embed quickstart/*.toml
var Quickstart embed.FS
