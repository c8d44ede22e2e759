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

// scanLimit is the number of documents read at once.
const scanLimit = 32

// quickRetries is the number of failed reads after which only polls go on.
const quickRetries = 4

// refresh reads what has changed: the head row, then the documents that it
// names as newer than those in force, or all of them. Polls keep a phase of
// their own, so that news, which reaches all daemons together, does not make
// them poll together.
type refresh struct {
	running   bool
	pollAt    time.Time // next poll; zero before the first Tick
	soonAt    time.Time // next refresh because of news or a failure; zero: none
	startedAt time.Time // when the head row was asked for
	target    uint64    // revision in force once all documents are read
	waiting   int       // documents asked for
	failed    bool
	failures  int // in a row
}

func (r *refresh) deadline() time.Time {
	if r.running {
		return time.Time{}
	}
	return earlier(r.soonAt, r.pollAt)
}

func (c *Configuration) tickRefresh(now time.Time) {
	r := &c.refresh
	if r.pollAt.IsZero() {
		r.pollAt = now.Add(c.spread(c.pollInterval()))
		r.soonAt = now.Add(c.spread(startSpread))
	}
	if r.running || now.Before(r.deadline()) {
		return
	}
	r.soonAt = time.Time{}
	if !now.Before(r.pollAt) {
		r.pollAt = c.nextPoll(now)
	}
	r.running, r.failed, r.startedAt = true, false, now
	c.issue(readHead(), c.headRead)
}

// nextPoll returns the time of the poll after the one that is due.
func (c *Configuration) nextPoll(now time.Time) time.Time {
	next := c.refresh.pollAt.Add(c.jitter(c.pollInterval()))
	if next.Before(now) {
		return now.Add(c.spread(c.pollInterval()))
	}
	return next
}

// pollInterval returns the time between two reads of the head row, so that all
// daemons together make about fleetPollsPerSecond.
func (c *Configuration) pollInterval() time.Duration {
	share := time.Duration(c.daemons) * time.Second / fleetPollsPerSecond
	return min(max(c.cfg.PollInterval, share), max(c.cfg.PollInterval, MaxPollInterval))
}

// finishRefresh plans the next refresh.
func (c *Configuration) finishRefresh(now time.Time, err error) {
	r := &c.refresh
	r.running = false
	if err != nil {
		r.failures++
		c.emit(now, event.ConfigurationUnreached, "", err.Error())
		if r.failures <= quickRetries {
			r.soonAt = now.Add(c.jitter(firstRetry << r.failures))
		}
		return
	}
	r.failures = 0
	if c.head > c.revision {
		r.soonAt = now.Add(c.spread(newsSpread))
	}
}

func (c *Configuration) headRead(now time.Time, res provider.Result) {
	var head headRow
	err := res.Err
	switch {
	case errors.Is(err, provider.ErrNotFound):
		err = nil
	case err == nil:
		err = codec.Decode(res.Row.Value, &head)
	}
	if err != nil {
		c.finishRefresh(now, err)
		return
	}
	c.noteHead(now, head.Revision)
	if c.loaded && head.Revision <= c.revision {
		c.finishRefresh(now, nil)
		return
	}
	c.refresh.target = head.Revision
	changed, known := head.since(c.revision)
	if !c.loaded || !known {
		c.scan("")
		return
	}
	c.readChanged(now, changed)
}

// noteHead takes the head that a consistent read has returned.
func (c *Configuration) noteHead(now time.Time, revision uint64) {
	if c.loaded && revision <= c.revision {
		c.confirm(c.refresh.startedAt)
	}
	if revision < c.revision {
		if !c.wentBack {
			c.wentBack = true
			c.emit(now, event.ConfigurationWentBack, "", fmt.Sprintf("table %d, in force %d", revision, c.revision))
		}
		return
	}
	c.wentBack = false
	if revision >= c.disproved {
		c.disproved = 0
	}
	// News that was heard before the read began cannot be newer than the read.
	if revision < c.head && c.newsAt.Before(c.refresh.startedAt) {
		c.emit(now, event.ConfigurationDisproved, "", fmt.Sprintf("heard %d, table has %d", c.head, revision))
		c.disproved = c.head
		c.head = revision
	}
	c.raiseHead(revision)
}

// confirm notes that what is in force was the newest at a time.
func (c *Configuration) confirm(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// raiseHead notes that a revision exists.
func (c *Configuration) raiseHead(revision uint64) {
	if revision <= c.head {
		return
	}
	c.head = revision
	c.ready.Head = revision
}

func (c *Configuration) readChanged(now time.Time, changed []recentChange) {
	r := &c.refresh
	for _, change := range changed {
		if h := c.documents.Get(change.Service); h != nil && h.Revision >= change.Revision {
			continue
		}
		r.waiting++
		c.issue(readDocument(change.Service, true), func(now time.Time, res provider.Result) {
			c.documentRead(now, change, res)
		})
	}
	if r.waiting == 0 {
		c.caughtUp(now)
	}
}

func (c *Configuration) documentRead(now time.Time, want recentChange, res provider.Result) {
	r := &c.refresh
	r.waiting--
	if err := c.takeRow(now, res); err != nil || c.heldRevision(want.Service) < want.Revision {
		r.failed = true
	}
	if r.waiting > 0 {
		return
	}
	if r.failed {
		c.finishRefresh(now, provider.ErrUnavailable)
		return
	}
	c.caughtUp(now)
}

// caughtUp notes that every change up to the target is in force.
func (c *Configuration) caughtUp(now time.Time) {
	c.advance(now, c.refresh.target)
	c.confirm(c.refresh.startedAt)
	c.finishRefresh(now, nil)
}

func (c *Configuration) heldRevision(service entity.ServiceName) uint64 {
	if h := c.documents.Get(service); h != nil {
		return h.Revision
	}
	return 0
}

func (c *Configuration) takeRow(now time.Time, res provider.Result) error {
	if res.Err != nil {
		return res.Err
	}
	d, err := decodeDocument(res.Row)
	if err != nil {
		return err
	}
	c.install(now, d)
	return nil
}

// scan reads a page of all documents. The head was read before the first page
// and rows only get newer, so that the pages hold every change up to the target.
func (c *Configuration) scan(after string) {
	after = cmp.Or(after, documentPrefix)
	c.issue(provider.Operation{
		Kind: provider.QueryRows, Partition: configPartition, After: after, Limit: scanLimit, Consistent: true,
	}, c.pageRead)
}

func (c *Configuration) pageRead(now time.Time, res provider.Result) {
	if res.Err != nil {
		c.finishRefresh(now, res.Err)
		return
	}
	for _, row := range res.Rows {
		if err := c.takeRow(now, provider.Result{Row: row}); err != nil {
			c.finishRefresh(now, err)
			return
		}
	}
	if len(res.Rows) == scanLimit {
		c.scan(res.Rows[scanLimit-1].Sort)
		return
	}
	c.caughtUp(now)
}

// advance notes that every change up to a revision is in force.
func (c *Configuration) advance(now time.Time, revision uint64) {
	if c.loaded && revision <= c.revision {
		return
	}
	c.loaded = true
	c.revision = max(c.revision, revision)
	c.raiseHead(c.revision)
	c.emit(now, event.ConfigurationInForce, "", fmt.Sprintf("revision %d", c.revision))
}
