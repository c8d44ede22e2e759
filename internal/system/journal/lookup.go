package journal

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

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
	op := provider.Operation{Kind: provider.GetObject, Key: ref.partObject(s.index, partOf(r.hash, ref.Bits))}
	j.call(op, j.whileIn(s, func(now time.Time, res provider.Result) {
		if errors.Is(res.Err, provider.ErrNotFound) && version != s.version {
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
