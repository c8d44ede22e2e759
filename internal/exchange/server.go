package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

// ServerState is what a backend server says of itself.
type ServerState uint8

const (
	// Ready servers take work.
	Ready ServerState = iota + 1
	// Draining servers finish what they have.
	Draining
)

// BackendServer is one entry of the list of backend servers.
type BackendServer struct {
	ID          entity.BackendServerID
	Born        int64  // start of the process, Unix milliseconds; 0: not said
	Sequence    uint64 // rises with each entry that one process writes
	Service     entity.ServiceName
	Address     string // IP number and port
	DataCentre  entity.DataCentreID
	Slots       int
	State       ServerState
	Reclaimable bool
	LeavesIn    time.Duration // announced with a reclaim; 0: not said
}

// serverRow is a backend server as the core holds it.
type serverRow struct {
	BackendServer
	listed  bool      // in the newest list
	goneAt  time.Time // when a server that is no longer listed counts as gone
	leaving time.Time // when it was first known to leave
}

// overtook reports whether an entry is older than the one that is known. A server
// that has gone and does not say when its process began may be a new one.
func (r *serverRow) overtook(s *BackendServer) bool {
	return s.Born == r.Born && s.Sequence < r.Sequence && (r.listed || s.Born != 0)
}

// returnGrace is how long entries may be missing after the store's return.
const returnGrace = 2 * time.Second

// PutServer takes an entry of the list, unless the same process has written a
// newer one that is known.
func (c *Core) PutServer(now time.Time, s BackendServer) (taken bool) {
	old := c.servers.Get(s.ID)
	if old != nil && old.overtook(&s) {
		return false
	}
	if old != nil && old.Born != s.Born && s.Born != 0 {
		c.serverDied(now, s.ID)
		c.placer.Remove(s.ID) // a new process under an old name knows nothing
		old = nil
	}
	row := &serverRow{BackendServer: s, listed: true}
	if s.State != Ready {
		row.leaving = now
		if old != nil && !old.leaving.IsZero() {
			row.leaving = old.leaving
		}
	}
	c.servers.Put(s.ID, row)
	c.placer.SetServer(c.placementServer(&s))
	return true
}

// RemoveServer notes that an entry is no longer listed. It counts as gone at
// once, or, while entries that lapsed in an outage may still come back, after
// the grace.
func (c *Core) RemoveServer(now time.Time, id entity.BackendServerID) {
	row := c.servers.Get(id)
	if row == nil || !row.listed {
		return
	}
	c.serverDied(now, id)
	row.listed = false
	row.goneAt = now
	if back := c.storeBack.Add(returnGrace); back.After(now) && row.State == Ready {
		row.goneAt = back
	}
	row.leaving = row.goneAt
}

// RemoveUnlisted removes the servers that are not in the whole list.
func (c *Core) RemoveUnlisted(now time.Time, listed map[entity.BackendServerID]bool) {
	for _, id := range c.servers.Keys() {
		if !listed[id] {
			c.RemoveServer(now, id)
		}
	}
}

// forgetServers drops servers that have been gone for a while.
func (c *Core) forgetServers(now time.Time) {
	for _, id := range c.servers.Keys() {
		row := c.servers.Get(id)
		if !row.listed && now.Sub(row.goneAt) > c.cfg.Bounds.ForgetServer {
			c.servers.Delete(id)
			c.placer.Remove(id)
		}
	}
}

// usable reports whether a server may get new work.
func (c *Core) usable(now time.Time, id entity.BackendServerID) bool {
	row := c.servers.Get(id)
	if row == nil || row.State != Ready {
		return false
	}
	return row.listed || now.Before(row.goneAt)
}

func (c *Core) placementServer(s *BackendServer) placement.Server {
	out := placement.Server{
		ID: s.ID, Service: s.Service, DataCentre: s.DataCentre, Slots: max(s.Slots, 1),
	}
	if c.routes == nil {
		return out
	}
	if svc := c.routes.byName[s.Service]; svc != nil && svc.Engine != nil {
		out.Memory = svc.Engine.CacheTokens
	}
	return out
}

// leaverNews is how long other daemons are told of a server that drains.
const leaverNews = 3 * time.Second

// leavers returns the servers that began to drain, or went, lately.
func (c *Core) leavers(now time.Time) []LeavingServer {
	var out []LeavingServer
	c.servers.All(func(id entity.BackendServerID, row *serverRow) bool {
		left := row.State == Draining || !row.listed && !now.Before(row.goneAt)
		if left && now.Sub(row.leaving) < leaverNews {
			out = append(out, LeavingServer{ID: id, Born: row.Born, Sequence: row.Sequence})
		}
		return true
	})
	return out
}

// heardLeaving takes another daemon's word that a server drains or has gone.
func (c *Core) heardLeaving(now time.Time, l LeavingServer) {
	row := c.servers.Get(l.ID)
	if row == nil || row.Born != l.Born || l.Sequence < row.Sequence || row.State != Ready {
		return
	}
	row.State, row.Sequence = Draining, l.Sequence
	row.leaving = now.Add(-leaverNews) // not to be told on and on
}
