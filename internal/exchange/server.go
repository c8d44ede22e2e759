package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

// ServerState is the state that a backend server reports.
type ServerState uint8

const (
	// Ready servers accept requests.
	Ready ServerState = iota + 1
	// Draining servers finish their running requests and accept no others.
	Draining
)

// BackendServer is one entry of the list of backend servers.
type BackendServer struct {
	ID          entity.BackendServerID
	Born        int64  // start of the process, Unix milliseconds; 0: not reported
	Sequence    uint64 // increases with each entry that one process writes
	Service     entity.ServiceName
	Address     string // IP number and port
	DataCentre  entity.DataCentreID
	Slots       int // requests that it runs at the same time
	State       ServerState
	Reclaimable bool
	Version     string // of its software
	// EntryVersion is the table service's version of the entry; 0: not known.
	EntryVersion uint64
	LeavesIn     time.Duration // time until the server leaves, announced with a reclaim; 0: not reported
}

// serverRow is this daemon's state of a backend server.
type serverRow struct {
	BackendServer
	listed        bool        // in the newest list
	goneAt        time.Time   // when a server that is no longer listed counts as gone
	drainingSince time.Time   // when it was first known to drain or to go; zero: it does neither
	diedAt        time.Time   // when the process was last known to have died; zero: never
	reachedSince  time.Time   // by the newest connection, see provesProcess; zero: not known
	answeredAt    time.Time   // when the process last began or ended an answer to this daemon; zero: it has not
	goneVersion   uint64      // of the table service at which it was not listed any more; 0: not known
	reported      reportedEnd // what another daemon has said of its end since this entry was written
}

// replacementDoubt is how long after a process was known to have died its entry may be that of
// the former process, while another one, perhaps of another version, answers under its ID.
const replacementDoubt = 10 * time.Second

// versionKnown reports whether the version in the entry is that of the process that answers.
func (r *serverRow) versionKnown(now time.Time) bool {
	return r.diedAt.IsZero() || now.Sub(r.diedAt) > replacementDoubt
}

// supersedes reports whether the known entry is newer than s, which must be ignored
// then. A server that has gone and reports no start time of its process may be a
// new process whose sequence numbers start again. After a restore of the table service
// an earlier entry may be there again: it does not bring back a server that has drained
// or gone since.
func (r *serverRow) supersedes(s *BackendServer, restored bool) bool {
	if s.Born != r.Born {
		return restored && s.Born < r.Born
	}
	if restored && s.Sequence <= r.Sequence && (!r.listed || r.State != Ready) {
		return true
	}
	return s.Sequence < r.Sequence && (r.listed || s.Born != 0)
}

// continuedBy reports whether an entry that does not say when its process started is taken for one of the
// known process. What that has said of itself would be lost else.
func (r *serverRow) continuedBy(s *BackendServer) bool {
	return s.Born == 0 && (r.listed || s.Sequence >= r.Sequence)
}

// tableRecoveryGrace is how long after the table service's recovery from an outage
// entries may be missing before their servers count as gone.
const tableRecoveryGrace = 2 * time.Second

// PutServer adds or replaces an entry of the list. It reports false if a newer
// entry of the same process is known.
func (c *Core) PutServer(now time.Time, s BackendServer) (accepted bool) {
	old := c.servers.Get(s.ID)
	if old != nil && old.continuedBy(&s) {
		s.Born = old.Born
	}
	if old != nil && old.supersedes(&s, c.recentlyRestored(now)) {
		return false
	}
	row := &serverRow{BackendServer: s, listed: true}
	if old != nil && old.Born != s.Born && s.Born != 0 {
		if c.diedAfterStart(row, old.diedAt) {
			row.diedAt = old.diedAt
		}
		c.recordDeath(now, c.startedAt(now, s.Born), old.process(), proofRestarted)
		c.inheritStatements(now, old.process(), row.process())
		c.placer.RemoveServer(s.ID) // a new process has no cached prompts and no load
		old = nil
	}
	if old == nil {
		c.recordReplacedServers(now, &s)
	}
	c.paths.row(s.Service) // its path is watched from now on
	c.sawVersion(now, &s)
	c.rolloutSawServer(now, &s)
	if old != nil {
		row.diedAt, row.reachedSince, row.answeredAt = old.diedAt, old.reachedSince, old.answeredAt
	}
	if s.State != Ready {
		row.drainingSince = now
		if old != nil && !old.drainingSince.IsZero() && !old.reported.known {
			row.drainingSince = old.drainingSince
		}
	}
	c.applyReportedEnd(now, row, old)
	c.servers.Put(s.ID, row)
	c.placer.SetServer(c.placementServer(&s))
	c.paceListed(now, old, row)
	return true
}

// recordReplacedServers records the deaths of servers whose address a new one has got.
func (c *Core) recordReplacedServers(now time.Time, s *BackendServer) {
	c.servers.All(func(id entity.BackendServerID, row *serverRow) bool {
		if row.Address == s.Address && id != s.ID {
			c.recordDeath(now, now, row.process(), proofReplaced)
		}
		return true
	})
}

// RemoveServer records that a server is no longer listed. It counts as gone at once
// or, while entries that expired in an outage of the table service may still return,
// at the end of tableRecoveryGrace. It may not return if another daemon has said that it has
// gone: that one's table service was not away. Version is that of the table service at which it
// was not listed; 0: not known.
func (c *Core) RemoveServer(now time.Time, id entity.BackendServerID, version uint64) {
	row := c.servers.Get(id)
	if row == nil || !row.listed {
		return
	}
	row.listed, row.goneVersion = false, version
	if len(c.crash.unexplainedRuns(row.process())) > 0 {
		c.deaths.probe(now, Probe{Process: row.process(), Address: row.Address})
	}
	row.goneAt = now
	if graceEnd := c.tableRecoveredAt.Add(tableRecoveryGrace); graceEnd.After(now) && row.State == Ready && !row.reported.known {
		row.goneAt = graceEnd
	}
	row.drainingSince = row.goneAt
	c.logEvent(event.Event{Number: event.ServerUnlisted, Backend: id, Attrs: []event.Attr{
		event.A("born", row.Born), event.A("state", int(row.State)), event.A("used_ms", row.goneAt.Sub(now).Milliseconds()),
	}})
}

// RemoveUnlisted removes the servers that are not in the complete list at a version of the table
// service.
func (c *Core) RemoveUnlisted(now time.Time, listed map[entity.BackendServerID]bool, version uint64) {
	for _, id := range c.servers.Keys() {
		if !listed[id] {
			c.RemoveServer(now, id, version)
		}
	}
}

// forgetServers drops servers that have been gone for longer than the settings'
// limit, and what was told that long ago of the ends of unknown ones.
func (c *Core) forgetServers(now time.Time) {
	for _, id := range c.reportedEnds.Keys() {
		if now.Sub(c.reportedEnds.Get(id).at) > c.cfg.Bounds.ForgetServerAfter {
			c.reportedEnds.Delete(id)
		}
	}
	for _, id := range c.servers.Keys() {
		row := c.servers.Get(id)
		if !row.listed && now.Sub(row.goneAt) > c.cfg.Bounds.ForgetServerAfter {
			c.servers.Delete(id)
			c.placer.RemoveServer(id)
		}
	}
}

// usable reports whether a server may get new requests.
func (c *Core) usable(now time.Time, id entity.BackendServerID) bool {
	row := c.servers.Get(id)
	if row == nil || !c.inService(row) {
		return false
	}
	return row.listed || now.Before(row.goneAt)
}

// placementServer returns the properties of a backend server that its placement
// needs.
func (c *Core) placementServer(s *BackendServer) placement.Server {
	out := placement.Server{
		ID: s.ID, Born: s.Born, Service: s.Service, DataCentre: s.DataCentre, Slots: max(s.Slots, 1),
	}
	if c.index == nil {
		return out
	}
	if svc := c.index.byName[s.Service]; svc != nil && svc.Engine != nil {
		out.Memory = svc.Engine.CacheTokens
		out.CopyMillisPerToken = svc.Engine.copyMillisPerToken()
	}
	return out
}

// copyMillisPerToken returns the time to copy one cached token from another engine, in
// ms; 0 if engines cannot.
func (e *Engine) copyMillisPerToken() float64 {
	if e.CopyBytesPerSecond <= 0 || e.CacheTokenBytes <= 0 {
		return 0
	}
	return e.CacheTokenBytes / e.CopyBytesPerSecond * 1000
}
