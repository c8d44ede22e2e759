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

// revisionLine is the first line of a document that get has printed. It says
// which revision was edited and is no part of the document.
var revisionLine = regexp.MustCompile(`^# revision ([0-9]+)\r?\n`)

// document is a service document in a file.
type document struct {
	path     string
	service  entity.ServiceName
	text     string // without the revision line
	revision uint64
	marked   bool // whether the file has a revision line
}

// readDocument reads and checks a file.
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
	if found := revisionLine.FindStringSubmatch(d.text); found != nil {
		d.marked = true
		d.text = d.text[len(found[0]):]
		if d.revision, err = strconv.ParseUint(found[1], 10, 64); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// mark brings the file's revision line up to date, if it has one.
func (d *document) mark(revision uint64) error {
	if !d.marked {
		return nil
	}
	info, err := os.Stat(d.path)
	if err != nil {
		return err
	}
	return os.WriteFile(d.path, []byte(marked(revision, d.text)), info.Mode().Perm())
}

// marked returns a text with a revision line.
func marked(revision uint64, text string) string {
	return fmt.Sprintf("# revision %d\n%s", revision, text)
}

// printable returns a document as get prints it.
func printable(d configuration.Document) string { return marked(d.Revision, d.Text) }
