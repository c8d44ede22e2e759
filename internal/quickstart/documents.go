package quickstart

import (
	"io/fs"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/servicedoc"
)

// document is a service document. Before it is applied, the addresses of its
// backend servers are replaced by those of their stand-ins.
type document struct {
	service *entity.Service
	text    string
}

// readDocuments parses all service documents (*.toml) of a directory.
func readDocuments(dir fs.FS) ([]document, error) {
	names, err := fs.Glob(dir, "*.toml")
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, merry.New("the directory has no service documents (*.toml)")
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

// replaceAddress replaces the address of a backend server in the parsed document
// and in its text.
func (d *document) replaceAddress(id entity.BackendServerID, address string) {
	for i := range d.service.BackendServers {
		b := &d.service.BackendServers[i]
		if b.ID != id {
			continue
		}
		d.text = strings.ReplaceAll(d.text, `"`+b.Address+`"`, `"`+address+`"`)
		b.Address = address
	}
}
