package tomldoc

import (
	"fmt"
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the dotted path of each key to its line.
type lineIndex struct {
	parser   unstable.Parser
	newlines []int          // offsets
	elements map[string]int // arrays of tables: elements so far
	lines    map[string]int
}

// indexLines returns the line of each key of a document whose syntax is sound.
func indexLines(data []byte) map[string]int {
	x := &lineIndex{elements: map[string]int{}, lines: map[string]int{}}
	for i, c := range data {
		if c == '\n' {
			x.newlines = append(x.newlines, i)
		}
	}
	x.parser.Reset(data)
	prefix := ""
	for x.parser.NextExpression() {
		node := x.parser.Expression()
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = x.header(node)
		case unstable.KeyValue:
			x.keyValue(prefix, node)
		}
	}
	return x.lines
}

// header records a table header and returns its path.
func (x *lineIndex) header(node *unstable.Node) string {
	path, line := "", 0
	keys := node.Key()
	for keys.Next() {
		path = join(path, string(keys.Node().Data))
		line = x.line(keys.Node())
		if keys.IsLast() && node.Kind == unstable.ArrayTable {
			x.note(path, line)
			x.elements[path]++
		}
		if n := x.elements[path]; n > 0 {
			path = element(path, n-1)
		}
		x.note(path, line)
	}
	return path
}

func (x *lineIndex) keyValue(prefix string, node *unstable.Node) {
	path, line := prefix, 0
	keys := node.Key()
	for keys.Next() {
		path = join(path, string(keys.Node().Data))
		line = x.line(keys.Node())
		x.note(path, line)
	}
	x.value(path, line, node.Value())
}

func (x *lineIndex) value(path string, line int, node *unstable.Node) {
	switch node.Kind {
	case unstable.InlineTable:
		for it := node.Children(); it.Next(); {
			x.keyValue(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := node.Children(); it.Next(); i++ {
			x.note(element(path, i), line)
			x.value(element(path, i), line, it.Node())
		}
	}
}

func (x *lineIndex) note(path string, line int) {
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = line
	}
}

func (x *lineIndex) line(node *unstable.Node) int {
	return 1 + sort.SearchInts(x.newlines, int(node.Raw.Offset))
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

func element(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
