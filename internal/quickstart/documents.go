package quickstart

import (
	"io/fs"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/servicedoc"
)

// document is a service document whose backend servers run as stand-ins.
type document struct {
	service *entity.Service
	text    string
}

// readDocuments parses all service documents of a directory.
func readDocuments(dir fs.FS) ([]document, error) {
	names, err := fs.Glob(dir, "*.toml")
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, merry.New("there are no service documents (*.toml)")
	}
	var out []document
	for _, name := range names {
		text, err := fs.ReadFile(dir, name)
		if err != nil {
			return nil, err
		}
		service, err := servicedoc.Parse(name, text)
		if err != nil {
			return nil, err
		}
		out = append(out, document{service: service, text: string(text)})
	}
	return out, nil
}

// readdress replaces the address of a backend server in the document's text.
func (d *document) readdress(id entity.BackendServerID, address string) {
	for i := range d.service.BackendServers {
		b := &d.service.BackendServers[i]
		if b.ID != id {
			continue
		}
		d.text = strings.ReplaceAll(d.text, `"`+b.Address+`"`, `"`+address+`"`)
		b.Address = address
	}
}
