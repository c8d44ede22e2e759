package exchange

import (
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
	unreachable  []entity.ServiceName // whose backend servers it does not reach
	forwarding   int                  // attempts of this daemon that it forwards
	forwardsFrom time.Time            // until when it gets none to forward
	usageWindow  int64                // as of its last update
	acked        uint32               // this daemon's newest update that it has acknowledged
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
	row.unreachable = update.Unreachable
	row.usageWindow, row.acked = update.Window, max(row.acked, ack)
	c.applyUpdate(now, row, update)
	c.applyConfirmation(update, ack)
	c.receiveKnownOrders(now, update, ack)
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
	c.applyServerPace(now, update)
	c.receiveAnswerDurations(now, update.AnswerDurations)
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
	c.receiveRollouts(now, row, update.Rollouts)
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

// Tick runs the periodic tasks: it forgets backend servers and daemons that have
// gone, and adapts quotas and retry budget to the number of daemons.
func (c *Core) Tick(now time.Time) {
	c.forgetServers(now)
	c.deaths.forget(now)
	c.crash.forget(now)
	c.step.tick(now)
	c.updateLimits(now)
	c.tickPaths(now)
	c.refreshVersions(now)
	c.tickListDoubt(now)
	c.checkRecordAsLeader(now)
	c.tickRollouts(now)
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
