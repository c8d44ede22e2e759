package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
	"github.com/gooseberryslip/gooseberryslip/internal/system/quota"
	"github.com/gooseberryslip/gooseberryslip/internal/system/usage"
)

// CachedPrompt says on which backend server a prompt was placed and is therefore
// cached.
type CachedPrompt struct {
	Server entity.BackendServerID `cbor:"1,keyasint"`
	Part   placement.CachedPart   `cbor:"2,keyasint"` // the last part that other requests share
}

// StateUpdate is the message in which a daemon reports its state to all others,
// several times a second.
type StateUpdate struct {
	From          Member                 `cbor:"1,keyasint"`
	Sequence      uint32                 `cbor:"2,keyasint"`
	Leaving       bool                   `cbor:"3,keyasint,omitempty"`
	Serving       bool                   `cbor:"4,keyasint,omitempty"`
	Version       uint64                 `cbor:"5,keyasint"`
	LeaseEpoch    uint64                 `cbor:"6,keyasint,omitempty"` // only from the lease holder
	Loads         []placement.ServerLoad `cbor:"7,keyasint,omitempty"`
	Quota         []quota.Use            `cbor:"8,keyasint,omitempty"`
	Usage         []usage.Count          `cbor:"9,keyasint,omitempty"`
	CachedPrompts []CachedPrompt         `cbor:"10,keyasint,omitempty"`
	Demand        []ServiceDemand        `cbor:"11,keyasint,omitempty"`
	// Age is the time from the last confirmation of the sender's configuration to
	// this update. Negative: too long ago to act on it.
	Age             time.Duration    `cbor:"12,keyasint"`
	Levels          []ServiceLevel   `cbor:"13,keyasint,omitempty"` // only from the lease holder
	DrainingServers []DrainingServer `cbor:"14,keyasint,omitempty"`
	// Window is the present usage window. What the sender counted in earlier ones
	// is included in this update or an earlier one.
	Window int64 `cbor:"16,keyasint,omitempty"`
	// KnownEpoch is the lease's highest epoch that the sender knows, so that a former
	// holder that the present one cannot reach learns of it from others.
	KnownEpoch uint64        `cbor:"17,keyasint,omitempty"`
	Reports    []UsageReport `cbor:"18,keyasint,omitempty"` // only from the lease holder
	Notice     Notice        `cbor:"19,keyasint,omitempty"`
	Orders     *KnownOrders  `cbor:"24,keyasint,omitempty"` // only from daemons that query the table service often
	Rollouts   []RolloutNews `cbor:"20,keyasint,omitempty"`
	// Speeds are samples of the speed of backend servers.
	Speeds []placement.SpeedSample `cbor:"30,keyasint,omitempty"`
	// Unreachable are the services whose backend servers the sender does not reach.
	Unreachable []entity.ServiceName `cbor:"31,keyasint,omitempty"`
	// AnswerDurations are in one of updatesPerFullUpdate updates.
	AnswerDurations []AnswerDuration `cbor:"32,keyasint,omitempty"`
}

// ServiceLevel is the work that the lease holder plans a service's capacity for.
type ServiceLevel struct {
	Service entity.ServiceName `cbor:"1,keyasint" json:"service"`
	Work    float64            `cbor:"2,keyasint" json:"work"` // number of servers kept busy
}

// NextUpdate returns the next state update for the other daemons.
func (c *Core) NextUpdate(now time.Time) StateUpdate {
	c.sequence++
	acked, others := c.ackedByAll(now)
	if !others {
		acked = 0 // a daemon that is not known yet has received nothing
	}
	update := StateUpdate{
		From: c.cfg.Self, Sequence: c.sequence, Leaving: c.leaving, Serving: c.Serving(now),
		Loads: c.placer.ServerLoads(), Quota: c.quota.Uses(now, c.sequence%updatesPerFullUpdate == 0), CachedPrompts: c.cachedPrompts, Demand: c.demand.rates(now),
		Age: c.confirmationAge(now), DrainingServers: c.drainingServers(now),
		Notice: c.noticeDue(now, c.sequence, acked), Orders: c.knownOrders(now),
	}
	update.Rollouts = c.rolloutNews(now)
	update.Unreachable = c.unreachableServices()
	if c.sequence%updatesPerFullUpdate == 0 {
		update.AnswerDurations = c.answerDurations(now)
	}
	c.addServerPace(now, &update)
	c.cachedPrompts, c.sentDemand = nil, update.Demand
	c.sent.record(c.sequence, now)
	if c.index != nil {
		update.Version = c.index.doc.Version
	}
	if c.trueTimeKnown {
		update.Window = c.usage.Window(c.sinceUnixEpoch(now))
		update.Usage = c.usage.LocalCounts(update.Window, c.sequence, acked)
	}
	epoch, held := c.lease.Epoch()
	update.KnownEpoch = epoch
	if held {
		update.LeaseEpoch = epoch
		update.Levels = c.Levels()
		update.Reports = c.reports.unacknowledged(c.sequence, acked)
	}
	return update
}

// updatesPerFullUpdate is the number of updates of which one includes what the others do not: all quotas,
// also those that have not changed lately, and the longest answers.
const updatesPerFullUpdate = 16

// maxCachedPrompts limits the cached prompts in one update.
const maxCachedPrompts = 12

// recordCachedPrompt notes a placed prompt for the next update.
func (c *Core) recordCachedPrompt(id entity.BackendServerID, t *Ticket) {
	keys := placement.SharedParts(t.Request.Work.Parts)
	if len(keys) > 0 && len(c.cachedPrompts) < maxCachedPrompts {
		c.cachedPrompts = append(c.cachedPrompts, CachedPrompt{Server: id, Part: keys[len(keys)-1]})
	}
}
