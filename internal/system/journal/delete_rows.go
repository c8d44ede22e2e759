package journal

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// deleteRows deletes rows whose records are in segments. It needs no condition,
// since a sealed row is never read again.
func (j *Journal) deleteRows(now time.Time, s *shard, rows []string, failures int, done func(time.Time)) {
	if len(rows) == 0 {
		done(now)
		return
	}
	batch := rows[:min(len(rows), maxDeleteRows)]
	writes := make([]provider.Write, len(batch))
	for i, sort := range batch {
		writes[i] = provider.Write{Partition: batchPartition(s.index), Sort: sort, Delete: true, Unconditional: true}
	}
	j.spendWriteBudget(now)
	op := provider.Operation{Kind: provider.TransactRows, Token: j.newWriteID(), Writes: writes}
	j.issueOperation(op, j.ifStateUnchanged(s, func(now time.Time, r provider.Result) {
		if r.Err != nil {
			failures++
			j.scheduleForShard(now, s, j.backoff(j.cfg.RetryDelay, maxRetryDelay, failures), func(now time.Time) {
				j.deleteRows(now, s, rows, failures, done)
			})
			return
		}
		j.scheduleForShard(now, s, j.cfg.MinAppendInterval, func(now time.Time) { j.deleteRows(now, s, rows[len(batch):], 0, done) })
	}))
}

// deleteSealedRows deletes the sealed rows that a previous owner did not
// delete.
func (j *Journal) deleteSealedRows(now time.Time, s *shard, failures int) {
	if s.manifest.Sealed == "" {
		return
	}
	op := provider.Operation{
		Kind: provider.QueryRows, Partition: batchPartition(s.index), Limit: maxDeleteRows, Consistent: true,
	}
	j.issueTableOperation(op, j.ifStateUnchanged(s, func(now time.Time, r provider.Result) {
		if r.Err != nil {
			failures++
			j.scheduleForShard(now, s, j.backoff(j.cfg.RetryDelay, maxRetryDelay, failures), func(now time.Time) {
				j.deleteSealedRows(now, s, failures)
			})
			return
		}
		rows := s.sealedRows(r.Rows)
		if len(rows) == 0 {
			return
		}
		j.deleteRows(now, s, rows, 0, func(now time.Time) { j.deleteSealedRows(now, s, 0) })
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
