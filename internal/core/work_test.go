package core

import (
	"fmt"
	"strings"
	"testing"

	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

// Engines name cached prefixes in their events; the core must name them alike.
func TestWork_PrefixesAreThoseOfTheEngines(t *testing.T) {
	prompt := strings.Repeat("tram line 1 ", 100)
	w := &Work{Completion: &Completion{Prompt: prompt}}
	digests := standin.PrefixDigests(prompt)
	prefixes := w.prefixes()
	if len(prefixes) != len(digests) || len(prefixes) == 0 {
		t.Fatalf("%d prefixes, the engine has %d", len(prefixes), len(digests))
	}
	for i, p := range prefixes {
		if got := fmt.Sprintf("%016x", p); got != digests[i][:16] {
			t.Errorf("prefix %d is %s, the engine says %s", i, got, digests[i][:16])
		}
	}
}
