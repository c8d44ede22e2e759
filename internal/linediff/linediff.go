// Package linediff compares two texts line by line for people to read.
package linediff

import "strings"

// context is the number of unchanged lines shown around a change.
const context = 3

// maxCells bounds the table of the comparison; larger texts are shown as
// wholly replaced.
const maxCells = 16 << 20

// Lines returns the differences: each line starts with "-" (only in a), "+"
// (only in b), " " (in both) or "..." (unchanged lines left out). It returns
// nil for equal texts.
func Lines(a, b string) []string {
	if a == b {
		return nil
	}
	return trim(compare(split(a), split(b)))
}

func split(s string) []string {
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}

// compare returns the shortest edit that a longest common subsequence gives.
func compare(a, b []string) []string {
	if len(a)*len(b) > maxCells {
		return append(prefixed("-", a), prefixed("+", b)...)
	}
	common := lengths(a, b)
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
	out = append(out, prefixed("-", a[i:])...)
	return append(out, prefixed("+", b[j:])...)
}

// lengths returns the lengths of the longest common subsequences of all tails.
func lengths(a, b []string) [][]int32 {
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

func prefixed(prefix string, lines []string) []string {
	out := make([]string, len(lines))
	for i, l := range lines {
		out[i] = prefix + l
	}
	return out
}

// trim leaves out unchanged lines that are far from any change.
func trim(lines []string) []string {
	near := make([]bool, len(lines))
	for i, l := range lines {
		if l[0] == ' ' {
			continue
		}
		for k := max(0, i-context); k <= min(len(lines)-1, i+context); k++ {
			near[k] = true
		}
	}
	var out []string
	for i, l := range lines {
		switch {
		case near[i]:
			out = append(out, l)
		case len(out) == 0 || out[len(out)-1] != "...":
			out = append(out, "...")
		}
	}
	return out
}
