package event

import (
	"fmt"
	"io"
)

// WriteCatalogue writes the catalogue of all kinds of event as a Markdown page.
func WriteCatalogue(w io.Writer) error {
	_, err := fmt.Fprint(w, `# Events

Each line of the log and of the time line has a number from this list. A number
keeps its meaning for ever. This page is generated: `+"`go test ./internal/event -update`"+`.

| number | level | meaning |
|---|---|---|
`)
	for _, k := range Kinds() {
		if err == nil {
			_, err = fmt.Fprintf(w, "| %d | %s | %s |\n", k.Number, k.Level, k.Text)
		}
	}
	return err
}
