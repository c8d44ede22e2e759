package tomldoc

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Document is a TOML document that has been read. It holds the line of each key
// and the problems found.
type Document struct {
	file     string
	lines    map[string]int // by dotted path of the key
	problems Problems
	invalid  bool // the syntax is not valid TOML
}

// Read decodes data into the struct that v points to. The tag "toml" of a field
// gives its key; fields without one are ignored. Fields whose key is not in the
// document are left as they are, so that v may hold defaults. The result is never
// nil; its Problems are empty if data was decoded without a problem. file serves
// for messages only.
func Read(file string, data []byte, v any) *Document {
	d := &Document{file: file, lines: map[string]int{}}
	tree := map[string]any{}
	if err := toml.Unmarshal(data, &tree); err != nil {
		d.syntaxError(err)
		return d
	}
	d.lines = indexLines(data)
	d.bindStruct("", reflect.ValueOf(v).Elem(), tree)
	return d
}

// Empty returns a document without keys, to collect the problems of values that
// do not come from a file. name takes the place of the file's name in them.
func Empty(name string) *Document {
	return &Document{file: name, lines: map[string]int{}}
}

// Readable reports whether the document is valid TOML, so that its values could
// be decoded.
func (d *Document) Readable() bool { return !d.invalid }

// syntaxError adds the error of the TOML parser as a problem.
func (d *Document) syntaxError(err error) {
	d.invalid = true
	p := Problem{File: d.file, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		p.Line, _ = decodeError.Position()
		p.Key = strings.Join(decodeError.Key(), ".")
	}
	d.problems = append(d.problems, p)
}

// Has reports whether the document has a value or table at the dotted path key.
func (d *Document) Has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// Line returns the line of the key. If the key is not in the document, it returns
// the line of the innermost table around it that is, or 0.
func (d *Document) Line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = parentKey(key)
	}
	return 0
}

// parentKey returns the key without its last name or array index.
func parentKey(key string) string {
	i := strings.LastIndexAny(key, ".[")
	if i < 0 {
		return ""
	}
	return key[:i]
}

// Add adds a problem of a key, unless the key, a key in it or a table around it
// already has one.
func (d *Document) Add(key, format string, args ...any) {
	if d.problems.overlap(key) {
		return
	}
	d.problems = append(d.problems, Problem{
		File:   d.file,
		Line:   d.Line(key),
		Key:    key,
		Reason: fmt.Sprintf(format, args...),
	})
}

// Problems returns the problems found so far in the order of their lines.
func (d *Document) Problems() Problems {
	out := slices.Clone(d.problems)
	slices.SortStableFunc(out, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return out
}

// Err returns the problems found so far as an error, or nil.
func (d *Document) Err() error { return d.Problems().Err() }
