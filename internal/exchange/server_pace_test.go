package exchange

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// newPaceCore returns a core like newTestCore, with the feature on or off.
func newPaceCore(t *testing.T, name string, on bool) *Core {
	t.Helper()
	c := newTestCore(t, name)
	cfg := c.cfg
	cfg.ServerPace, cfg.Rand = on, rand.New(rand.NewPCG(1, 2))
	out := New(cfg)
	out.SetListedDaemons(zero, 2)
	out.SetDocument(zero, testDocument(1))
	out.SetTrueTime(0)
	out.Confirm(zero)
	c.servers.All(func(_ entity.BackendServerID, row *serverRow) bool { return out.PutServer(zero, row.BackendServer) })
	return out
}

// paceOf returns what the status says of the limit of a server, 0 if nothing.
func paceOf(c *Core, now time.Time, id entity.BackendServerID) float64 {
	for _, s := range c.Status(now).Servers {
		if s.ID == id && s.PaceLimit != nil {
			return *s.PaceLimit
		}
	}
	return 0
}

// restartServer lists another process of a server, which has just started.
func restartServer(c *Core, now time.Time, id entity.BackendServerID) {
	s := c.servers.Get(id).BackendServer
	s.Born = now.UnixMilli()
	c.PutServer(now, s)
}

// TestServerPace_BeginsWhereServersStartOrRecover guards against servers that start, flap or
// reject requests and are flooded, and against daemons that start and limit all servers.
func TestServerPace_BeginsWhereServersStartOrRecover(t *testing.T) {
	c := newPaceCore(t, "d1", true)
	now := at(5 * time.Second)
	c.Confirm(now)
	for _, s := range c.Status(now).Servers {
		if s.PaceLimit != nil || s.SpeedRatio == nil {
			t.Errorf("%s has a limit, or no speed, when the daemon starts", s.ID)
		}
	}
	restartServer(c, now, "engine0")
	flapped := c.servers.Get("engine1").BackendServer
	c.RemoveServer(now, "engine1", 0)
	c.PutServer(now.Add(time.Second), flapped)
	ticket := mustAdmit(t, c, now, testRequest("r1", "/talk/x", "k1"))
	rejecting := mustPlace(t, c, now, ticket).Server
	c.Ended(now, ticket, Rejected)
	for _, id := range []entity.BackendServerID{"engine0", "engine1", rejecting} {
		if paceOf(c, now, id) == 0 {
			t.Errorf("%s has no limit", id)
		}
	}
	c.NextUpdate(now)
	begun := 0
	for _, e := range c.TakeEvents() {
		if e.Number == event.ServerPaceLimited {
			begun++
		}
	}
	if begun < 2 {
		t.Errorf("%d events", begun)
	}
}

// TestServerPace_PassesInUpdatesAndNotices guards against daemons that do not learn of what
// others find out.
func TestServerPace_PassesInUpdatesAndNotices(t *testing.T) {
	a, b := newPaceCore(t, "d1", true), newPaceCore(t, "d2", true)
	now := at(5 * time.Second)
	for _, c := range []*Core{a, b} {
		c.Confirm(now)
		restartServer(c, now, "engine0")
		c.RemoveServer(now, "engine1", 0)
		c.RemoveServer(now, "engine2", 0)
	}
	for i := range 3 {
		ticket := mustAdmit(t, a, now, testRequest("r"+string(rune('0'+i)), "/talk/x", "k1"))
		mustPlace(t, a, now, ticket)
		a.Started(now.Add(50*time.Millisecond), ticket)
	}
	if !a.NoticePending() {
		t.Error("nothing for a notice")
	}
	notice := a.NextNotice(now)
	b.ReceiveNotice(now, "d1", &notice)
	if limit := paceOf(b, now, "engine0"); limit != paceOf(a, now, "engine0") || limit < 5 {
		t.Errorf("limits %v and %v", paceOf(a, now, "engine0"), limit)
	}
	update := a.NextUpdate(now)
	b.ReceiveUpdate(now, &update, 0)
	if len(update.Notice.Paces) > 0 {
		t.Error("the changes were told twice")
	}
}

// TestServerPace_OffSaysNothing guards against updates of deployments without the setting that
// differ, and against daemons without it that heed others.
func TestServerPace_OffSaysNothing(t *testing.T) {
	on, off := newPaceCore(t, "d1", true), newPaceCore(t, "d2", false)
	now := at(5 * time.Second)
	for _, c := range []*Core{on, off} {
		c.Confirm(now)
		restartServer(c, now, "engine0")
		ticket := mustAdmit(t, c, now, testRequest("r1", "/talk/x", "k1"))
		mustPlace(t, c, now, ticket)
		c.Ended(now, ticket, Rejected)
	}
	told := on.NextUpdate(now)
	off.ReceiveUpdate(now, &told, 0)
	update := off.NextUpdate(now)
	if update.Speeds != nil || update.Notice.Paces != nil || len(off.NextNotice(now).Paces) > 0 {
		t.Errorf("speeds %v, paces %v", update.Speeds, update.Notice.Paces)
	}
	for _, s := range off.Status(now).Servers {
		if s.SpeedRatio != nil || s.PaceLimit != nil {
			t.Errorf("status %+v", s)
		}
	}
}
