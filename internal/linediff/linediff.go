// Package linediff shows the differences between two texts, line by line, in a
// form for people to read.
package linediff

import "strings"

// contextLines is the number of unchanged lines shown before and after a change.
const contextLines = 3

// maxTableCells bounds the memory of a comparison, which needs a table cell for
// each pair of lines. For larger texts, all lines are shown as replaced.
const maxTableCells = 16 << 20

// Lines returns the differences between a and b: each line starts with "-" (only
// in a), "+" (only in b), " " (in both) or "..." (unchanged lines left out). It
// returns nil for equal texts.
func Lines(a, b string) []string {
	if a == b {
		return nil
	}
	return elideUnchanged(compare(splitLines(a), splitLines(b)))
}

func splitLines(s string) []string {
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}

// compare returns all lines of a and b, prefixed as in Lines, with as many lines
// as possible marked as common: those of a longest common subsequence.
func compare(a, b []string) []string {
	if len(a)*len(b) > maxTableCells {
		return append(withPrefix("-", a), withPrefix("+", b)...)
	}
	common := commonLengths(a, b)
	var out []string
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			out = append(out, " "+a[i])
			i, j = i+1, j+1
		case common[i+1][j] >= common[i][j+1]:
			out = append(out, "-"+a[i])
			i++
		default:
			out = append(out, "+"+b[j])
			j++
		}
	}
	out = append(out, withPrefix("-", a[i:])...)
	return append(out, withPrefix("+", b[j:])...)
}

// commonLengths returns a table whose cell [i][j] is the length of the longest
// common subsequence of a[i:] and b[j:].
func commonLengths(a, b []string) [][]int32 {
	table := make([][]int32, len(a)+1)
	table[len(a)] = make([]int32, len(b)+1)
	for i := len(a) - 1; i >= 0; i-- {
		table[i] = make([]int32, len(b)+1)
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
			} else {
				table[i][j] = max(table[i+1][j], table[i][j+1])
			}
		}
	}
	return table
}

func withPrefix(prefix string, lines []string) []string {
	out := make([]string, len(lines))
	for i, l := range lines {
		out[i] = prefix + l
	}
	return out
}

// elideUnchanged replaces each run of unchanged lines that are more than
// contextLines away from any change by one line "...".
func elideUnchanged(lines []string) []string {
	nearChange := make([]bool, len(lines))
	for i, l := range lines {
		if l[0] == ' ' {
			continue
		}
		for k := max(0, i-contextLines); k <= min(len(lines)-1, i+contextLines); k++ {
			nearChange[k] = true
		}
	}
	var out []string
	for i, l := range lines {
		switch {
		case nearChange[i]:
			out = append(out, l)
		case len(out) == 0 || out[len(out)-1] != "...":
			out = append(out, "...")
		}
	}
	return out
}
