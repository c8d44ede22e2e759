package streamversion

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Row is the content of the table service's row that lists the recorded versions of all
// services: those that can have begun a stream which a caller may still resume.
type Row struct {
	// Generation is the table service's generation in which a daemon that knew all versions
	// wrote the row. In a later one, the restored row may lack some.
	Generation uint64       `cbor:"1,keyasint"`
	Complete   bool         `cbor:"2,keyasint,omitempty"` // a daemon that knew all versions has written it
	Versions   []RowVersion `cbor:"3,keyasint,omitempty"`
}

// RowVersion is a recorded version of a service.
type RowVersion struct {
	SeenVersion
	Count uint64 `cbor:"3,keyasint" json:"count"` // rises each time that it is recorded
	// Expiring says that no caller resumes its streams any more: the version is removed soon
	// unless it is recorded again.
	Expiring bool `cbor:"4,keyasint,omitempty" json:"expiring,omitempty"`
}

// Read is the result of a consistent read of the row.
type Read struct {
	Row        Row    // empty if the row does not exist
	Generation uint64 // of the table service at the read
	Absent     bool   // the row does not exist
	// NewDeployment says that no stream that may be resumed can have begun before this read, as no
	// daemon has run on this table service before this process.
	NewDeployment bool
}

// KnownVersion is a recorded version as one daemon sends it to another one.
type KnownVersion struct {
	RowVersion
	Ago time.Duration `cbor:"5,keyasint,omitempty" json:"seen_ago_ns"` // since the sender last saw a server of it or learned of its recording
}

// current reports whether the row lists all versions.
func (r *Row) current(generation uint64) bool { return r.Complete && r.Generation == generation }

func (r *Row) equal(other *Row) bool {
	return r.Generation == other.Generation && r.Complete == other.Complete && slices.Equal(r.Versions, other.Versions)
}

// index returns the versions of the row.
func (r *Row) index() map[SeenVersion]RowVersion {
	out := make(map[SeenVersion]RowVersion, len(r.Versions))
	for _, v := range r.Versions {
		out[v.SeenVersion] = v
	}
	return out
}

// sortedVersions returns the versions in a fixed order.
func sortedVersions(index map[SeenVersion]RowVersion) []RowVersion {
	return slices.SortedFunc(maps.Values(index), func(a, b RowVersion) int {
		return compareVersions(a.SeenVersion, b.SeenVersion)
	})
}

func compareVersions(a, b SeenVersion) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
}
