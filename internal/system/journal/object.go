package journal

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// putObjects stores objects one after another. next returns the next object's
// key and value, and false after the last.
func (j *Journal) putObjects(now time.Time, s *shard, next func() (string, []byte, bool), done func(time.Time)) {
	key, value, ok := next()
	if !ok {
		done(now)
		return
	}
	j.putObject(s, key, value, 0, func(now time.Time) { j.putObjects(now, s, next, done) })
}

func (j *Journal) putObject(s *shard, key string, value []byte, failures int, done func(time.Time)) {
	op := provider.Operation{Kind: provider.PutObject, Key: key, Value: value}
	j.issueOperation(op, j.ifStateUnchanged(s, func(now time.Time, r provider.Result) {
		if r.Err == nil {
			done(now)
			return
		}
		failures++
		j.scheduleForShard(now, s, j.backoff(j.cfg.RetryDelay, maxRetryDelay, failures), func(time.Time) {
			j.putObject(s, key, value, failures, done)
		})
	}))
}

// deleteSegment deletes the objects of a segment that the manifest no longer
// names. Errors are ignored: an object that remains only takes up storage.
func (j *Journal) deleteSegment(s *shard, ref segmentRef) {
	j.issueOperation(provider.Operation{Kind: provider.DeleteObject, Key: ref.filterObject(s.index)}, ignoreResult)
	j.deletePartsFrom(s.index, ref, 0)
}

func (j *Journal) deletePartsFrom(shard int, ref segmentRef, part int) {
	if part == ref.parts() {
		return
	}
	op := provider.Operation{Kind: provider.DeleteObject, Key: ref.partObject(shard, part)}
	j.issueOperation(op, func(time.Time, provider.Result) { j.deletePartsFrom(shard, ref, part+1) })
}

func ignoreResult(time.Time, provider.Result) {}
