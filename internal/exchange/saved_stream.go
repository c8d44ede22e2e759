package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/streamversion"
)

// savedStreams says when the rows are due in which all processes save the streams that they have
// begun (see streamversion.SavedRow).
type savedStreams struct {
	wanted bool      // a request takes up a stream of which nothing is known
	readAt time.Time // when the rows were last read, or tried to be; zero: never
}

const (
	// savedStreamsReadInterval is the least time between two reads of the rows.
	savedStreamsReadInterval = 2 * time.Second
	// minSaveInterval is the least time between two writes of a process's row, and
	// saveIntervalPerDaemon, times the number of daemons, the same in a larger fleet: all daemons
	// together write up to 40 rows a second.
	minSaveInterval       = 250 * time.Millisecond
	saveIntervalPerDaemon = 25 * time.Millisecond
)

// SaveInterval returns the least time between two writes of this process's row.
func (c *Core) SaveInterval() time.Duration {
	return max(minSaveInterval, time.Duration(c.peers.Len()+1)*saveIntervalPerDaemon)
}

// StreamsToSave returns the row in which this process saves the streams that it has begun, and
// whether it has any to save: streams of services with several versions. Without the true time there
// is none.
func (c *Core) StreamsToSave(now time.Time) (row streamversion.SavedRow, any bool) {
	at, known := c.TrueTime(now)
	if !known || !c.anyServiceHasSeveralVersions(now) {
		return row, false
	}
	groups, any := c.streams.ToSave(now, func(s entity.ServiceName) bool { return c.hasSeveralVersions(now, s) })
	return streamversion.SavedRow{At: at, Groups: groups}, any
}

// SavedStreamsDue reports whether the rows of all processes are to be read now: at the start, if a
// service has several versions, and when a stream is taken up of which nothing is known.
func (c *Core) SavedStreamsDue(now time.Time) bool {
	s := &c.savedStreams
	if !c.trueTimeKnown || !s.readAt.IsZero() && (!s.wanted || now.Sub(s.readAt) < savedStreamsReadInterval) {
		return false
	}
	if s.readAt.IsZero() && !s.wanted && !c.anyServiceHasSeveralVersions(now) {
		return false
	}
	s.readAt, s.wanted = now, false
	return true
}

// SavedStreamsNotRead records that the rows could not be read.
func (c *Core) SavedStreamsNotRead() { c.savedStreams.wanted = true }

func (c *Core) anyServiceHasSeveralVersions(now time.Time) bool {
	if c.index == nil {
		return false
	}
	for i := range c.index.doc.Services {
		if c.hasSeveralVersions(now, c.index.doc.Services[i].Name) {
			return true
		}
	}
	return false
}

// AddSavedStreams adds the streams of another process's row, and reports whether the row is so old
// that it can be removed.
func (c *Core) AddSavedStreams(now time.Time, row *streamversion.SavedRow) (old bool) {
	at, _ := c.TrueTime(now)
	return c.streams.AddSaved(now, row, at-row.At)
}

// completeStream records that a request's stream has been written to its end.
func (c *Core) completeStream(t *Ticket) {
	if t.Route.Kind != Stream {
		return
	}
	c.streams.Complete(t.Request.ID)
	c.streams.Complete(t.Request.Resumes)
}
