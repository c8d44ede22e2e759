package linediff

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestLines_ShowsChangeWithContext(t *testing.T) {
	a := "1\n2\n3\n4\n5\n6\n7\n8\n9\n"
	b := strings.Replace(a, "5", "five", 1)
	got := strings.Join(Lines(a, b), "|")
	if want := "...| 2| 3| 4|-5|+five| 6| 7| 8|..."; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
	if Lines(a, a) != nil {
		t.Fatal("Lines reports differences between equal texts")
	}
}

func TestCompare_YieldsBothTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 12)
		a, b := text.Draw(t, "a"), text.Draw(t, "b")
		var left, right []string
		for _, l := range compare(a, b) {
			if l[0] != '+' {
				left = append(left, l[1:])
			}
			if l[0] != '-' {
				right = append(right, l[1:])
			}
		}
		if strings.Join(left, "") != strings.Join(a, "") || strings.Join(right, "") != strings.Join(b, "") {
			t.Fatalf("the lines marked for each text are %v and %v, want %v and %v", left, right, a, b)
		}
	})
}
