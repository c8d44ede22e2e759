package streamversion

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// The records of streams are in the memory of a few daemons. While a service has several versions,
// each process also saves which streams it has begun in a row of the table service, so that they are
// known after the loss of all daemons. A row holds hashes of the requests' IDs: all that is asked of
// it is which version began a request that somebody names.

const (
	// maxSavedPerRow bounds the streams in one row, the newest ones.
	maxSavedPerRow = 4096
	// maxSaved bounds the streams that are known from other processes' rows.
	maxSaved = 1 << 16
	// savedLife is how long after the writing of a row its streams may be taken up.
	savedLife = time.Minute
)

// SavedRow is what one process saves of the streams that it has begun and not completed.
type SavedRow struct {
	At     time.Duration `cbor:"1,keyasint"` // true time since 1970 of the writing
	Groups []SavedGroup  `cbor:"2,keyasint,omitempty"`
}

// SavedGroup are the streams of one version that belong to one organisation.
type SavedGroup struct {
	SeenVersion
	Organisation entity.OrganisationID `cbor:"3,keyasint,omitempty"`
	Streams      []uint64              `cbor:"4,keyasint,omitempty"` // hashes of the requests' IDs, in their order
}

// savedStream is a stream that another process has saved.
type savedStream struct {
	SeenVersion
	organisation entity.OrganisationID
	expiresAt    time.Time
}

func hashOf(id entity.RequestID) uint64 { return xxhash.Sum64String(string(id)) }

// MarkBegun records that this process has written events of a stream whose record it has.
func (r *Registry) MarkBegun(id entity.RequestID) {
	if found := r.rows.Get(id); found != nil {
		found.begun = true
	}
}

// Complete records that a stream has been written to its end: nobody takes it up.
func (r *Registry) Complete(id entity.RequestID) {
	if found := r.rows.Get(id); found != nil {
		found.begun = false
	}
}

// ToSave returns the streams of the given services that this process has begun and not completed,
// and whether there are any.
func (r *Registry) ToSave(now time.Time, saves func(entity.ServiceName) bool) (groups []SavedGroup, any bool) {
	index := map[savedKey]int{}
	count := 0
	for _, id := range slices.Backward(r.order) {
		rec := r.rows.Get(id)
		if !rec.begun || !now.Before(rec.expiresAt) || !saves(rec.Service) || count == maxSavedPerRow {
			continue
		}
		count++
		key := savedKey{SeenVersion{rec.Service, rec.Version}, rec.Organisation}
		i, found := index[key]
		if !found {
			i = len(groups)
			index[key] = i
			groups = append(groups, SavedGroup{SeenVersion: key.SeenVersion, Organisation: key.Organisation})
		}
		groups[i].Streams = append(groups[i].Streams, hashOf(id))
	}
	for i := range groups {
		slices.Sort(groups[i].Streams)
	}
	slices.SortFunc(groups, func(a, b SavedGroup) int {
		return cmp.Or(compareVersions(a.SeenVersion, b.SeenVersion), cmp.Compare(a.Organisation, b.Organisation))
	})
	return groups, len(groups) > 0
}

// savedKey identifies a group of a row.
type savedKey struct {
	SeenVersion
	Organisation entity.OrganisationID
}

// AddSaved adds the streams of a row that was written some time ago. It reports whether the row is
// so old that nobody takes its streams up.
func (r *Registry) AddSaved(now time.Time, row *SavedRow, age time.Duration) (old bool) {
	expiresAt := now.Add(savedLife - max(age, 0))
	if !now.Before(expiresAt) {
		return true
	}
	for _, g := range row.Groups {
		for _, hash := range g.Streams {
			if len(r.saved) < maxSaved {
				r.saved[hash] = savedStream{g.SeenVersion, g.Organisation, expiresAt}
			}
		}
	}
	return false
}

// FindSaved returns the record of a stream that another process has saved.
func (r *Registry) FindSaved(now time.Time, id entity.RequestID) (Record, bool) {
	s, found := r.saved[hashOf(id)]
	if !found || !now.Before(s.expiresAt) {
		return Record{}, false
	}
	return Record{Request: id, Service: s.Service, Version: s.Version, Life: s.expiresAt.Sub(now), Organisation: s.organisation}, true
}

// forgetSaved drops what has expired.
func (r *Registry) forgetSaved(now time.Time) {
	for hash, s := range r.saved {
		if !now.Before(s.expiresAt) {
			delete(r.saved, hash)
		}
	}
}
