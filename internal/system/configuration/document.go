package configuration

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/servicedoc"
)

// Rows of the table service.
const (
	configPartition  = "config"
	headSort         = "head"
	documentPrefix   = "service/"
	historyPartition = "config-history/"
	// HistoryLength is the number of past documents kept for each service.
	HistoryLength = 32
	// recentLength is the number of changes that the head row names.
	recentLength = 16
)

// Document is one accepted version of a service document.
type Document struct {
	Service   entity.ServiceName `cbor:"1,keyasint" json:"service"`
	Revision  uint64             `cbor:"2,keyasint" json:"revision"`
	Operation string             `cbor:"3,keyasint" json:"operation"` // id given by the operator's client
	Author    string             `cbor:"4,keyasint" json:"author"`
	Micros    int64              `cbor:"5,keyasint" json:"unix_micros"` // time of the change
	Text      string             `cbor:"6,keyasint" json:"text"`
	Deleted   bool               `cbor:"7,keyasint,omitempty" json:"deleted,omitempty"`
}

// Time returns when the change was made.
func (d Document) Time() time.Time { return time.UnixMicro(d.Micros).UTC() }

// headRow is the value of the head row.
type headRow struct {
	Revision uint64         `cbor:"1,keyasint"`
	Recent   []recentChange `cbor:"2,keyasint"` // newest first
}

type recentChange struct {
	Revision uint64             `cbor:"1,keyasint"`
	Service  entity.ServiceName `cbor:"2,keyasint"`
}

// with returns the head after a further change.
func (h headRow) with(revision uint64, service entity.ServiceName) headRow {
	recent := append([]recentChange{{Revision: revision, Service: service}}, h.Recent...)
	if len(recent) > recentLength {
		recent = recent[:recentLength]
	}
	return headRow{Revision: revision, Recent: recent}
}

// since returns the services changed after a revision, newest first, and false
// when the head row does not reach back that far.
func (h headRow) since(revision uint64) ([]recentChange, bool) {
	var out []recentChange
	seen := map[entity.ServiceName]bool{}
	for _, r := range h.Recent {
		if r.Revision <= revision {
			return out, true
		}
		if !seen[r.Service] {
			seen[r.Service] = true
			out = append(out, r)
		}
		if r.Revision == revision+1 {
			return out, true
		}
	}
	return nil, h.Revision <= revision
}

func documentSort(service entity.ServiceName) string { return documentPrefix + string(service) }

func readDocument(service entity.ServiceName, consistent bool) provider.Operation {
	return provider.Operation{
		Kind: provider.GetRow, Partition: configPartition, Sort: documentSort(service), Consistent: consistent,
	}
}

func readHead() provider.Operation {
	return provider.Operation{Kind: provider.GetRow, Partition: configPartition, Sort: headSort, Consistent: true}
}

func decodeDocument(row provider.Row) (Document, error) {
	var d Document
	err := codec.Decode(row.Value, &d)
	return d, err
}

// parse returns the service of a document; nil for a deleted one.
func (d Document) parse() (*entity.Service, error) {
	if d.Deleted {
		return nil, nil
	}
	s, err := servicedoc.Parse(fmt.Sprintf("%s@%d", d.Service, d.Revision), []byte(d.Text))
	if err != nil {
		return nil, err
	}
	if s.Name != d.Service {
		return nil, fmt.Errorf("document of %q is stored as %q", s.Name, d.Service)
	}
	s.Revision = d.Revision
	return s, nil
}

// install puts a document in force if it is newer than the one held.
func (c *Configuration) install(now time.Time, d Document) {
	old := c.documents.Get(d.Service)
	if old != nil && old.Revision >= d.Revision {
		return
	}
	s, err := d.parse()
	if err != nil {
		c.emit(now, event.ConfigurationUnreadable, d.Service, err.Error())
		if old != nil {
			s = old.service
		}
		c.documents.Put(d.Service, &held{Document: d, service: s})
		return
	}
	c.documents.Put(d.Service, &held{Document: d, service: s})
	switch {
	case s != nil:
		c.ready.Changed = append(c.ready.Changed, *s)
	case old != nil && old.service != nil:
		c.ready.Removed = append(c.ready.Removed, d.Service)
	}
}
