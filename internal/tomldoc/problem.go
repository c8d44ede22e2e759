// Package tomldoc decodes TOML documents strictly into structs. It reports all
// unknown keys, wrong types and malformed durations of a document at once, each
// with its file, line, key and reason.
package tomldoc

import (
	"fmt"
	"strings"
)

// Problem is one reason why a document cannot be accepted.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"` // from 1; 0 if neither the key nor a table around it is in the file
	Key    string `json:"key,omitempty"`  // dotted path, such as "listen.callers"
	Reason string `json:"reason"`
}

// String returns "file:line: key: reason" and leaves out the line and the key
// if they are not known.
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

// Problems is an error that holds all problems of a document.
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

// overlap reports whether the key, a key in it or a table around it has a problem.
func (p Problems) overlap(key string) bool {
	for i := range p {
		other := p[i].Key
		if other == key || strings.HasPrefix(other, key+".") || strings.HasPrefix(key, other+".") {
			return true
		}
	}
	return false
}
