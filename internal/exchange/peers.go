package exchange

import (
	"sort"
	"strconv"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Member is a daemon as it introduces itself.
type Member struct {
	Name       entity.InstanceID   `cbor:"1,keyasint" json:"name"`
	Start      int64               `cbor:"2,keyasint" json:"start"` // distinguishes the processes of one name; begins anew with the instance's clock
	PeerAddr   string              `cbor:"3,keyasint" json:"peer_addr"`
	CallerAddr string              `cbor:"4,keyasint" json:"caller_addr"`
	DataCentre entity.DataCentreID `cbor:"5,keyasint" json:"data_centre"`
}

// process names one process of a daemon, so that a restarted one is not taken
// for its predecessor.
func (m *Member) process() entity.InstanceID {
	return m.Name + entity.InstanceID("#"+strconv.FormatInt(m.Start, 36))
}

// peerRow is another daemon as this one knows it.
type peerRow struct {
	Member
	heard    time.Time // zero: only known from the store
	since    time.Time // when it became known
	sequence uint32
	leaving  bool
	serving  bool
	version  uint64
	demand   []ServiceDemand
	window   int64  // of usage, when it spoke last
	echo     uint32 // this daemon's last message that it has heard
}

// Introduce takes a daemon that the store lists.
func (c *Core) Introduce(now time.Time, m Member) {
	if m.Name == c.cfg.Self.Name {
		return
	}
	row := c.peers.Get(m.Name)
	if row == nil || row.heard.IsZero() && row.Start != m.Start {
		c.peers.Put(m.Name, &peerRow{Member: m, since: now})
	}
}

// neverHeard is how long a listed daemon may be unheard before its entry is
// taken to be left over.
const neverHeard = time.Minute

// LeftOver returns the daemons that are listed but have never been heard.
func (c *Core) LeftOver(now time.Time) []Member {
	var out []Member
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if r.heard.IsZero() && now.Sub(r.since) > neverHeard {
			out = append(out, r.Member)
		}
		return true
	})
	return out
}

// Drop forgets a daemon whose entry is left over.
func (c *Core) Drop(name entity.InstanceID) {
	if r := c.peers.Get(name); r != nil && r.heard.IsZero() {
		c.peers.Delete(name)
	}
}

// Heard takes another daemon's news. Echo is the sequence number of this
// daemon's last message that the other one had heard when it wrote its own.
// Overtaken messages are dropped.
func (c *Core) Heard(now time.Time, n *News, echo uint32) {
	if n.From.Name == c.cfg.Self.Name || n.From.Name == "" {
		return
	}
	row := c.peers.Get(n.From.Name)
	if row != nil && c.ofFormerProcess(now, row, n) {
		return
	}
	if row == nil || row.Start != n.From.Start {
		if row != nil {
			c.quota.Forget(row.process())
		}
		row = &peerRow{}
		c.peers.Put(n.From.Name, row)
	}
	if !row.heard.IsZero() && n.Sequence <= row.sequence {
		return
	}
	if echo <= c.firstSeq || echo > c.seq {
		echo = 0 // of a message of this daemon's former process
	}
	row.Member, row.heard, row.sequence = n.From, now, n.Sequence
	row.leaving, row.serving, row.version, row.demand = n.Leaving, n.Serving, n.Version, n.Demand
	row.window, row.echo = n.Window, max(row.echo, echo)
	c.take(now, row, n)
	c.confirmBy(n, echo)
}

// ofFormerProcess reports whether a message comes from an earlier process of a
// daemon than the one that has been heard. A start that seems earlier is a new one
// if the other has been silent: the instance's clock began anew.
func (c *Core) ofFormerProcess(now time.Time, row *peerRow, n *News) bool {
	return n.From.Start < row.Start && !row.heard.IsZero() && now.Sub(row.heard) < leastSilence
}

// take hands the parts of a message to those that use them.
func (c *Core) take(now time.Time, row *peerRow, n *News) {
	process := row.process()
	c.placer.SetNewsInterval(c.newsInterval())
	c.placer.Heard(now, row.Name, n.Loads, c.silence())
	c.quota.ReceiveUses(now, process, n.Quota)
	c.usage.ReceiveCounts(process, n.Usage)
	c.hearLease(now, n)
	c.AdoptLevels(n.Levels)
	for _, l := range n.Leavers {
		c.heardLeaving(now, l)
	}
	for _, d := range n.Deaths {
		c.crash.heard(now, d)
	}
	for _, p := range n.Placed {
		c.placer.Cached(now, p.Server, p.Part)
	}
}

// hearLease takes the word of the lease's holder. One that is leaving performs no
// duties any more.
func (c *Core) hearLease(now time.Time, n *News) {
	if !n.Leaving {
		c.lease.Heard(now, n.LeaseEpoch)
		return
	}
	if n.LeaseEpoch > 0 {
		c.lease.Released(now, n.LeaseEpoch)
	}
}

// Others returns the endpoints of all daemons that may be alive.
func (c *Core) Others() []Member {
	out := make([]Member, 0, c.peers.Len())
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		out = append(out, r.Member)
		return true
	})
	return out
}

const (
	// leastSilence is how long another daemon counts as alive without news, in a
	// small fleet.
	leastSilence = 1200 * time.Millisecond
	// silentMessages is how many messages of a daemon may be missing.
	silentMessages = 5
)

// newsInterval returns the time between two messages of a daemon in a large fleet.
func (c *Core) newsInterval() time.Duration {
	return time.Duration(c.peers.Len()) * c.cfg.Bounds.NewsPerPeer
}

// silence returns how long another daemon counts as alive without news.
func (c *Core) silence() time.Duration {
	return max(leastSilence, silentMessages*c.newsInterval())
}

// heardLately reports whether a daemon spoke a short time ago.
func (c *Core) heardLately(now time.Time, r *peerRow) bool {
	return !r.heard.IsZero() && now.Sub(r.heard) < c.silence()
}

const (
	// leastSpending is how long after its news a daemon's use of quotas counts as
	// known, in a small fleet.
	leastSpending = 600 * time.Millisecond
	// spendingMessages is the same in times between two messages. It may be short:
	// what is set aside for a daemon whose message was lost comes back with the next.
	spendingMessages = 1.5
	// aloneAfter is how long a daemon may hear nobody before it counts as cut off.
	aloneAfter = 400 * time.Millisecond
)

// spendsHeard returns how long after its news a daemon's use of quotas counts as
// known.
func (c *Core) spendsHeard() time.Duration {
	return max(leastSpending, time.Duration(spendingMessages*float64(c.newsInterval())))
}

// cutOff reports whether nobody has been heard lately.
func (c *Core) cutOff(now time.Time) bool {
	var newest time.Time
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if r.heard.After(newest) {
			newest = r.heard
		}
		return true
	})
	return now.Sub(newest) > aloneAfter
}

// Tick does what is due by time alone.
func (c *Core) Tick(now time.Time) {
	c.forgetServers(now)
	heard, known := c.countDaemons(now)
	if c.forgetDaemons(now, heard, known) {
		heard, known = c.countDaemons(now)
	}
	c.quota.SetDaemons(now, heard, known)
	c.budget.SetReserve(max(c.cfg.Bounds.RetrySlack/float64(known), 1))
}

// countDaemons returns how many daemons may be serving, and how many of them are
// heard, this one included.
func (c *Core) countDaemons(now time.Time) (heard, known int) {
	heard, known = 1, 1
	cutOff, spendsHeard := c.cutOff(now), c.spendsHeard()
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		switch {
		case !cutOff && !r.heard.IsZero() && now.Sub(r.heard) < spendsHeard:
			heard, known = heard+1, known+1
		case c.mayServe(now, r):
			known++
		}
		return true
	})
	return heard, known
}

// minorityPatience is how much longer daemons that hear half of the others or
// fewer remember the silent ones: they are more likely to be the ones cut off.
const minorityPatience = 2

// forgetDaemons drops daemons that have been silent for long, and reports whether
// there were any.
func (c *Core) forgetDaemons(now time.Time, heard, known int) (dropped bool) {
	after := c.cfg.Bounds.PeerForget
	if 2*heard <= known {
		after *= minorityPatience
	}
	for _, name := range c.peers.Keys() {
		r := c.peers.Get(name)
		if !r.heard.IsZero() && now.Sub(r.heard) > after {
			c.quota.Forget(r.process())
			c.peers.Delete(name)
			dropped = true
		}
	}
	return dropped
}

// mayServe reports whether a daemon may be serving, though it may not be heard.
func (c *Core) mayServe(now time.Time, r *peerRow) bool {
	switch {
	case r.leaving:
		return false
	case r.heard.IsZero():
		return now.Sub(r.since) < c.cfg.Bounds.PeerForget // later the entry is left over
	default:
		return true
	}
}

// heardByAll returns the newest message of this daemon up to which all others
// have heard.
func (c *Core) heardByAll(now time.Time) uint32 {
	heard := c.seq
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if c.mayServe(now, r) {
			heard = min(heard, r.echo)
		}
		return true
	})
	return heard
}

// rankOfSelf returns this daemon's place among the daemons that are heard.
func (c *Core) rankOfSelf(now time.Time) int {
	rank := 0
	c.peers.All(func(name entity.InstanceID, r *peerRow) bool {
		if c.heardLately(now, r) && !r.leaving && name < c.cfg.Self.Name {
			rank++
		}
		return true
	})
	return rank
}

// Contend reports whether to try to take the lease of the duties now.
func (c *Core) Contend(now time.Time) bool {
	if c.leaving || !c.fresh(now) {
		return false
	}
	return c.lease.Contend(now, c.rankOfSelf(now))
}

// LeaseTaken notes that the lease's row names this daemon with the epoch.
func (c *Core) LeaseTaken(epoch uint64) { c.lease.Taken(epoch) }

// LeaseLost notes that another daemon holds the lease.
func (c *Core) LeaseLost(now time.Time) { c.lease.Lost(now) }

// LeaseEpoch returns the fencing number if this daemon holds the lease.
func (c *Core) LeaseEpoch() (epoch uint64, held bool) { return c.lease.Epoch() }

// maxAddresses is the most addresses that one answer names.
const maxAddresses = 64

// minAddresses is how many addresses of the caller's own data centre make the
// others needless.
const minAddresses = 2

// Addresses returns where callers of a data centre should connect: the daemons
// that serve, those of the data centre first.
func (c *Core) Addresses(now time.Time, dc entity.DataCentreID) []string {
	var near, far []string
	add := func(m *Member) {
		if m.DataCentre == dc {
			near = append(near, m.CallerAddr)
			return
		}
		far = append(far, m.CallerAddr)
	}
	if c.Serving(now) {
		add(&c.cfg.Self)
	}
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if c.heardLately(now, r) && r.serving && !r.leaving {
			add(&r.Member)
		}
		return true
	})
	sort.Strings(near)
	sort.Strings(far)
	if len(near) < minAddresses {
		near = append(near, far...)
	}
	return near[:min(len(near), maxAddresses)]
}
