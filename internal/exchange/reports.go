package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// UsageReport is the content of the usage report of one window. Once a lease holder may
// have sent it, no holder may report other counts of that window.
type UsageReport struct {
	Window int64                            `cbor:"1,keyasint"`
	Counts map[entity.OrganisationID]uint32 `cbor:"2,keyasint"`
}

// keptReports is the number of newest windows whose reports are remembered.
const keptReports = 8

// reportLog remembers the usage reports of the newest windows, so that they stay the
// same when the table service loses their rows.
type reportLog struct {
	reports *entity.Table[int64, reportEntry]
}

type reportEntry struct {
	UsageReport
	own      bool   // this daemon has sent it as the lease holder
	sequence uint32 // of the first state update with the report; 0: none yet
}

func newReportLog() reportLog {
	return reportLog{reports: entity.NewTable[int64, reportEntry]()}
}

// add remembers a report. The first one of a window stays.
func (l *reportLog) add(r UsageReport, own bool) {
	if e := l.reports.Get(r.Window); e != nil {
		e.own = e.own || own
	} else {
		l.reports.Put(r.Window, &reportEntry{UsageReport: r, own: own})
	}
	for _, window := range l.reports.Keys() {
		if window <= r.Window-keptReports {
			l.reports.Delete(window)
		}
	}
}

// unacknowledged returns this daemon's reports that the state update with the given
// sequence number must include. All other daemons have received the updates up to
// acked.
func (l *reportLog) unacknowledged(sequence, acked uint32) []UsageReport {
	var out []UsageReport
	l.reports.All(func(_ int64, e *reportEntry) bool {
		if !e.own {
			return true
		}
		if e.sequence == 0 {
			e.sequence = sequence
		}
		if e.sequence > acked {
			out = append(out, e.UsageReport)
		}
		return true
	})
	return out
}

// RememberReport remembers the content of a usage report that this daemon is about to
// send as the lease holder.
func (c *Core) RememberReport(r UsageReport) { c.reports.add(r, true) }

// RememberedReport returns the counts of a window's usage report that a lease holder may
// have sent, if this daemon knows it.
func (c *Core) RememberedReport(window int64) (map[entity.OrganisationID]uint32, bool) {
	if e := c.reports.reports.Get(window); e != nil {
		return e.Counts, true
	}
	return nil, false
}

// MayCompose reports whether a usage report of a window may be composed of this
// daemon's counts if the table service has no row of it. It may not for windows that
// ended before the service was last restored: a report of such a window may have been
// sent, and its row lost. restoredBy is a time since 1970 by which the service had been
// restored.
func (c *Core) MayCompose(window int64, restoredBy time.Duration) bool {
	return c.usage.End(window) > restoredBy
}
