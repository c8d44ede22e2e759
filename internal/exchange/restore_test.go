package exchange

import (
	"maps"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// After a restore the table service shows an older configuration until its writer has
// written the newest one again. That confirms nothing.
func TestConfirmByTable_NotWhileTheTableLacksTheConfiguration(t *testing.T) {
	c := newTestCore(t, "d1")
	c.SetDocument(at(time.Second), testDocument(2))
	c.TableShows(1)
	c.ConfirmByTable(at(3*time.Second), at(3*time.Second))
	if _, age := c.Version(at(3 * time.Second)); age < 3*time.Second {
		t.Fatalf("a table service that shows version 1 has confirmed version 2, %v ago", age)
	}
	c.TableShows(2)
	c.ConfirmByTable(at(3*time.Second), at(3*time.Second))
	if _, age := c.Version(at(3 * time.Second)); age != 0 {
		t.Fatalf("the configuration counts as confirmed %v ago, want just now", age)
	}
}

// A daemon that started after a restore may have read an older configuration than the
// other daemons act on.
func TestConfirmByTable_NotWhileOthersAreAhead(t *testing.T) {
	c, other := newTestCore(t, "d1"), newTestCore(t, "d2")
	other.SetDocument(zero, testDocument(2))
	c.TableShows(1)
	for ms := 0; ms < 1500; ms += 100 {
		now := at(time.Duration(ms) * time.Millisecond)
		update := other.NextUpdate(now)
		c.ReceiveUpdate(now, &update, 0)
		c.NewerConfiguration(now)
		c.ConfirmByTable(now, now)
	}
	if _, age := c.Version(at(1500 * time.Millisecond)); age < 500*time.Millisecond {
		t.Fatalf("an older configuration than that of another daemon counts as confirmed %v ago", age)
	}
}

// TestUsageReports_SurviveTheirRows: what the lease holder has reported must be reported
// alike by its successor, though the table service has lost the row.
func TestUsageReports_SurviveTheirRows(t *testing.T) {
	holder, successor := newTestCore(t, "a"), newTestCore(t, "b")
	holder.LeaseAcquired(zero, zero, 1)
	hello := successor.NextUpdate(zero)
	holder.ReceiveUpdate(zero, &hello, 0)
	sent := map[entity.OrganisationID]uint32{"small": 7}
	holder.RememberReport(UsageReport{Window: 4, Counts: sent})
	holder.RememberReport(UsageReport{Window: 4, Counts: map[entity.OrganisationID]uint32{"small": 8}})
	update := holder.NextUpdate(zero)
	successor.ReceiveUpdate(zero, &update, 0)
	for _, c := range []*Core{holder, successor} {
		if counts, ok := c.RememberedReport(4); !ok || !maps.Equal(counts, sent) {
			t.Fatalf("%s remembers %v, want %v", c.cfg.Self.Name, counts, sent)
		}
	}
	ack := successor.NextUpdate(at(time.Second))
	holder.ReceiveUpdate(at(time.Second), &ack, successor.Ack("a"))
	if update := holder.NextUpdate(at(time.Second)); len(update.Reports) != 0 {
		t.Fatalf("an acknowledged report is sent again: %v", update.Reports)
	}
}

// A report of a window that ended before a restore may have been sent and lost.
func TestMayCompose_OnlyWindowsAfterTheRestore(t *testing.T) {
	c := newTestCore(t, "a")
	const window, length = 100, 5 * time.Second
	end := (window + 1) * length
	if c.MayCompose(window, end) || !c.MayCompose(window, end-time.Millisecond) {
		t.Fatal("a window may be reported anew only if it ended after the restore")
	}
}

func TestPutServer_RestoredEntryDoesNotReviveAServer(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(c *Core, s BackendServer)
		revived func(s *BackendServer) // an entry that must bring the server back
	}{
		{
			"gone", func(c *Core, s BackendServer) { c.RemoveServer(zero, s.ID, 0) },
			func(s *BackendServer) { s.Sequence++ },
		},
		{
			"new process", func(c *Core, s BackendServer) {
				s.Born, s.Sequence, s.Address = 9, 1, "10.0.0.9:1"
				c.PutServer(zero, s)
				c.RemoveServer(zero, s.ID, 0)
			},
			func(s *BackendServer) { s.Born = 10 },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestCore(t, "d1")
			s := c.servers.Get("plain0").BackendServer
			s.Sequence = 5
			c.PutServer(zero, s)
			test.change(c, s)
			c.TableRestored(at(time.Second))
			if c.PutServer(at(time.Second), s) || c.usable(at(time.Second), s.ID) {
				t.Fatal("an entry from before the server had gone brought it back")
			}
			test.revived(&s)
			if !c.PutServer(at(time.Second), s) || !c.usable(at(time.Second), s.ID) {
				t.Fatal("a newer entry did not bring the server back")
			}
		})
	}
}
