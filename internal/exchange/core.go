package exchange

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/capacity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/lease"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
	"github.com/gooseberryslip/gooseberryslip/internal/system/quota"
	"github.com/gooseberryslip/gooseberryslip/internal/system/retry"
	"github.com/gooseberryslip/gooseberryslip/internal/system/usage"
)

// Bounds are the limits that the settings set.
type Bounds struct {
	StaleAfter   time.Duration // an older confirmation of the configuration serves nobody
	RetryRatio   float64       // further sends for each first one, over all daemons
	RetrySlack   float64       // further sends beside, over all daemons
	UsageWindow  time.Duration
	ForgetServer time.Duration // after a server has gone
	NewsPerPeer  time.Duration // time between two messages of a daemon, for each other one
	QuotaWindow  time.Duration // in which quotas are judged
	QuotaOver    float64       // part of a window's quota that may be exceeded
	QuotaSlack   float64       // units that may be exceeded beside
	PeerForget   time.Duration // a silent daemon's part of a quota is set aside until then
}

// Config of a Core.
type Config struct {
	Self        Member
	DataCentres []entity.DataCentreID // of the fleet
	Bounds      Bounds
	Rand        *rand.Rand
	// TurnNobodyAway is for experiments: requests that will be late are taken too.
	TurnNobodyAway bool
	Started        time.Time
}

// Core holds everything that this daemon knows and decides with. It is not
// safe for concurrent use.
type Core struct {
	cfg       Config
	routes    *routes   // nil before the first configuration
	confirmed time.Time // start of the call that last confirmed the configuration
	storeBack time.Time // when the store last answered after an outage
	leaving   bool
	endsBy    time.Time     // when leaving
	trueTime  time.Duration // since 1970, at the zero of the clock
	timeKnown bool
	uncounted []began

	servers     *entity.Table[entity.BackendServerID, serverRow]
	peers       *entity.Table[entity.InstanceID, peerRow]
	placer      *placement.Placer
	quota       *quota.Ledger
	budget      *retry.Budget
	usage       *usage.Counter
	lease       *lease.Lease
	placed      []Placed // prompts placed since the last message to the others
	seq         uint32   // of the last message to the others
	firstSeq    uint32   // all messages have higher ones
	sent        sentTimes
	behindSince time.Time // another daemon has had a newer configuration since then
	demand      demand
	crash       crashGuard
	levels      *entity.Table[entity.ServiceName, capacity.Level]
	dry         *entity.Table[reclaimablePlace, time.Time] // when an order was last refused
}

// maxFirstSeq leaves room for the messages of a process's life.
const maxFirstSeq = 1 << 30

// New returns a core that knows no configuration.
func New(cfg Config) *Core {
	c := &Core{
		cfg:     cfg,
		servers: entity.NewTable[entity.BackendServerID, serverRow](),
		peers:   entity.NewTable[entity.InstanceID, peerRow](),
		placer:  placement.New(cfg.Rand),
		crash:   newCrashGuard(),
		levels:  entity.NewTable[entity.ServiceName, capacity.Level](),
		dry:     entity.NewTable[reclaimablePlace, time.Time](),
		quota:   quota.New(),
		usage:   usage.New(cfg.Self.process(), cfg.Bounds.UsageWindow),
		lease:   lease.New(cfg.Self.Name, cfg.Started),
	}
	// A random start tells echoes of the former process's messages apart.
	c.firstSeq = cfg.Rand.Uint32N(maxFirstSeq)
	c.seq = c.firstSeq
	c.budget = retry.New(retry.Config{Rand: cfg.Rand, Ratio: cfg.Bounds.RetryRatio, Reserve: cfg.Bounds.RetrySlack})
	return c
}

// SetDocument takes a version of the configuration. Older versions than the one
// in force are ignored.
func (c *Core) SetDocument(now time.Time, doc *Document) bool {
	if c.routes != nil && doc.Version <= c.routes.doc.Version {
		return false
	}
	c.routes = index(doc)
	for i := range doc.Organisations {
		o := &doc.Organisations[i]
		if o.QuotaDefined {
			c.quota.SetLimit(now, o.ID, c.quotaLimit(o))
		}
	}
	c.servers.All(func(_ entity.BackendServerID, row *serverRow) bool {
		c.placer.SetServer(c.placementServer(&row.BackendServer))
		return true
	})
	return true
}

// tolerancePart is the part of what may be exceeded that is lent to callers. The
// rest covers what daemons spend before they hear of each other.
const tolerancePart = 0.4

func (c *Core) quotaLimit(o *Organisation) quota.Limit {
	b := &c.cfg.Bounds
	over := b.QuotaOver*(o.RatePerSec*b.QuotaWindow.Seconds()+o.Burst) + b.QuotaSlack
	return quota.Limit{Rate: o.RatePerSec, Burst: o.Burst, Tolerance: tolerancePart * over}
}

// Confirm notes that the configuration was the newest at some moment after the
// given one.
func (c *Core) Confirm(at time.Time) {
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}

// StoreBack notes that the store answers again after an outage.
func (c *Core) StoreBack(now time.Time) { c.storeBack = now }

// SetTrueTime sets the time since 1970 that belongs to the zero of the clock, and
// counts what began to run before it was known.
func (c *Core) SetTrueTime(zero time.Duration) {
	c.trueTime, c.timeKnown = zero, true
	for _, b := range c.uncounted {
		c.usage.CountStarted(c.usage.Window(c.sinceEpoch(b.at)), b.organisation)
	}
	c.uncounted = nil
}

// Leave notes that this daemon is stopping and that its process ends by a time.
func (c *Core) Leave(by time.Time) { c.leaving, c.endsBy = true, by }

// Version returns the version in force and how old its confirmation is.
func (c *Core) Version(now time.Time) (version uint64, age time.Duration) {
	if c.routes == nil {
		return 0, now.Sub(c.cfg.Started)
	}
	return c.routes.doc.Version, now.Sub(c.confirmed)
}

// BodyLimit returns the most bytes of a caller's body, 0 if no configuration says.
func (c *Core) BodyLimit() int64 {
	if c.routes == nil {
		return 0
	}
	return c.routes.doc.Limits.BodyBytes
}

// fresh reports whether the configuration may be acted on.
func (c *Core) fresh(now time.Time) bool {
	return c.routes != nil && now.Sub(c.confirmed) < c.cfg.Bounds.StaleAfter
}

// Serving reports whether this daemon can serve requests now.
func (c *Core) Serving(now time.Time) bool {
	return c.fresh(now) && !c.leaving && c.servers.Len() > 0
}

const (
	// staleRetry is when callers of a daemon with a stale configuration may come
	// back; they will probably reach another daemon.
	staleRetry = 50 * time.Millisecond
	// emptyRetry is when callers may come back to a service without a usable
	// backend server.
	emptyRetry = 400 * time.Millisecond
)

// Admit decides whether a request may enter. Its time counts from its arrival.
func (c *Core) Admit(now, arrived time.Time, req Request) (*Ticket, *Refusal) {
	if !c.fresh(now) {
		_, age := c.Version(now)
		return nil, &Refusal{
			Status: Unavailable, Code: "stale-configuration", RetryAfter: staleRetry,
			Inputs: "confirmed " + age.Round(time.Millisecond).String() + " ago",
		}
	}
	if !strings.HasPrefix(req.Path, "/") || req.ID == "" {
		return nil, Refuse(Malformed, "malformed")
	}
	route := c.routes.match(req.Host, req.Path)
	if route == nil || len(route.Targets) == 0 {
		return nil, Refuse(NoRoute, "no-route")
	}
	t := &Ticket{Request: req, Route: route, Arrived: arrived}
	if !route.Public {
		t.Org = c.routes.byKey[req.Key]
		if t.Org == nil {
			return nil, Refuse(Unauthorised, "unknown-key")
		}
	}
	if c.crash.refused(now, req.Content) {
		return nil, &Refusal{Status: Unavailable, Code: "crashes-backend-servers", RetryAfter: convictedRetry}
	}
	t.Service = pick(route.Targets, req.ID)
	t.priority = rank(t)
	t.Deadline = deadline(arrived, route, req.Patience)
	if r := c.takeQuota(now, t); r != nil {
		return nil, r
	}
	return t, nil
}

// takeQuota books the request on its organisation's quota.
func (c *Core) takeQuota(now time.Time, t *Ticket) *Refusal {
	if t.Org == nil {
		return nil
	}
	t.cost = t.Request.Work.cost(t.Org)
	wait, ok := c.quota.Reserve(now, t.Org.ID, t.cost)
	if ok {
		return nil
	}
	return &Refusal{
		Status: OverQuota, Code: "over-quota", RetryAfter: wait,
		Inputs: fmt.Sprintf("%.0f units asked, rate %.0f/s", t.cost, t.Org.RatePerSec),
	}
}

// deadline returns when a request must have its final answer.
func deadline(arrived time.Time, r *Route, patience time.Duration) time.Time {
	left := r.Timeout
	if patience > 0 && (left == 0 || patience < left) {
		left = patience
	}
	if left == 0 {
		return time.Time{}
	}
	return arrived.Add(left)
}

// pick draws a target by weight. All sends of a request draw the same.
func pick(targets []Target, id entity.RequestID) entity.ServiceName {
	total := 0
	for _, t := range targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return targets[0].Service
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	left := int(h.Sum32() % uint32(total))
	for _, t := range targets {
		left -= max(t.Weight, 0)
		if left < 0 {
			return t.Service
		}
	}
	return targets[0].Service
}

const (
	// routeRanks is the number of route priorities told apart for one
	// organisation priority.
	routeRanks = 3
)

// rank orders requests at a backend server: by the organisation's priority,
// then by the route's.
func rank(t *Ticket) int {
	route := min(t.Route.Priority, routeRanks-1)
	if t.Org == nil || !t.Org.HasPriority {
		return min(t.Route.Priority*routeRanks, placement.Ranks-1)
	}
	return min(t.Org.Priority*routeRanks+route, placement.Ranks-1)
}

// keyValid reports whether the request's key is still in the configuration.
func (c *Core) keyValid(t *Ticket) bool {
	if t.Org == nil {
		return true
	}
	o := c.routes.byKey[t.Request.Key]
	return o != nil && o.ID == t.Org.ID
}
