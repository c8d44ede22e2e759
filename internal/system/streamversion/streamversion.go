// Package streamversion remembers which software version of a service's backend servers
// began a stream, so that no server of another version continues it, and which versions a
// service has had lately. Recorded holds the versions that are recorded in a row of the table
// service, which a process that has just started reads.
package streamversion

import (
	"maps"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// maxRecords bounds the records of one daemon. The oldest are dropped first.
	maxRecords = 1 << 15
	// maxLife bounds how long a record is kept.
	maxLife = 2 * time.Minute
	// versionMemory is how long a version counts as one that a service has, after the last
	// of its servers was seen. It is longer than callers continue a stream.
	versionMemory = time.Minute
)

// Record says which version of a service began a stream.
type Record struct {
	Request      entity.RequestID      `cbor:"1,keyasint"` // that brought the caller the first event
	Service      entity.ServiceName    `cbor:"2,keyasint"`
	Version      string                `cbor:"3,keyasint"`           // of the process that wrote the first event
	Life         time.Duration         `cbor:"4,keyasint"`           // how long the caller may still continue it
	Organisation entity.OrganisationID `cbor:"5,keyasint,omitempty"` // that the stream belongs to
}

// row is a record with its times.
type row struct {
	Record
	knownSince time.Time
	expiresAt  time.Time
	begun      bool // this process has written events of it and not completed it
}

// Registry holds records and the versions of the services. It is not safe for concurrent use.
type Registry struct {
	rows     *entity.Table[entity.RequestID, row]
	order    []entity.RequestID                          // in the order in which they came
	versions map[entity.ServiceName]map[string]time.Time // when a server of a version was last seen
	saved    map[uint64]savedStream                      // by hash of the request's ID
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		rows:     entity.NewTable[entity.RequestID, row](),
		versions: make(map[entity.ServiceName]map[string]time.Time),
		saved:    make(map[uint64]savedStream),
	}
}

// Put adds a record. The first one of a stream stands.
func (r *Registry) Put(now time.Time, rec Record) {
	if rec.Request == "" || rec.Life <= 0 || r.rows.Get(rec.Request) != nil {
		return
	}
	for len(r.order) >= maxRecords {
		r.dropOldest()
	}
	rec.Life = min(rec.Life, maxLife)
	r.rows.Put(rec.Request, &row{Record: rec, knownSince: now, expiresAt: now.Add(rec.Life)})
	r.order = append(r.order, rec.Request)
}

func (r *Registry) dropOldest() {
	r.rows.Delete(r.order[0])
	r.order = r.order[1:]
}

// Get returns the record of a stream and how long it has been known here.
func (r *Registry) Get(now time.Time, id entity.RequestID) (rec Record, age time.Duration, ok bool) {
	found := r.rows.Get(id)
	if found == nil || !now.Before(found.expiresAt) {
		return Record{}, 0, false
	}
	rec = found.Record
	rec.Life = found.expiresAt.Sub(now)
	return rec, now.Sub(found.knownSince), true
}

// OfService returns the records of a service's streams.
func (r *Registry) OfService(now time.Time, service entity.ServiceName) []Record {
	var out []Record
	for _, id := range r.order {
		if rec, _, ok := r.Get(now, id); ok && rec.Service == service {
			out = append(out, rec)
		}
	}
	return out
}

// Forget drops what has expired.
func (r *Registry) Forget(now time.Time) {
	r.forgetSaved(now)
	r.order = slices.DeleteFunc(r.order, func(id entity.RequestID) bool {
		expired := !now.Before(r.rows.Get(id).expiresAt)
		if expired {
			r.rows.Delete(id)
		}
		return expired
	})
	for service, versions := range r.versions {
		for version, seenAt := range versions {
			if now.Sub(seenAt) > versionMemory {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(r.versions, service)
		}
	}
}

// SawVersion records that a server of a service has a version.
func (r *Registry) SawVersion(now time.Time, service entity.ServiceName, version string) {
	versions := r.versions[service]
	if versions == nil {
		versions = make(map[string]time.Time)
		r.versions[service] = versions
	}
	versions[version] = now
}

// Versions returns the versions that a service has had lately.
func (r *Registry) Versions(service entity.ServiceName) []string {
	return slices.Sorted(maps.Keys(r.versions[service]))
}

// SeenVersion is a version that a service has had lately.
type SeenVersion struct {
	Service entity.ServiceName `cbor:"1,keyasint" json:"service"`
	Version string             `cbor:"2,keyasint" json:"version"`
}

// Seen returns the versions that the services have had lately.
func (r *Registry) Seen() []SeenVersion {
	var out []SeenVersion
	for service, versions := range r.versions {
		for version := range versions {
			out = append(out, SeenVersion{service, version})
		}
	}
	slices.SortFunc(out, compareVersions)
	return out
}
