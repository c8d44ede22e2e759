package journal

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

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
	op := provider.Operation{Kind: provider.PutObject, Key: key, Value: value}
	j.call(op, j.whileIn(s, func(now time.Time, r provider.Result) {
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
	j.call(provider.Operation{Kind: provider.DeleteObject, Key: ref.filterObject(s.index)}, ignoreResult)
	j.removePart(s.index, ref, 0)
}

func (j *Journal) removePart(shard int, ref segmentRef, part int) {
	if part == ref.parts() {
		return
	}
	op := provider.Operation{Kind: provider.DeleteObject, Key: ref.partObject(shard, part)}
	j.call(op, func(time.Time, provider.Result) { j.removePart(shard, ref, part+1) })
}

func ignoreResult(time.Time, provider.Result) {}
