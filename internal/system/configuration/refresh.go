package configuration

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// scanPageRows is the number of documents read in one query.
const scanPageRows = 32

// maxQuickRetries is the number of consecutive failed reads that are retried
// before the next poll.
const maxQuickRetries = 4

// refresh is the state of reading changes from the table: first the head row,
// then the documents that it lists as newer than those in force, or all
// documents. Polls have a schedule of their own: the report of a change reaches
// all daemons at about the same time and must not synchronise their polls.
type refresh struct {
	running             bool
	pollAt              time.Time // time of the next poll; zero before the first Tick
	extraReadAt         time.Time // time of the next read because of a reported change or a failure; zero: none
	startedAt           time.Time // when the head row was requested
	targetRevision      uint64    // revision that is in force once all documents are read
	pendingReads        int       // number of document reads without result
	failed              bool      // a document read of this refresh has failed
	consecutiveFailures int       // of refreshes
}

func (r *refresh) nextReadAt() time.Time {
	if r.running {
		return time.Time{}
	}
	return earliestNonZero(r.extraReadAt, r.pollAt)
}

func (c *Configuration) tickRefresh(now time.Time) {
	r := &c.refresh
	if r.pollAt.IsZero() {
		r.pollAt = now.Add(c.randomBelow(c.pollInterval()))
		r.extraReadAt = now.Add(c.randomBelow(startReadSpread))
	}
	if r.running || now.Before(r.nextReadAt()) {
		return
	}
	r.extraReadAt = time.Time{}
	if !now.Before(r.pollAt) {
		r.pollAt = c.nextPollAt(now)
	}
	r.running, r.failed, r.startedAt = true, false, now
	c.issueOperation(readHead(), c.refreshHeadRead)
}

// nextPollAt returns the time of the poll after the one that is due.
func (c *Configuration) nextPollAt(now time.Time) time.Time {
	next := c.refresh.pollAt.Add(c.jitter(c.pollInterval()))
	if next.Before(now) {
		return now.Add(c.randomBelow(c.pollInterval()))
	}
	return next
}

// pollInterval returns the time between two reads of the head row, chosen so
// that all daemons together make about fleetPollsPerSecond reads per second.
func (c *Configuration) pollInterval() time.Duration {
	fleetInterval := time.Duration(c.daemonCount) * time.Second / fleetPollsPerSecond
	return min(max(c.cfg.PollInterval, fleetInterval), max(c.cfg.PollInterval, MaxPollInterval))
}

// endRefresh ends the refresh, with err if it failed, and schedules an extra
// read after a failure or if a higher revision is known.
func (c *Configuration) endRefresh(now time.Time, err error) {
	r := &c.refresh
	r.running = false
	if err != nil {
		r.consecutiveFailures++
		c.emit(now, event.ConfigurationReadUnanswered, "", err.Error())
		if r.consecutiveFailures <= maxQuickRetries {
			r.extraReadAt = now.Add(c.jitter(retryBaseDelay << r.consecutiveFailures))
		}
		return
	}
	r.consecutiveFailures = 0
	if c.headRevision > c.revision {
		r.extraReadAt = now.Add(c.randomBelow(changeReadSpread))
	}
}

func (c *Configuration) refreshHeadRead(now time.Time, res provider.Result) {
	var head headRow
	err := res.Err
	switch {
	case errors.Is(err, provider.ErrNotFound):
		err = nil
	case err == nil:
		err = codec.Decode(res.Row.Value, &head)
	}
	if err != nil {
		c.endRefresh(now, err)
		return
	}
	c.receiveTableHead(now, head.Revision)
	if c.loaded && head.Revision <= c.revision {
		c.endRefresh(now, nil)
		return
	}
	c.refresh.targetRevision = head.Revision
	changed, known := head.changedSince(c.revision)
	if !c.loaded || !known {
		c.scanDocuments("")
		return
	}
	c.readChangedDocuments(now, changed)
}

// receiveTableHead processes the revision of the head row that a consistent
// read has returned.
func (c *Configuration) receiveTableHead(now time.Time, revision uint64) {
	if c.loaded && revision <= c.revision {
		c.confirmCurrent(c.refresh.startedAt)
	}
	if revision < c.revision {
		if !c.tableBehind {
			c.tableBehind = true
			c.emit(now, event.ConfigurationRegressed, "", fmt.Sprintf("table has revision %d, in force is revision %d", revision, c.revision))
		}
		return
	}
	c.tableBehind = false
	if revision >= c.disprovedRevision {
		c.disprovedRevision = 0
	}
	// A revision reported before the read was requested cannot be newer than
	// the result.
	if revision < c.headRevision && c.headReportedAt.Before(c.refresh.startedAt) {
		c.emit(now, event.ConfigurationRevisionMissing, "", fmt.Sprintf("reported revision %d, table has revision %d", c.headRevision, revision))
		c.disprovedRevision = c.headRevision
		c.headRevision = revision
	}
	c.raiseHead(revision)
}

// confirmCurrent records that the documents in force were the newest at a time.
func (c *Configuration) confirmCurrent(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// raiseHead records that a revision exists and reports it if it is the highest
// so far.
func (c *Configuration) raiseHead(revision uint64) {
	if revision <= c.headRevision {
		return
	}
	c.headRevision = revision
	c.ready.Head = revision
}

func (c *Configuration) readChangedDocuments(now time.Time, changed []recentChange) {
	r := &c.refresh
	for _, change := range changed {
		if h := c.documents.Get(change.Service); h != nil && h.Revision >= change.Revision {
			continue
		}
		r.pendingReads++
		c.issueOperation(readDocument(change.Service, true), func(now time.Time, res provider.Result) {
			c.refreshDocumentRead(now, change, res)
		})
	}
	if r.pendingReads == 0 {
		c.markUpToDate(now)
	}
}

func (c *Configuration) refreshDocumentRead(now time.Time, expected recentChange, res provider.Result) {
	r := &c.refresh
	r.pendingReads--
	if err := c.installRow(now, res); err != nil || c.heldRevision(expected.Service) < expected.Revision {
		r.failed = true
	}
	if r.pendingReads > 0 {
		return
	}
	if r.failed {
		c.endRefresh(now, provider.ErrUnavailable)
		return
	}
	c.markUpToDate(now)
}

// markUpToDate records that every change up to the target revision is in force,
// and ends the refresh.
func (c *Configuration) markUpToDate(now time.Time) {
	c.advanceRevision(now, c.refresh.targetRevision)
	c.confirmCurrent(c.refresh.startedAt)
	c.endRefresh(now, nil)
}

func (c *Configuration) heldRevision(service entity.ServiceName) uint64 {
	if h := c.documents.Get(service); h != nil {
		return h.Revision
	}
	return 0
}

func (c *Configuration) installRow(now time.Time, res provider.Result) error {
	if res.Err != nil {
		return res.Err
	}
	d, err := decodeDocument(res.Row)
	if err != nil {
		return err
	}
	c.installDocument(now, d)
	return nil
}

// scanDocuments reads one page of all documents. The head row was read before
// the first page and rows never become older, so that all pages together
// contain every change up to the target revision.
func (c *Configuration) scanDocuments(after string) {
	after = cmp.Or(after, documentPrefix)
	c.issueOperation(provider.Operation{
		Kind: provider.QueryRows, Partition: configPartition, After: after, Limit: scanPageRows, Consistent: true,
	}, c.scanPageRead)
}

func (c *Configuration) scanPageRead(now time.Time, res provider.Result) {
	if res.Err != nil {
		c.endRefresh(now, res.Err)
		return
	}
	for _, row := range res.Rows {
		if err := c.installRow(now, provider.Result{Row: row}); err != nil {
			c.endRefresh(now, err)
			return
		}
	}
	if len(res.Rows) == scanPageRows {
		c.scanDocuments(res.Rows[scanPageRows-1].Sort)
		return
	}
	c.markUpToDate(now)
}

// advanceRevision records that every change up to a revision is in force.
func (c *Configuration) advanceRevision(now time.Time, revision uint64) {
	if c.loaded && revision <= c.revision {
		return
	}
	c.loaded = true
	c.revision = max(c.revision, revision)
	c.raiseHead(c.revision)
	c.emit(now, event.ConfigurationInForce, "", fmt.Sprintf("revision %d", c.revision))
}
