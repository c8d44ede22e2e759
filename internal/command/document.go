package command

import (
	"fmt"
	"os"
	"regexp"
	"strconv"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/servicedoc"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
)

// revisionLine matches the first line of a document that the get subcommand has
// printed. The line says which revision the file is based on, and is not part of
// the document.
var revisionLine = regexp.MustCompile(`^# revision ([0-9]+)\r?\n`)

// document is a service document in a file.
type document struct {
	path            string
	service         entity.ServiceName
	text            string // without the revision line
	revision        uint64 // from the revision line; 0 without one
	hasRevisionLine bool
}

// readDocument reads and checks a service document.
func readDocument(path string) (*document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	d := &document{path: path, text: string(data)}
	s, err := servicedoc.Parse(path, data)
	if err != nil {
		return nil, err
	}
	d.service = s.Name
	if match := revisionLine.FindStringSubmatch(d.text); match != nil {
		d.hasRevisionLine = true
		d.text = d.text[len(match[0]):]
		if d.revision, err = strconv.ParseUint(match[1], 10, 64); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// updateRevisionLine sets the revision in the file's revision line, if it has one.
func (d *document) updateRevisionLine(revision uint64) error {
	if !d.hasRevisionLine {
		return nil
	}
	info, err := os.Stat(d.path)
	if err != nil {
		return err
	}
	return os.WriteFile(d.path, []byte(withRevisionLine(revision, d.text)), info.Mode().Perm())
}

// withRevisionLine returns the text of a document below a revision line.
func withRevisionLine(revision uint64, text string) string {
	return fmt.Sprintf("# revision %d\n%s", revision, text)
}

// formatDocument returns a document as the get subcommand prints it.
func formatDocument(d configuration.Document) string { return withRevisionLine(d.Revision, d.Text) }
