// Package tomldoc reads TOML documents strictly into structs. It reports every
// unknown key, wrong type and malformed duration of a document at once, each
// with file, line, key and reason.
package tomldoc

import (
	"fmt"
	"strings"
)

// Problem is one fault of a document.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"` // from 1; 0 when the key is not in the file
	Key    string `json:"key,omitempty"`  // dotted path, such as "listen.callers"
	Reason string `json:"reason"`
}

// String returns "file:line: key: reason" without the parts that are unknown.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Key != "" {
		b.WriteString(": ")
		b.WriteString(p.Key)
	}
	b.WriteString(": ")
	b.WriteString(p.Reason)
	return b.String()
}

// Problems is an error that holds all faults of a document.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// has reports whether the key, a part of it or a table above it already has a
// problem.
func (p Problems) has(key string) bool {
	for i := range p {
		known := p[i].Key
		if known == key || strings.HasPrefix(known, key+".") || strings.HasPrefix(key, known+".") {
			return true
		}
	}
	return false
}
