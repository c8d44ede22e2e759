// Package examples holds worked settings and service documents.
package examples

import "embed"

// Quickstart holds the service documents that "gooseberryslip quickstart"
// serves.
//
//go:embed quickstart/*.toml
var Quickstart embed.FS
