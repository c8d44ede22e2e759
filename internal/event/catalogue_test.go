package event

import (
	"bytes"
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "regenerate docs/EVENTS.md")

const cataloguePath = "../../docs/EVENTS.md"

func TestWriteCatalogue_PageIsCurrent(t *testing.T) {
	var want bytes.Buffer
	if err := WriteCatalogue(&want); err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(cataloguePath, want.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(cataloguePath)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want.Bytes()) {
		t.Fatal("docs/EVENTS.md is out of date; run: go test ./internal/event -update")
	}
}
