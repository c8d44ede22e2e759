package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// newFeedFleet returns the cores of some daemons that have heard each other.
func newFeedFleet(t *testing.T, daemons, dataCentres int) []*Core {
	t.Helper()
	var cores []*Core
	for i := range daemons {
		c := newTestCore(t, fmt.Sprint("d", i))
		c.cfg.Self.DataCentre = entity.DataCentreID(fmt.Sprint("dc", i%dataCentres))
		cores = append(cores, c)
	}
	for _, c := range cores {
		for _, other := range cores {
			c.ReceiveUpdate(zero, &StateUpdate{From: other.cfg.Self, Sequence: 1}, 0)
		}
	}
	return cores
}

// TestFeedReaders_FewReadForTheOthers: at any size, and in each data centre that is large.
func TestFeedReaders_FewReadForTheOthers(t *testing.T) {
	for _, c := range []struct{ daemons, dataCentres, readers int }{
		{1, 1, 1}, {9, 3, 9}, {15, 3, 15}, {16, 5, feedReaderCount}, {89, 4, 4 * feedReaderCount}, {195, 5, 5 * feedReaderCount},
	} {
		readers := 0
		for _, core := range newFeedFleet(t, c.daemons, c.dataCentres) {
			ask := core.FeedReaders(zero)
			if len(ask) == 0 {
				readers++
			}
			for _, m := range ask {
				if c.daemons >= 89 && m.DataCentre != core.cfg.Self.DataCentre {
					t.Errorf("%d daemons: one of %s asks one of %s", c.daemons, core.cfg.Self.DataCentre, m.DataCentre)
				}
			}
		}
		if readers != c.readers {
			t.Errorf("%d daemons in %d data centres: %d read the list from the table service, want %d", c.daemons, c.dataCentres, readers, c.readers)
		}
	}
}

// TestFeedReaders_DeadAndLeavingOnesAreReplaced: by all daemons that know.
func TestFeedReaders_DeadAndLeavingOnesAreReplaced(t *testing.T) {
	cores := newFeedFleet(t, 32, 1)
	asks := func(c *Core, now time.Time, name entity.InstanceID) bool {
		for _, m := range c.FeedReaders(now) {
			if m.Name == name {
				return true
			}
		}
		return false
	}
	for _, c := range cores {
		ask := c.FeedReaders(zero)
		if len(ask) == 0 {
			continue
		}
		leaving := ask[0]
		c.ReceiveUpdate(zero, &StateUpdate{From: leaving, Sequence: 2, Leaving: true}, 0)
		if asks(c, zero, leaving.Name) {
			t.Errorf("a daemon that is stopping is still asked")
		}
		silentAt := zero.Add(c.silenceTimeout())
		if n := len(c.FeedReaders(silentAt)); n != 0 {
			t.Errorf("%d daemons are asked that have been silent for long", n)
		}
	}
}
