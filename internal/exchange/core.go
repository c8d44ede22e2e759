package exchange

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/capacity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/lease"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
	"github.com/gooseberryslip/gooseberryslip/internal/system/quota"
	"github.com/gooseberryslip/gooseberryslip/internal/system/retry"
	"github.com/gooseberryslip/gooseberryslip/internal/system/shedding"
	"github.com/gooseberryslip/gooseberryslip/internal/system/streamversion"
	"github.com/gooseberryslip/gooseberryslip/internal/system/usage"
)

// Bounds are the limits and intervals that the settings define.
type Bounds struct {
	StaleAfter            time.Duration // a configuration confirmed longer ago than this is not acted on
	RetryRatio            float64       // retries allowed per first send, over all daemons
	RetryReserve          float64       // retries allowed in addition to the ratio in a RetryWindow, over all daemons
	RetryWindow           time.Duration // over which the retries are counted; 0: the default
	UsageWindow           time.Duration // length of one usage window
	ForgetServerAfter     time.Duration // a backend server is forgotten this long after it has gone
	UpdateIntervalPerPeer time.Duration // a daemon's interval between two state updates, per other daemon in the fleet
	QuotaWindow           time.Duration // length of the window over which the use of quotas is checked
	QuotaExcessRatio      float64       // ratio of a window's quota that may be exceeded
	QuotaExcessUnits      float64       // quota units that may be exceeded in addition to the ratio
	ForgetPeerAfter       time.Duration // a silent daemon's share of quotas is withheld until it has been silent for this long
	LeaseDuration         time.Duration // time in which two daemons may not alternate as lease holders
	Rollout               RolloutBounds
}

// Config configures a Core.
type Config struct {
	Self        Member
	DataCentres []entity.DataCentreID // all data centres of the fleet
	Bounds      Bounds
	Rand        *rand.Rand
	// DisableRejection disables the rejection of requests that are expected to miss
	// their latency objective. It is meant for experiments.
	DisableRejection bool
	// RecordVersions has the versions of services recorded in the table service before their
	// servers get streams that may be resumed. Without it, all daemons that restart at once
	// may continue a stream at another version.
	RecordVersions bool
	// ServerPace learns the speed of each backend server and limits the pace of those that
	// start or recover.
	ServerPace bool
	// LoadShedding has a service that is short of room refuse some requests for the sake of
	// others: see package shedding.
	LoadShedding bool
	Started      time.Time
}

// Core holds the state of this daemon from which it makes all its decisions on
// forwarded requests. It is not safe for concurrent use.
type Core struct {
	cfg              Config
	index            *documentIndex   // nil before the first configuration
	confirmedAt      time.Time        // start of the call that last confirmed the configuration
	tableVersion     uint64           // of the configuration that the table service last showed
	tableRecoveredAt time.Time        // when the table service last answered again after an outage
	tableRestoredAt  time.Time        // when the table service was last found to have been restored; zero: never
	leaving          bool             // this daemon is stopping
	stopDeadline     time.Time        // when the process ends, if leaving
	unixTimeAtZero   time.Duration    // true time since 1970 at the zero of this instance's clock
	trueTimeKnown    bool             // unixTimeAtZero has been set
	uncountedStarts  []startedRequest // requests that started before the true time was known
	listedDaemons    int              // daemons in the newest list of the table service, this one included; 0: not read yet
	sharingRetries   int              // daemons between which the retry reserve is shared; 0: not known yet

	servers                *entity.Table[entity.BackendServerID, serverRow]
	reportedEnds           *entity.Table[entity.BackendServerID, reportedEnd] // of the ends of servers that are not known
	peers                  *entity.Table[entity.InstanceID, peerRow]
	placer                 *placement.Placer
	quota                  *quota.Ledger
	budget                 *retry.Budget
	shedder                *shedding.Shedder // nil: load shedding is switched off
	usage                  *usage.Counter
	lease                  *lease.Lease
	reports                reportLog
	cachedPrompts          []CachedPrompt // prompts placed since the last state update
	sequence               uint32         // of the last state update sent
	firstSequence          uint32         // all state updates of this process have higher sequence numbers
	sent                   sentTimes      // when the newest state updates were written
	behindSince            time.Time      // since when another daemon has had a newer configuration; zero: none has
	demand                 demand
	sentDemand             []ServiceDemand // in the last state update
	crash                  crashGuard
	deaths                 deathLog
	orders                 ordersKnowledge
	statements             statementTable
	paths                  pathTable
	longestRuns            longestRuns
	running                map[*Ticket]struct{} // requests with an attempt in progress
	step                   stepState
	streams                *streamversion.Registry
	savedStreams           savedStreams
	feeds                  feedStates
	streamNews             map[entity.InstanceID][]streamversion.Record // to send, by daemon
	recorded               *streamversion.Recorded
	recordedNews           announcements[datedVersion]
	wasLeader              bool                     // at the last Tick
	resumptions            map[resumptionKey]uint64 // streams that callers took up
	events                 []event.Event            // for the log, since TakeEvents was last called
	rollouts               rolloutTable
	levels                 *entity.Table[entity.ServiceName, capacity.Level]
	onDemandLevels         *entity.Table[entity.ServiceName, capacity.Level]
	reclaimableExhaustedAt *entity.Table[serverLocation, time.Time]       // when a scaling request was last refused
	startingOnDemand       *entity.Table[serverLocation, startingServers] // of the last accepted scaling request
}

// maxFirstSequence leaves enough sequence numbers for all state updates of a
// process.
const maxFirstSequence = 1 << 30

// New returns a core without a configuration.
func New(cfg Config) *Core {
	c := &Core{
		cfg:                    cfg,
		servers:                entity.NewTable[entity.BackendServerID, serverRow](),
		reportedEnds:           entity.NewTable[entity.BackendServerID, reportedEnd](),
		peers:                  entity.NewTable[entity.InstanceID, peerRow](),
		placer:                 placement.New(cfg.Rand),
		crash:                  newCrashGuard(),
		deaths:                 newDeathLog(),
		statements:             newStatementTable(),
		rollouts:               newRolloutTable(),
		paths:                  newPathTable(&cfg),
		longestRuns:            newLongestRuns(),
		running:                make(map[*Ticket]struct{}),
		streams:                streamversion.New(),
		streamNews:             make(map[entity.InstanceID][]streamversion.Record),
		recorded:               streamversion.NewRecorded(processRand(&cfg.Self)),
		resumptions:            make(map[resumptionKey]uint64),
		levels:                 entity.NewTable[entity.ServiceName, capacity.Level](),
		onDemandLevels:         entity.NewTable[entity.ServiceName, capacity.Level](),
		reclaimableExhaustedAt: entity.NewTable[serverLocation, time.Time](),
		startingOnDemand:       entity.NewTable[serverLocation, startingServers](),
		quota:                  quota.New(),
		usage:                  usage.New(cfg.Self.process(), cfg.Bounds.UsageWindow),
		lease:                  lease.New(cfg.Self.Name, cfg.Started, cmp.Or(cfg.Bounds.LeaseDuration, lease.DefaultDuration)),
		reports:                newReportLog(),
	}
	// The sequence starts at a random number so that acknowledgements of the
	// previous process's updates can be told apart.
	c.firstSequence = cfg.Rand.Uint32N(maxFirstSequence)
	c.sequence = c.firstSequence
	c.budget = retry.New(retry.Config{Rand: cfg.Rand, Ratio: usedRetryRatio * cfg.Bounds.RetryRatio, Window: cfg.Bounds.RetryWindow})
	if cfg.LoadShedding {
		c.shedder = shedding.New()
	}
	c.shareAmongDaemons(cfg.Started, 0, 0)
	c.enableServerPace()
	return c
}

// SetDocument applies a version of the configuration and reports whether it is
// newer than the one in force. Other versions are ignored.
func (c *Core) SetDocument(now time.Time, doc *Document) bool {
	if c.index != nil && doc.Version <= c.index.doc.Version {
		return false
	}
	c.index = newDocumentIndex(doc)
	c.openRetryBudgets(now)
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

// toleranceRatio is the ratio of the permitted excess over a quota that callers may
// use. The rest covers what daemons spend before they learn of each other's use.
const toleranceRatio = 0.4

func (c *Core) quotaLimit(o *Organisation) quota.Limit {
	b := &c.cfg.Bounds
	excessUnits := b.QuotaExcessRatio*(o.RatePerSec*b.QuotaWindow.Seconds()+o.Burst) + b.QuotaExcessUnits
	return quota.Limit{Rate: o.RatePerSec, Burst: o.Burst, Tolerance: toleranceRatio * excessUnits}
}

// SetTrueTime sets the time since 1970 at the zero of this instance's clock, and
// counts in the usage the requests that started before it was known.
func (c *Core) SetTrueTime(unixTimeAtZero time.Duration) {
	c.unixTimeAtZero, c.trueTimeKnown = unixTimeAtZero, true
	for _, s := range c.uncountedStarts {
		c.usage.CountStarted(c.usage.Window(c.sinceUnixEpoch(s.at)), s.organisation)
	}
	c.uncountedStarts = nil
}

// TrueTime returns the time since 1970 at a time of this instance's clock, and whether
// it is known.
func (c *Core) TrueTime(at time.Time) (sinceEpoch time.Duration, known bool) {
	return c.sinceUnixEpoch(at), c.trueTimeKnown
}

// Leave records that this daemon is stopping and that its process ends by the given
// time.
func (c *Core) Leave(by time.Time) { c.leaving, c.stopDeadline = true, by }

// Version returns the configuration version in force and the time since its last
// confirmation. Without a configuration it returns 0 and the time since the
// daemon's start.
func (c *Core) Version(now time.Time) (version uint64, age time.Duration) {
	if c.index == nil {
		return 0, now.Sub(c.cfg.Started)
	}
	return c.index.doc.Version, now.Sub(c.confirmedAt)
}

// BodyLimit returns the maximum size in bytes of a caller's request body, or 0
// without a configuration.
func (c *Core) BodyLimit() int64 {
	if c.index == nil {
		return 0
	}
	return c.index.doc.Limits.BodyBytes
}

// configurationFresh reports whether the configuration was confirmed recently
// enough to act on it.
func (c *Core) configurationFresh(now time.Time) bool {
	return c.index != nil && now.Sub(c.confirmedAt) < c.cfg.Bounds.StaleAfter
}

// Serving reports whether this daemon can serve requests now.
func (c *Core) Serving(now time.Time) bool {
	return c.configurationFresh(now) && !c.leaving && c.servers.Len() > 0 && c.listedDaemons > 0 && c.readyForStreams(now)
}
