package core

import (
	"fmt"
	"strings"
	"testing"

	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

// Engines name cached prefixes in their events by digests, so the core has to
// compute the same digests.
func TestWork_PrefixesAreThoseOfTheEngines(t *testing.T) {
	prompt := strings.Repeat("tram line 1 ", 100)
	w := &Work{Completion: &Completion{Prompt: prompt}}
	digests := standin.PrefixDigests(prompt)
	prefixes := w.prefixes()
	if len(prefixes) != len(digests) || len(prefixes) == 0 {
		t.Fatalf("got %d prefixes, the engine has %d", len(prefixes), len(digests))
	}
	for i, p := range prefixes {
		if got := fmt.Sprintf("%016x", p); got != digests[i][:16] {
			t.Errorf("prefix %d: got %s, the engine has %s", i, got, digests[i][:16])
		}
	}
}
