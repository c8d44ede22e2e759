package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// A daemon that sees in the list that a server drains or has gone tells all others, whose list may
// be older. Each that has seen it itself tells it for a while, whatever it hears: a daemon that knows
// the server's entry only later, or was cut off, must hear of it too. In a large fleet, where each would
// hear it hundreds of times, a daemon that hears of an end does not announce it any more.

// drainAnnouncementDuration is how long a draining server is included in the
// updates to other daemons.
const drainAnnouncementDuration = 3 * time.Second

// DrainingServer is a server that drains or has gone.
type DrainingServer struct {
	ID       entity.BackendServerID `cbor:"1,keyasint"`
	Born     int64                  `cbor:"2,keyasint,omitempty"` // start of its process, Unix milliseconds; 0: not known
	Sequence uint64                 `cbor:"3,keyasint,omitempty"` // of the newest known entry of the server
	// Version is that of the table service at which the server was draining or not listed; 0: not
	// known, as from daemons of earlier releases. Sequence numbers alone do not tell which of two is
	// newer: those of entries that have changed in nothing else are not read.
	Version uint64 `cbor:"4,keyasint,omitempty"`
}

// reportedEnd is what another daemon has said of a server's end.
type reportedEnd struct {
	DrainingServer
	known bool
	at    time.Time
}

// covers reports whether an entry is not newer than what was told of its server's end. If the next process
// under its ID drains, the entry's has ended.
func (e *reportedEnd) covers(s *BackendServer) bool {
	if !e.known {
		return false
	}
	if e.Born > 0 && s.Born > 0 && e.Born != s.Born {
		return e.Born > s.Born
	}
	if e.Version > 0 && s.EntryVersion > 0 {
		return s.EntryVersion <= e.Version
	}
	return s.Sequence <= e.Sequence
}

// drainingServers returns the servers of which this daemon has seen lately that they drain or have gone.
func (c *Core) drainingServers(now time.Time) []DrainingServer {
	var out []DrainingServer
	c.servers.All(func(id entity.BackendServerID, row *serverRow) bool {
		draining := row.State == Draining || !row.listed && !now.Before(row.goneAt)
		if draining && now.Sub(row.drainingSince) < drainAnnouncementDuration {
			out = append(out, DrainingServer{ID: id, Born: row.Born, Sequence: row.Sequence, Version: row.endVersion()})
		}
		return true
	})
	return out
}

// endVersion returns the version of the table service at which the server drained or was not listed.
func (r *serverRow) endVersion() uint64 {
	if r.listed {
		return r.EntryVersion
	}
	return r.goneVersion
}

// receiveDraining applies another daemon's announcement that a server drains or has
// gone. That of a server which is not known yet is kept for its entry.
func (c *Core) receiveDraining(now time.Time, s DrainingServer) {
	e := reportedEnd{DrainingServer: s, known: true, at: now}
	row := c.servers.Get(s.ID)
	if row == nil {
		c.reportedEnds.Put(s.ID, &e)
		return
	}
	if row.State == Ready && e.covers(&row.BackendServer) {
		c.markReportedEnd(now, row, &e)
	}
}

// applyReportedEnd applies to an entry that has just been read what was told of its server's end before.
func (c *Core) applyReportedEnd(now time.Time, row, old *serverRow) {
	e := c.reportedEnds.Get(row.ID)
	if old != nil {
		e = &old.reported
	}
	c.reportedEnds.Delete(row.ID)
	if e != nil && e.covers(&row.BackendServer) {
		c.markReportedEnd(now, row, e)
	}
}

// markReportedEnd makes a server drain of whose end another daemon has told. This daemon announces it
// only if it has seen it itself, in a fleet that is not large.
func (c *Core) markReportedEnd(now time.Time, row *serverRow, e *reportedEnd) {
	row.State, row.Sequence, row.reported = Draining, max(row.Sequence, e.Sequence), *e
	c.logEvent(event.Event{Number: event.ServerEndReported, Backend: row.ID, Attrs: []event.Attr{
		event.A("born", row.Born), event.A("listed", row.listed), event.A("told_ms", now.Sub(e.at).Milliseconds()),
	}})
	if row.drainingSince.IsZero() || c.HasFeedReaders() {
		row.drainingSince = now.Add(-drainAnnouncementDuration)
	}
}
