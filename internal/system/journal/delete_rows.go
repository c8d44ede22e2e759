package journal

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// trim deletes rows that are in segments. It needs no condition: a row that
// was sealed once is never read again.
func (j *Journal) trim(now time.Time, s *shard, rows []string, failures int, done func(time.Time)) {
	if len(rows) == 0 {
		done(now)
		return
	}
	some := rows[:min(len(rows), trimLimit)]
	writes := make([]provider.Write, len(some))
	for i, sort := range some {
		writes[i] = provider.Write{Partition: entryPartition(s.index), Sort: sort, Delete: true, Unconditional: true}
	}
	j.spendWrite(now)
	op := provider.Operation{Kind: provider.TransactRows, Token: j.newOperation(), Writes: writes}
	j.call(op, j.whileIn(s, func(now time.Time, r provider.Result) {
		if r.Err != nil {
			failures++
			j.later(now, s, j.backoff(j.cfg.RetryDelay, retryDelayMax, failures), func(now time.Time) {
				j.trim(now, s, rows, failures, done)
			})
			return
		}
		j.later(now, s, j.cfg.GroupDelay, func(now time.Time) { j.trim(now, s, rows[len(some):], 0, done) })
	}))
}

// sweep deletes the sealed rows that an earlier owner has left behind.
func (j *Journal) sweep(now time.Time, s *shard, failures int) {
	if s.manifest.Sealed == "" {
		return
	}
	op := provider.Operation{
		Kind: provider.QueryRows, Partition: entryPartition(s.index), Limit: trimLimit, Consistent: true,
	}
	j.callTable(op, j.whileIn(s, func(now time.Time, r provider.Result) {
		if r.Err != nil {
			failures++
			j.later(now, s, j.backoff(j.cfg.RetryDelay, retryDelayMax, failures), func(now time.Time) {
				j.sweep(now, s, failures)
			})
			return
		}
		rows := s.sealedRows(r.Rows)
		if len(rows) == 0 {
			return
		}
		j.trim(now, s, rows, 0, func(now time.Time) { j.sweep(now, s, 0) })
	}))
}

func (s *shard) sealedRows(rows []provider.Row) []string {
	var sealed []string
	for _, row := range rows {
		if row.Sort <= s.manifest.Sealed {
			sealed = append(sealed, row.Sort)
		}
	}
	return sealed
}
