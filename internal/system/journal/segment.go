package journal

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/FastFilter/xorfilter"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/platform"
)

// A segment holds the records of older keys in the object store, cut by the
// upper bits of the key's hash into parts, so that a key is looked up by
// reading one part. A binary fuse filter (Graf and Lemire, 2022) of 8 bits a
// key tells which segments may hold a key: it never misses one and is wrong
// for one absent key in 256.

// filter is the filter of a segment.
type filter = xorfilter.BinaryFuse[uint8]

// segment is a segment whose filter is in memory.
type segment struct {
	ref    segmentRef
	filter *filter // nil: may hold any key
}

// partObject is the value of a part: records in the order of their hashes.
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

// partOf returns the part that a key is in when there are 1<<bits parts.
func partOf(h keyHash, bits int) int { return int(h.position() >> (64 - bits)) }

func (s *segment) mayHold(h keyHash) bool {
	return s.filter == nil || s.filter.Contains(h.position())
}

func compareRecords(a, b record) int { return bytes.Compare(a.Hash[:], b.Hash[:]) }

// newFilter builds a filter over the positions, which it reorders.
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

// decodeFilter returns nil, which excludes no key, for data that is no filter.
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

// findRecord looks a key up in a part.
func findRecord(data []byte, h keyHash) (record, bool, error) {
	var part partObject
	if err := codec.Decode(data, &part); err != nil {
		return record{}, false, err
	}
	i, found := slices.BinarySearchFunc(part.Records, h, func(r record, h keyHash) int {
		return bytes.Compare(r.Hash[:], h[:])
	})
	if !found {
		return record{}, false, nil
	}
	return part.Records[i], true, nil
}

// readFilters reads the filters of the segments that the shard's row names.
func (j *Journal) readFilters(now time.Time, s *shard, failures int, done func(time.Time)) {
	i := len(s.segments)
	if i == len(s.row.Segments) {
		done(now)
		return
	}
	ref := s.row.Segments[i]
	op := platform.Operation{Kind: platform.GetObject, Key: ref.filterObject(s.index)}
	j.call(op, j.whileIn(s, func(now time.Time, r platform.Result) {
		if r.Err != nil && !errors.Is(r.Err, platform.ErrNotFound) {
			failures++
			j.later(now, s, j.backoff(j.cfg.RetryDelay, retryDelayMax, failures), func(now time.Time) {
				j.readFilters(now, s, failures, done)
			})
			return
		}
		s.segments = append(s.segments, &segment{ref: ref, filter: decodeFilter(r.Value)})
		j.readFilters(now, s, 0, done)
	}))
}

// lookUp starts to look for a request's key in the segments. It returns false
// if no segment can hold the key.
func (j *Journal) lookUp(now time.Time, s *shard, r *request) bool {
	if r.absentAt == s.version {
		return false
	}
	var candidates []*segment
	for _, seg := range slices.Backward(s.segments) {
		if seg.mayHold(r.hash) {
			candidates = append(candidates, seg)
		}
	}
	if len(candidates) == 0 {
		return false
	}
	r.maybeOld = true
	if s.state == stateOwned {
		j.startWaiting(now, r)
	}
	j.search(now, s, r, candidates, s.version, 0)
	return true
}

// search reads the candidates' parts one after another, newest first.
func (j *Journal) search(now time.Time, s *shard, r *request, candidates []*segment, version uint64, failures int) {
	if j.requests[r.Request] != r {
		j.searched(now, s, r)
		return
	}
	if len(candidates) == 0 {
		r.absentAt = version
		r.maybeOld = false
		j.searched(now, s, r)
		return
	}
	ref := &candidates[0].ref
	op := platform.Operation{Kind: platform.GetObject, Key: ref.partObject(s.index, partOf(r.hash, ref.Bits))}
	j.call(op, j.whileIn(s, func(now time.Time, res platform.Result) {
		if errors.Is(res.Err, platform.ErrNotFound) && version != s.version {
			j.searched(now, s, r) // the segment was merged or dropped: look again
			return
		}
		var rec record
		found := false
		err := res.Err
		if err == nil {
			rec, found, err = findRecord(res.Value, r.hash)
		}
		switch {
		case err != nil:
			failures++
			j.later(now, s, j.backoff(j.cfg.RetryDelay, retryDelayMax, failures), func(now time.Time) {
				j.search(now, s, r, candidates, version, failures)
			})
		case found:
			s.install(rec, j.cfg.HotKeys)
			j.searched(now, s, r)
		default:
			j.search(now, s, r, candidates[1:], version, 0)
		}
	}))
}

// searched goes on with a request after a search.
func (j *Journal) searched(now time.Time, s *shard, r *request) {
	known := j.requests[r.Request] == r
	switch {
	case s.state == stateFollowing:
		if known {
			j.resolve(now, s, r)
		}
		j.followed(now, s)
	case known && r.phase == phaseWaiting:
		j.admit(now, s, r)
	}
}

// install keeps a record that was read from a segment, and drops the oldest
// of such records when there are many.
func (s *shard) install(rec record, hotKeys int) {
	if s.entries[rec.Hash] != nil {
		return
	}
	s.cache(rec.Hash, hotKeys)
	s.entries[rec.Hash] = &entry{digest: rec.Digest, repeatable: rec.Repeatable, record: rec}
}

// cache lists a key that a segment holds too. The list may name a key twice;
// so room is made before the key's entry is put in.
func (s *shard) cache(h keyHash, hotKeys int) {
	s.cached = append(s.cached, h)
	for range len(s.cached) - hotKeys {
		oldest := s.cached[0]
		s.cached = s.cached[1:]
		e := s.entries[oldest]
		if e == nil || e.row != "" {
			continue
		}
		if !e.idle() {
			s.cached = append(s.cached, oldest)
			continue
		}
		delete(s.entries, oldest)
	}
}

// upload puts objects one after another; next returns the next one, and false
// after the last.
func (j *Journal) upload(now time.Time, s *shard, next func() (string, []byte, bool), done func(time.Time)) {
	key, value, ok := next()
	if !ok {
		done(now)
		return
	}
	j.put(s, key, value, 0, func(now time.Time) { j.upload(now, s, next, done) })
}

func (j *Journal) put(s *shard, key string, value []byte, failures int, done func(time.Time)) {
	op := platform.Operation{Kind: platform.PutObject, Key: key, Value: value}
	j.call(op, j.whileIn(s, func(now time.Time, r platform.Result) {
		if r.Err == nil {
			done(now)
			return
		}
		failures++
		j.later(now, s, j.backoff(j.cfg.RetryDelay, retryDelayMax, failures), func(time.Time) {
			j.put(s, key, value, failures, done)
		})
	}))
}

// remove deletes the objects of a segment that no row names any more. What is
// left behind costs room only.
func (j *Journal) remove(s *shard, ref segmentRef) {
	j.call(platform.Operation{Kind: platform.DeleteObject, Key: ref.filterObject(s.index)}, ignoreResult)
	j.removePart(s.index, ref, 0)
}

func (j *Journal) removePart(shard int, ref segmentRef, part int) {
	if part == ref.parts() {
		return
	}
	op := platform.Operation{Kind: platform.DeleteObject, Key: ref.partObject(shard, part)}
	j.call(op, func(time.Time, platform.Result) { j.removePart(shard, ref, part+1) })
}

func ignoreResult(time.Time, platform.Result) {}

// name gives the next segment its name. The epoch makes it this owner's own.
func (s *shard) name() string {
	s.named++
	return fmt.Sprintf("%012x-%06x", s.row.Epoch, s.named)
}

// bitsFor returns how many bits cut size bytes into parts of about partBytes.
func bitsFor(size, partBytes int) int {
	bits := 0
	for size>>bits > partBytes {
		bits++
	}
	return bits
}

// expired tells whether a record's retention is over.
func (j *Journal) expired(now time.Time, at int64) bool {
	return now.Sub(time.UnixMicro(at)) > j.cfg.Retention
}

// dropExpired removes segments past their retention from the row.
func (j *Journal) dropExpired(now time.Time, row *shardRow) {
	row.Segments = slices.DeleteFunc(row.Segments, func(r segmentRef) bool { return j.expired(now, r.Until) })
}

// replaceSegments makes the segments in memory agree with the shard's row.
func (j *Journal) replaceSegments(now time.Time, s *shard, added *segment) {
	kept := make([]*segment, 0, len(s.row.Segments))
	for _, ref := range s.row.Segments {
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
		j.remove(s, seg.ref)
		if j.expired(now, seg.ref.Until) {
			j.emit(now, event.JournalSegmentStale, seg.ref.Name)
		}
	}
	s.segments = kept
}

func latest(records []record) int64 {
	return slices.MaxFunc(records, func(a, b record) int { return cmp.Compare(a.At, b.At) }).At
}
