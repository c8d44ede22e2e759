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

// Document is a document that has been read. It knows the line of each key and
// collects the problems found.
type Document struct {
	file     string
	lines    map[string]int
	problems Problems
	broken   bool
}

// Read decodes data into the struct that v points to. Fields are named by the
// tag "toml"; fields without one are ignored. Keys that the document lacks
// leave their fields as they are, so that v may hold defaults. The result is
// never nil; Problems says whether the document is sound.
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

// Empty returns a document without keys, for values that come from no file.
func Empty(name string) *Document {
	return &Document{file: name, lines: map[string]int{}}
}

// Readable reports whether the syntax is sound, so that values are known.
func (d *Document) Readable() bool { return !d.broken }

func (d *Document) syntaxError(err error) {
	d.broken = true
	p := Problem{File: d.file, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
	var at *toml.DecodeError
	if errors.As(err, &at) {
		p.Line, _ = at.Position()
		p.Key = strings.Join(at.Key(), ".")
	}
	d.problems = append(d.problems, p)
}

// Has reports whether the document holds the key.
func (d *Document) Has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// Line returns the line of the key, or of the nearest table above it that is
// in the document, or 0.
func (d *Document) Line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = parent(key)
	}
	return 0
}

func parent(key string) string {
	i := strings.LastIndexAny(key, ".[")
	if i < 0 {
		return ""
	}
	return key[:i]
}

// Add reports a problem of a key, unless the key already has one.
func (d *Document) Add(key, format string, args ...any) {
	if d.problems.has(key) {
		return
	}
	d.problems = append(d.problems, Problem{
		File:   d.file,
		Line:   d.Line(key),
		Key:    key,
		Reason: fmt.Sprintf(format, args...),
	})
}

// Problems returns the problems found so far, by line.
func (d *Document) Problems() Problems {
	out := slices.Clone(d.problems)
	slices.SortStableFunc(out, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return out
}

// Err returns the problems found so far as an error, or nil.
func (d *Document) Err() error { return d.Problems().Err() }
