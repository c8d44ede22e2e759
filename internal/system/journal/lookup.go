package journal

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// findRecord looks up a key in an encoded part of a segment.
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

// startLookup starts to look for a request's key in the segments. It returns
// false if no segment can contain the key.
func (j *Journal) startLookup(now time.Time, s *shard, r *request) bool {
	if r.absentAtVersion == s.version {
		return false
	}
	var candidates []*segment
	for _, seg := range slices.Backward(s.segments) {
		if seg.mayContain(r.hash) {
			candidates = append(candidates, seg)
		}
	}
	if len(candidates) == 0 {
		return false
	}
	r.mayBeInSegment = true
	if s.state == stateOwned {
		j.startWaiting(now, r)
	}
	j.searchSegments(now, s, r, candidates, s.version, 0)
	return true
}

// searchSegments looks for the request's key in the candidates, newest first,
// reading one part of each.
func (j *Journal) searchSegments(now time.Time, s *shard, r *request, candidates []*segment, version uint64, failures int) {
	if j.requests[r.Request] != r {
		j.finishLookup(now, s, r)
		return
	}
	if len(candidates) == 0 {
		r.absentAtVersion = version
		r.mayBeInSegment = false
		j.finishLookup(now, s, r)
		return
	}
	ref := &candidates[0].ref
	op := provider.Operation{Kind: provider.GetObject, Key: ref.partObject(s.index, partOf(r.hash, ref.Bits))}
	j.issueOperation(op, j.ifStateUnchanged(s, func(now time.Time, res provider.Result) {
		if errors.Is(res.Err, provider.ErrNotFound) && version != s.version {
			j.finishLookup(now, s, r) // the segment was merged or dropped; the lookup starts again
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
			j.scheduleForShard(now, s, j.backoff(j.cfg.RetryDelay, maxRetryDelay, failures), func(now time.Time) {
				j.searchSegments(now, s, r, candidates, version, failures)
			})
		case found:
			s.cacheRecord(rec, j.cfg.HotKeys)
			j.finishLookup(now, s, r)
		default:
			j.searchSegments(now, s, r, candidates[1:], version, 0)
		}
	}))
}

// finishLookup continues with a request after the search for its key.
func (j *Journal) finishLookup(now time.Time, s *shard, r *request) {
	known := j.requests[r.Request] == r
	switch {
	case s.state == stateResolving:
		if known {
			j.resolveRequest(now, s, r)
		}
		j.finishResolving(now, s)
	case known && r.phase == phaseWaiting:
		j.admit(now, s, r)
	}
}

// cacheRecord keeps a record that was read from a segment in memory. Above
// hotKeys such records, the oldest are evicted.
func (s *shard) cacheRecord(rec record, hotKeys int) {
	if s.entries[rec.Hash] != nil {
		return
	}
	s.addCachedKey(rec.Hash, hotKeys)
	s.entries[rec.Hash] = &entry{digest: rec.Digest, repeatable: rec.Repeatable, record: rec}
}

// addCachedKey lists a key whose record is in memory and in a segment, and
// evicts the oldest listed entries above hotKeys. The list may contain a key
// twice, so a caller adds the key's entry after this call: an older listing of
// the key could evict it otherwise.
func (s *shard) addCachedKey(h keyHash, hotKeys int) {
	s.cachedKeys = append(s.cachedKeys, h)
	for range len(s.cachedKeys) - hotKeys {
		oldest := s.cachedKeys[0]
		s.cachedKeys = s.cachedKeys[1:]
		e := s.entries[oldest]
		if e == nil || e.row != "" {
			continue
		}
		if !e.idle() {
			s.cachedKeys = append(s.cachedKeys, oldest)
			continue
		}
		delete(s.entries, oldest)
	}
}
