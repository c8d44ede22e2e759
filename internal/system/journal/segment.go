package journal

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/FastFilter/xorfilter"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// A segment holds the records of older keys in the object store, split into
// parts by the upper bits of the key's hash, so that a key is looked up by
// reading one part. A binary fuse filter (Graf and Lemire, 2022) of 8 bits per
// key tells which segments may contain a key: it has no false negatives, and
// matches one in 256 absent keys.

// filter tells which keys a segment may contain.
type filter = xorfilter.BinaryFuse[uint8]

// segment is a segment with its filter, which is kept in memory.
type segment struct {
	ref    segmentRef
	filter *filter // nil: may contain any key
}

// partObject is the value of the object for one part: records in the order of
// their hashes.
type partObject struct {
	Records []record `cbor:"1,keyasint"`
}

func (r *segmentRef) filterObject(shard int) string {
	return fmt.Sprintf("journal/%02d/segment/%s/filter", shard, r.Name)
}

func (r *segmentRef) partObject(shard, part int) string {
	return fmt.Sprintf("journal/%02d/segment/%s/part/%05d", shard, r.Name, part)
}

func (r *segmentRef) parts() int { return 1 << r.Bits }

// partOf returns the number of the part that contains a key when there are
// 1<<bits parts.
func partOf(h keyHash, bits int) int { return int(h.position() >> (64 - bits)) }

func (s *segment) mayContain(h keyHash) bool {
	return s.filter == nil || s.filter.Contains(h.position())
}

func compareRecords(a, b record) int { return bytes.Compare(a.Hash[:], b.Hash[:]) }

// newFilter builds a filter over the positions, which it reorders. It returns
// nil, which excludes no key, if that fails.
func newFilter(positions []uint64) *filter {
	f, err := xorfilter.NewBinaryFuse[uint8](positions)
	if err != nil {
		return nil
	}
	return f
}

func encodeFilter(f *filter) []byte {
	if f == nil {
		return nil
	}
	var b bytes.Buffer
	if err := f.Save(&b); err != nil {
		return nil
	}
	return b.Bytes()
}

// decodeFilter returns nil, which excludes no key, if data is not a valid
// filter.
func decodeFilter(data []byte) *filter {
	if len(data) == 0 {
		return nil
	}
	f, err := xorfilter.LoadBinaryFuse[uint8](bytes.NewReader(data))
	if err != nil {
		return nil
	}
	return f
}

// readFilters reads the filters of the segments that the manifest names.
func (j *Journal) readFilters(now time.Time, s *shard, failures int, done func(time.Time)) {
	i := len(s.segments)
	if i == len(s.manifest.Segments) {
		done(now)
		return
	}
	ref := s.manifest.Segments[i]
	op := provider.Operation{Kind: provider.GetObject, Key: ref.filterObject(s.index)}
	j.issueOperation(op, j.ifStateUnchanged(s, func(now time.Time, r provider.Result) {
		if r.Err != nil && !errors.Is(r.Err, provider.ErrNotFound) {
			failures++
			j.scheduleForShard(now, s, j.backoff(j.cfg.RetryDelay, maxRetryDelay, failures), func(now time.Time) {
				j.readFilters(now, s, failures, done)
			})
			return
		}
		s.segments = append(s.segments, &segment{ref: ref, filter: decodeFilter(r.Value)})
		j.readFilters(now, s, 0, done)
	}))
}

// newSegmentName returns the name of the next segment. The epoch in it
// distinguishes it from names that other owners give.
func (s *shard) newSegmentName() string {
	s.segmentCount++
	return fmt.Sprintf("%012x-%06x", s.row.Epoch, s.segmentCount)
}

// bitsFor returns how many bits of the hash split size bytes into parts of
// about partBytes.
func bitsFor(size, partBytes int) int {
	bits := 0
	for size>>bits > partBytes {
		bits++
	}
	return bits
}

// expired reports whether the retention of a record made at the given time, in
// Unix microseconds, is over.
func (j *Journal) expired(now time.Time, at int64) bool {
	return now.Sub(time.UnixMicro(at)) > j.cfg.Retention
}

// dropExpired removes segments past their retention from the manifest.
func (j *Journal) dropExpired(now time.Time, newManifest *manifest) {
	newManifest.Segments = slices.DeleteFunc(newManifest.Segments, func(r segmentRef) bool { return j.expired(now, r.Until) })
}

// updateSegments makes the segments in memory agree with the manifest, and
// deletes the objects of those that it no longer names. added is a new segment,
// or nil.
func (j *Journal) updateSegments(now time.Time, s *shard, added *segment) {
	kept := make([]*segment, 0, len(s.manifest.Segments))
	for _, ref := range s.manifest.Segments {
		i := slices.IndexFunc(s.segments, func(seg *segment) bool { return seg.ref.Name == ref.Name })
		switch {
		case i >= 0:
			kept = append(kept, s.segments[i])
		case added != nil && added.ref.Name == ref.Name:
			kept = append(kept, added)
		}
	}
	for _, seg := range s.segments {
		if slices.Contains(kept, seg) {
			continue
		}
		j.deleteSegment(s, seg.ref)
		if j.expired(now, seg.ref.Until) {
			j.emitEvent(now, event.JournalSegmentStale, seg.ref.Name)
		}
	}
	s.segments = kept
}

func newestTime(records []record) int64 {
	return slices.MaxFunc(records, func(a, b record) int { return cmp.Compare(a.At, b.At) }).At
}
