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

// Keys of the rows in the table service.
const (
	configPartition        = "config"
	headSortKey            = "head"
	documentPrefix         = "service/"
	historyPartitionPrefix = "config-history/"
	// HistoryLength is the number of past documents retained for each service.
	HistoryLength = 32
	// maxRecentChanges is the number of changes listed in the head row.
	maxRecentChanges = 16
)

// Document is one accepted version of a service document.
type Document struct {
	Service   entity.ServiceName `cbor:"1,keyasint" json:"service"`
	Revision  uint64             `cbor:"2,keyasint" json:"revision"`
	Operation string             `cbor:"3,keyasint" json:"operation"` // id chosen by the operator's client
	Author    string             `cbor:"4,keyasint" json:"author"`
	Micros    int64              `cbor:"5,keyasint" json:"unix_micros"` // time of the change, in microseconds of Unix time
	Text      string             `cbor:"6,keyasint" json:"text"`
	Deleted   bool               `cbor:"7,keyasint,omitempty" json:"deleted,omitempty"`
}

// Time returns when the change was made.
func (d Document) Time() time.Time { return time.UnixMicro(d.Micros).UTC() }

// headRow is the value of the head row: the highest revision and the latest
// changes.
type headRow struct {
	Revision uint64         `cbor:"1,keyasint"`
	Recent   []recentChange `cbor:"2,keyasint"` // newest first
}

type recentChange struct {
	Revision uint64             `cbor:"1,keyasint"`
	Service  entity.ServiceName `cbor:"2,keyasint"`
}

// withChange returns the head row after one more change.
func (h headRow) withChange(revision uint64, service entity.ServiceName) headRow {
	recent := append([]recentChange{{Revision: revision, Service: service}}, h.Recent...)
	if len(recent) > maxRecentChanges {
		recent = recent[:maxRecentChanges]
	}
	return headRow{Revision: revision, Recent: recent}
}

// changedSince returns the services changed after a revision, newest first, and
// false if the head row does not list all of these changes.
func (h headRow) changedSince(revision uint64) ([]recentChange, bool) {
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

func documentSortKey(service entity.ServiceName) string { return documentPrefix + string(service) }

func readDocument(service entity.ServiceName, consistent bool) provider.Operation {
	return provider.Operation{
		Kind: provider.GetRow, Partition: configPartition, Sort: documentSortKey(service), Consistent: consistent,
	}
}

func readHead() provider.Operation {
	return provider.Operation{Kind: provider.GetRow, Partition: configPartition, Sort: headSortKey, Consistent: true}
}

func decodeDocument(row provider.Row) (Document, error) {
	var d Document
	err := codec.Decode(row.Value, &d)
	return d, err
}

// parseService returns the service that a document describes; nil for a deleted
// one.
func (d Document) parseService() (*entity.Service, error) {
	if d.Deleted {
		return nil, nil
	}
	s, err := servicedoc.Parse(fmt.Sprintf("%s@%d", d.Service, d.Revision), []byte(d.Text))
	if err != nil {
		return nil, err
	}
	if s.Name != d.Service {
		return nil, fmt.Errorf("document names service %q but is stored for service %q", s.Name, d.Service)
	}
	s.Revision = d.Revision
	return s, nil
}

// installDocument puts a document in force if it is newer than the present one.
func (c *Configuration) installDocument(now time.Time, d Document) {
	existing := c.documents.Get(d.Service)
	if existing != nil && existing.Revision >= d.Revision {
		return
	}
	s, err := d.parseService()
	if err != nil {
		c.emit(now, event.ConfigurationUnreadable, d.Service, err.Error())
		if existing != nil {
			s = existing.service
		}
		c.documents.Put(d.Service, &heldDocument{Document: d, service: s})
		return
	}
	c.documents.Put(d.Service, &heldDocument{Document: d, service: s})
	switch {
	case s != nil:
		c.ready.Changed = append(c.ready.Changed, *s)
	case existing != nil && existing.service != nil:
		c.ready.Removed = append(c.ready.Removed, d.Service)
	}
}
