package exchange

import (
	"sort"
	"strconv"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Member is a daemon's description of itself.
type Member struct {
	Name       entity.InstanceID   `cbor:"1,keyasint" json:"name"`
	Start      int64               `cbor:"2,keyasint" json:"start"` // distinguishes the processes of one name; from the instance's clock, which may restart at zero
	PeerAddr   string              `cbor:"3,keyasint" json:"peer_addr"`
	CallerAddr string              `cbor:"4,keyasint" json:"caller_addr"`
	DataCentre entity.DataCentreID `cbor:"5,keyasint" json:"data_centre"`
}

// process identifies one process of a daemon, so that a restarted daemon is not
// mistaken for its predecessor.
func (m *Member) process() entity.InstanceID {
	return m.Name + entity.InstanceID("#"+strconv.FormatInt(m.Start, 36))
}

// peerRow is this daemon's view of another one.
type peerRow struct {
	Member
	lastReceived time.Time // when its last update arrived; zero: it is only known from the table service
	knownSince   time.Time
	sequence     uint32 // of its last update
	leaving      bool
	serving      bool
	version      uint64
	demand       []ServiceDemand
	usageWindow  int64  // as of its last update
	acked        uint32 // this daemon's newest update that it has acknowledged
}

// AddMember adds a daemon that the table service lists. One from which updates have
// been received stays as it is.
func (c *Core) AddMember(now time.Time, m Member) {
	if m.Name == c.cfg.Self.Name {
		return
	}
	row := c.peers.Get(m.Name)
	if row == nil || row.lastReceived.IsZero() && row.Start != m.Start {
		c.peers.Put(m.Name, &peerRow{Member: m, knownSince: now})
	}
}

// staleMemberTimeout is how long a listed daemon may send nothing before its entry
// counts as stale.
const staleMemberTimeout = time.Minute

// StaleMembers returns the daemons with stale entries: they have been listed for long
// but have never sent an update.
func (c *Core) StaleMembers(now time.Time) []Member {
	var out []Member
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if r.lastReceived.IsZero() && now.Sub(r.knownSince) > staleMemberTimeout {
			out = append(out, r.Member)
		}
		return true
	})
	return out
}

// DropStaleMember forgets a daemon that has never sent an update.
func (c *Core) DropStaleMember(name entity.InstanceID) {
	if r := c.peers.Get(name); r != nil && r.lastReceived.IsZero() {
		c.peers.Delete(name)
	}
}

// ReceiveUpdate applies another daemon's state update. Ack is the sequence number of this
// daemon's last update that the sender had received when it wrote its own. Updates
// that arrive out of order are dropped.
func (c *Core) ReceiveUpdate(now time.Time, update *StateUpdate, ack uint32) {
	if update.From.Name == c.cfg.Self.Name || update.From.Name == "" {
		return
	}
	row := c.peers.Get(update.From.Name)
	if row != nil && c.fromPreviousProcess(now, row, update) {
		return
	}
	if row == nil || row.Start != update.From.Start {
		if row != nil {
			c.quota.Forget(row.process())
		}
		row = &peerRow{}
		c.peers.Put(update.From.Name, row)
	}
	firstHeard := row.lastReceived.IsZero()
	if !firstHeard && update.Sequence <= row.sequence {
		return
	}
	if ack <= c.firstSequence || ack > c.sequence {
		ack = 0 // acknowledges an update of this daemon's previous process
	}
	row.Member, row.lastReceived, row.sequence = update.From, now, update.Sequence
	row.leaving, row.serving, row.version, row.demand = update.Leaving, update.Serving, update.Version, update.Demand
	row.usageWindow, row.acked = update.Window, max(row.acked, ack)
	c.applyUpdate(now, row, update)
	c.applyConfirmation(update, ack)
	if firstHeard {
		c.announceToNewcomer(now)
	}
}

// fromPreviousProcess reports whether an update comes from an earlier process of a
// daemon than the known one. If the known one has been silent, an earlier start
// time counts as a new process, since the instance's clock may have restarted at
// zero.
func (c *Core) fromPreviousProcess(now time.Time, row *peerRow, update *StateUpdate) bool {
	return update.From.Start < row.Start && !row.lastReceived.IsZero() && now.Sub(row.lastReceived) < minSilenceTimeout
}

// applyUpdate passes the parts of an update to the components that use them.
func (c *Core) applyUpdate(now time.Time, row *peerRow, update *StateUpdate) {
	process := row.process()
	c.placer.SetUpdateInterval(c.updateInterval())
	c.placer.ReceiveLoads(now, row.Name, update.Loads, c.silenceTimeout())
	c.quota.ReceiveUses(now, process, update.Quota)
	c.usage.ReceiveCounts(process, update.Usage)
	c.observeLease(now, update)
	c.AdoptLevels(update.Levels)
	for _, r := range update.Reports {
		c.reports.add(r, false)
	}
	for _, s := range update.DrainingServers {
		c.receiveDraining(now, s)
	}
	c.ReceiveNotice(now, row.Name, &update.Notice)
	for _, p := range update.CachedPrompts {
		c.placer.AddCachedPart(now, p.Server, p.Part)
	}
}

// observeLease applies the sender's lease announcement. A sender that is leaving
// performs no leader tasks any more, so its lease counts as released.
func (c *Core) observeLease(now time.Time, update *StateUpdate) {
	c.lease.ObserveHigherEpoch(now, update.KnownEpoch)
	if !update.Leaving {
		c.lease.ObserveEpoch(now, update.LeaseEpoch)
		return
	}
	if update.LeaseEpoch > 0 {
		c.lease.ObserveRelease(now, update.LeaseEpoch)
	}
}

// Peers returns all other daemons that may be alive.
func (c *Core) Peers() []Member {
	out := make([]Member, 0, c.peers.Len())
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		out = append(out, r.Member)
		return true
	})
	return out
}

const (
	// minSilenceTimeout is the minimum of silenceTimeout. It applies in small
	// fleets.
	minSilenceTimeout = 1200 * time.Millisecond
	// silenceTimeoutUpdates is silenceTimeout in large fleets, in update intervals.
	silenceTimeoutUpdates = 5
)

// updateInterval returns the time between two updates of a daemon in a large fleet.
func (c *Core) updateInterval() time.Duration {
	return time.Duration(c.peers.Len()) * c.cfg.Bounds.UpdateIntervalPerPeer
}

// silenceTimeout returns how long another daemon counts as alive after its last
// update.
func (c *Core) silenceTimeout() time.Duration {
	return max(minSilenceTimeout, silenceTimeoutUpdates*c.updateInterval())
}

// recentlySeen reports whether an update of a daemon arrived within silenceTimeout.
func (c *Core) recentlySeen(now time.Time, r *peerRow) bool {
	return !r.lastReceived.IsZero() && now.Sub(r.lastReceived) < c.silenceTimeout()
}

const (
	// minQuotaUseTTL is the minimum of quotaUseTTL. It applies in small fleets.
	minQuotaUseTTL = 600 * time.Millisecond
	// quotaUseTTLUpdates is quotaUseTTL in large fleets, in update intervals. It
	// may be short: what is withheld for a daemon whose update was lost becomes
	// available again with its next one.
	quotaUseTTLUpdates = 1.5
	// cutOffTimeout is how long a daemon may receive no update from any other one
	// before it counts as cut off.
	cutOffTimeout = 400 * time.Millisecond
)

// quotaUseTTL returns how long after a daemon's last update its use of quotas
// counts as known.
func (c *Core) quotaUseTTL() time.Duration {
	return max(minQuotaUseTTL, time.Duration(quotaUseTTLUpdates*float64(c.updateInterval())))
}

// cutOff reports whether no update of any daemon has arrived lately.
func (c *Core) cutOff(now time.Time) bool {
	var newest time.Time
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if r.lastReceived.After(newest) {
			newest = r.lastReceived
		}
		return true
	})
	return now.Sub(newest) > cutOffTimeout
}

// Tick runs the periodic tasks: it forgets backend servers and daemons that have
// gone, and adapts quotas and retry budget to the number of daemons.
func (c *Core) Tick(now time.Time) {
	c.forgetServers(now)
	c.deaths.forget(now)
	c.crash.forget(now)
	c.updateLimits(now)
	c.refreshVersions(now)
	reachable, known := c.countDaemons(now)
	if c.forgetSilentPeers(now, reachable, known) {
		reachable, known = c.countDaemons(now)
	}
	c.shareAmongDaemons(now, reachable, known)
}

// SetListedDaemons records how many daemons the table service lists, this one included.
func (c *Core) SetListedDaemons(now time.Time, n int) {
	c.listedDaemons = n
	reachable, known := c.countDaemons(now)
	c.shareAmongDaemons(now, reachable, known)
}

// shareAmongDaemons gives this daemon its parts of what all daemons share. A daemon that has not
// read the list of daemons does not know with how many it shares.
func (c *Core) shareAmongDaemons(now time.Time, reachable, known int) {
	if c.listedDaemons == 0 {
		reachable, known = 0, 0
	}
	c.quota.SetDaemons(now, reachable, known)
	c.shareRetries(now, known)
}

// countDaemons returns for how many daemons the use of quotas is known (reachable),
// and how many may be spending quotas in all (known), this one included in both.
func (c *Core) countDaemons(now time.Time) (reachable, known int) {
	reachable, known = 1, 1
	cutOff, quotaUseTTL := c.cutOff(now), c.quotaUseTTL()
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		switch {
		case !cutOff && !r.lastReceived.IsZero() && now.Sub(r.lastReceived) < quotaUseTTL:
			reachable, known = reachable+1, known+1
		case c.mayServe(now, r):
			known++
		}
		return true
	})
	return reachable, known
}

// minorityForgetFactor is the factor by which daemons that reach half of the fleet
// or less remember silent ones for longer: they are more likely to be the ones that
// are cut off.
const minorityForgetFactor = 2

// forgetSilentPeers drops daemons that have been silent for too long, and reports
// whether there were any.
func (c *Core) forgetSilentPeers(now time.Time, reachable, known int) (dropped bool) {
	after := c.cfg.Bounds.ForgetPeerAfter
	if 2*reachable <= known {
		after *= minorityForgetFactor
	}
	for _, name := range c.peers.Keys() {
		r := c.peers.Get(name)
		if !r.lastReceived.IsZero() && now.Sub(r.lastReceived) > after {
			c.quota.Forget(r.process())
			c.peers.Delete(name)
			dropped = true
		}
	}
	return dropped
}

// mayServe reports whether a daemon may be serving, even if it is not reachable.
func (c *Core) mayServe(now time.Time, r *peerRow) bool {
	switch {
	case r.leaving:
		return false
	case r.lastReceived.IsZero():
		return now.Sub(r.knownSince) < c.cfg.Bounds.ForgetPeerAfter // after that its entry counts as stale
	default:
		return true
	}
}

// ackedByAll returns the newest update of this daemon such that all daemons that
// may serve have acknowledged it or a later one, and whether there are any.
func (c *Core) ackedByAll(now time.Time) (sequence uint32, others bool) {
	sequence = c.sequence
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if c.mayServe(now, r) {
			sequence, others = min(sequence, r.acked), true
		}
		return true
	})
	return sequence, others
}

// rankOfSelf returns this daemon's rank by name among the daemons seen recently; 0
// is first.
func (c *Core) rankOfSelf(now time.Time) int {
	rank := 0
	c.peers.All(func(name entity.InstanceID, r *peerRow) bool {
		if c.recentlySeen(now, r) && !r.leaving && name < c.cfg.Self.Name {
			rank++
		}
		return true
	})
	return rank
}

// maxAddresses is the maximum number of addresses in one answer.
const maxAddresses = 64

// minAddresses is the number of addresses in the caller's own data centre from
// which on those of other data centres are omitted.
const minAddresses = 2

// Addresses returns the addresses of serving daemons to which callers of a data
// centre should connect. Daemons of other data centres are included only if there
// are few in that one.
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
		if c.recentlySeen(now, r) && r.serving && !r.leaving {
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
