package verdict

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

func TestOf_PlainErrorMayHaveRun(t *testing.T) {
	if got := Of(errors.New("connection reset")); got != MayHaveRun {
		t.Fatalf("Of = %v, want %v", got, MayHaveRun)
	}
}

func TestOf_SurvivesWrapping(t *testing.T) {
	err := WithRetryAfter(New(NotRun, "over-limit", "too many requests"), time.Second)
	err = fmt.Errorf("admit: %w", err)
	if Of(err) != NotRun || CodeOf(err) != "over-limit" {
		t.Fatalf("Of = %v, CodeOf = %v, want not-run and over-limit", Of(err), CodeOf(err))
	}
	if d, ok := RetryAfter(err); !ok || d != time.Second {
		t.Fatalf("RetryAfter = %v, %v, want 1s, true", d, ok)
	}
}

func TestParse_RoundTrip(t *testing.T) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		if Parse(v.String()) != v {
			t.Errorf("Parse(%q) != %v", v.String(), v)
		}
	}
}
