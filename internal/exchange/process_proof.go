package exchange

import "time"

// An entry in the list of backend servers tells the version of the process that wrote it. While the
// list cannot be read, a process may be replaced, under its ID and at its address, by one of another
// version without any daemon knowing. A stream is continued then, and its version recorded, only over
// a connection that reaches a process from before: one that was opened while the list was still
// known, or beside such a one that was still open.

const (
	// minListDoubt is how long after its last confirmation the list is in doubt, in a small fleet.
	// Without an outage confirmations are younger.
	minListDoubt = 1800 * time.Millisecond
	// listDoubtUpdates is added in a large fleet, in update intervals.
	listDoubtUpdates = 2
	// maxListDoubtMargin and listDoubtMarginRatio limit how long before a daemon no longer acts on
	// its configuration the list is in doubt at the latest. Daemons that hear no confirmation
	// ask the table service themselves before that.
	maxListDoubtMargin   = 1200 * time.Millisecond
	listDoubtMarginRatio = 0.2
	// entryDelay is how long after its start a process may be without its entry in the list.
	entryDelay = time.Second
)

// ServersFeed is the name of the feed of backend servers.
const ServersFeed = "backend-servers"

// feedStates is what this daemon knows of its own calls to the table service.
type feedStates struct {
	failing       map[string]bool // feeds whose last call failed
	serversReadAt time.Time       // start of the last call that returned the list's state; zero: none
	doubted       bool            // the list was in doubt at the last tick
}

// FeedRead records that a call for a feed that began at the given time succeeded.
func (c *Core) FeedRead(feed string, start time.Time) {
	delete(c.feeds.failing, feed)
	if feed == ServersFeed && start.After(c.feeds.serversReadAt) {
		c.feeds.serversReadAt = start
	}
}

// FeedFailed records that a call for a feed failed.
func (c *Core) FeedFailed(feed string) {
	if c.feeds.failing == nil {
		c.feeds.failing = map[string]bool{}
	}
	c.feeds.failing[feed] = true
}

// listInDoubt reports whether the list of backend servers may lack processes that have started.
func (c *Core) listInDoubt(now time.Time) bool {
	if len(c.feeds.failing) > 0 {
		return true
	}
	stale := c.cfg.Bounds.StaleAfter
	latest := stale - min(maxListDoubtMargin, time.Duration(listDoubtMarginRatio*float64(stale)))
	return now.Sub(c.confirmedAt) > min(minListDoubt+listDoubtUpdates*c.updateInterval(), latest)
}

// listKnownAt returns the newest time at which this daemon is known to have had the list as it was.
func (c *Core) listKnownAt() time.Time {
	if c.feeds.failing[ServersFeed] && c.feeds.serversReadAt.Before(c.confirmedAt) {
		return c.feeds.serversReadAt
	}
	return c.confirmedAt
}

// provesProcess reports whether a connection to a server reaches the process that the list names.
// Since is the time from when on the same process has been reached; zero: not known.
func (c *Core) provesProcess(now, since time.Time) bool {
	if !c.listInDoubt(now) {
		return true
	}
	return !since.IsZero() && !since.After(c.listKnownAt().Add(-entryDelay))
}

// noteConnection records since when the connection of a request's present attempt has reached the
// same process.
func (c *Core) noteConnection(t *Ticket, since time.Time) {
	t.reachedSince = since
	if row := c.servers.Get(t.process.Server); row != nil && row.process() == t.process {
		row.reachedSince = since
	}
}

// tickListDoubt sends the records of all streams to their holders when the list has come into doubt:
// which version began a stream can no longer be concluded from the versions that are known.
func (c *Core) tickListDoubt(now time.Time) {
	doubt := c.index != nil && c.listInDoubt(now)
	if doubt == c.feeds.doubted {
		return
	}
	c.feeds.doubted = doubt
	if !doubt {
		return
	}
	for i := range c.index.doc.Services {
		if service := c.index.doc.Services[i].Name; !c.hasSeveralVersions(now, service) {
			c.announceStreams(now, service)
		}
	}
}
