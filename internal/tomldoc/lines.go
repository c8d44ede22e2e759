package tomldoc

import (
	"fmt"
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex finds the line of each key of a TOML document.
type lineIndex struct {
	parser   unstable.Parser
	newlines []int          // byte offsets, ascending
	elements map[string]int // number of elements so far, by path of an array of tables
	lines    map[string]int // by dotted path of the key, from 1
}

// indexLines returns the line of each key, by its dotted path. data must be valid
// TOML.
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
			prefix = x.addHeader(node)
		case unstable.KeyValue:
			x.addKeyValue(prefix, node)
		}
	}
	return x.lines
}

// addHeader adds the keys of a table header and returns the path of the table.
func (x *lineIndex) addHeader(node *unstable.Node) string {
	path, line := "", 0
	keys := node.Key()
	for keys.Next() {
		path = joinKey(path, string(keys.Node().Data))
		line = x.lineOf(keys.Node())
		if keys.IsLast() && node.Kind == unstable.ArrayTable {
			x.addLine(path, line)
			x.elements[path]++
		}
		if n := x.elements[path]; n > 0 {
			path = elementKey(path, n-1)
		}
		x.addLine(path, line)
	}
	return path
}

// addKeyValue adds the keys of a key-value pair in the table at prefix, and those
// within its value.
func (x *lineIndex) addKeyValue(prefix string, node *unstable.Node) {
	path, line := prefix, 0
	keys := node.Key()
	for keys.Next() {
		path = joinKey(path, string(keys.Node().Data))
		line = x.lineOf(keys.Node())
		x.addLine(path, line)
	}
	x.addValue(path, line, node.Value())
}

// addValue adds the keys within the value at path: those of an inline table and
// the elements of an array. All elements get the line of the array's key.
func (x *lineIndex) addValue(path string, line int, node *unstable.Node) {
	switch node.Kind {
	case unstable.InlineTable:
		for it := node.Children(); it.Next(); {
			x.addKeyValue(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := node.Children(); it.Next(); i++ {
			x.addLine(elementKey(path, i), line)
			x.addValue(elementKey(path, i), line, it.Node())
		}
	}
}

// addLine sets the line of a path, unless an earlier key has set it.
func (x *lineIndex) addLine(path string, line int) {
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = line
	}
}

// lineOf returns the line on which a node starts.
func (x *lineIndex) lineOf(node *unstable.Node) int {
	return 1 + sort.SearchInts(x.newlines, int(node.Raw.Offset))
}

// joinKey returns the dotted path of a key in the table at prefix.
func joinKey(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// elementKey returns the path of element i of the array at path.
func elementKey(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
