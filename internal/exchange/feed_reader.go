package exchange

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/rendezvous"
)

// In a large fleet, each change of the list of backend servers would make every daemon call
// the table service. So a few daemons read the list there, and the others ask them: those of
// its data centre if it has many daemons, since messages between data centres cost more.
// Daemons need not agree on who reads: any daemon answers that has read the list lately, and
// one that gets no answer reads it from the table service.

const (
	// feedReaderCount is the number of daemons that read the list for a data centre or, if
	// data centres are small, for the fleet.
	feedReaderCount = 3
	// minDaemonsWithReaders is the number of daemons from which on a fleet has readers, and a
	// data centre its own. Among fewer the readers' frequent calls would cost what the others
	// save.
	minDaemonsWithReaders = 16
)

// FeedReaders returns the other daemons that this one should ask for changes of the list of
// backend servers. There are none if it should read the list from the table service, as one of
// the readers or since the fleet is small.
func (c *Core) FeedReaders(now time.Time) []Member {
	if !c.HasFeedReaders() {
		return nil
	}
	near, all := []Member{c.cfg.Self}, []Member{c.cfg.Self}
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if r.leaving || !c.recentlySeen(now, r) {
			return true
		}
		all = append(all, r.Member)
		if r.DataCentre == c.cfg.Self.DataCentre {
			near = append(near, r.Member)
		}
		return true
	})
	if len(near) < minDaemonsWithReaders {
		return c.withoutSelf(chooseMembers(all, "", feedReaderCount))
	}
	return c.withoutSelf(chooseMembers(near, string(c.cfg.Self.DataCentre), feedReaderCount))
}

// chooseMembers returns up to n daemons, which rendezvous hashing chooses for a key. It changes
// the order of the given ones.
func chooseMembers(daemons []Member, key string, n int) []Member {
	slices.SortFunc(daemons, func(a, b Member) int { return rendezvous.Compare(string(a.Name), string(b.Name), key) })
	return daemons[:min(len(daemons), n)]
}

// withoutSelf returns the readers to ask: none if this daemon is one of them.
func (c *Core) withoutSelf(readers []Member) []Member {
	if slices.ContainsFunc(readers, func(m Member) bool { return m.Name == c.cfg.Self.Name }) {
		return nil
	}
	return readers
}

// HasFeedReaders reports whether the fleet is large enough for some daemons to read the list of
// backend servers for others.
func (c *Core) HasFeedReaders() bool { return c.peers.Len()+1 >= minDaemonsWithReaders }

// MayHaveFeedReaders is HasFeedReaders, but true while it is not known how large the fleet is.
func (c *Core) MayHaveFeedReaders() bool { return c.listedDaemons == 0 || c.HasFeedReaders() }

// ReadsForOthers reports whether this daemon is one of those that read the list of backend
// servers for others.
func (c *Core) ReadsForOthers(now time.Time) bool {
	return c.HasFeedReaders() && len(c.FeedReaders(now)) == 0
}

// OthersQueryTable reports whether other daemons query the table service often and this one
// hears them, so that it learns from them what changes.
func (c *Core) OthersQueryTable(now time.Time) bool {
	return !c.QueriesTableOften(now) && !c.cutOff(now)
}
