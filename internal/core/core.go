package core

import (
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/admission"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/system/duetime"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/system/journal"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
	"github.com/gooseberryslip/gooseberryslip/internal/system/retry"
)

// Config holds the systems that a core runs, and its limits.
type Config struct {
	Self          membership.Member
	Membership    *membership.Membership
	Configuration *configuration.Configuration
	Journal       *journal.Journal
	Grants        *grant.Grants
	Admission     *admission.Limiter
	Retry         *retry.Budget
	Fleet         *fleet.System // nil: no cloud access, hence no managed services
	Rand          *rand.Rand
	Limits        Limits
}

// Limits bounds what a core stores and how long it waits.
type Limits struct {
	MaxRequests       int           // unfinished requests at once; more are refused
	FinishedRetention time.Duration // how long the outcome of a finished request is kept for callers
	MaxFinished       int           // outcomes kept at once; the oldest are dropped first
	DrainGrace        time.Duration // longest duration of a planned stop
	FirstTimeout      time.Duration // wait for the first token, unless the service document sets it
	TokenTimeout      time.Duration // wait between tokens, unless the service document sets it
}

// DefaultLimits returns the limits for a small instance.
func DefaultLimits() Limits {
	return Limits{
		MaxRequests:       4096,
		FinishedRetention: time.Minute,
		MaxFinished:       2048,
		DrainGrace:        30 * time.Second,
		FirstTimeout:      10 * time.Second,
		TokenTimeout:      5 * time.Second,
	}
}

// Core is the state of one daemon. It is not safe for concurrent use.
type Core struct {
	Config
	now             time.Time
	requests        *entity.Table[entity.RequestID, request]
	attempts        *entity.Table[attemptKey, attempt]
	callers         map[CallerID]entity.RequestID // never iterated
	timers          timerQueue
	changed         []*request         // queued for deliverChanges
	finishedInOrder []entity.RequestID // in the order in which they finished
	unfinished      int                // number of requests without a final outcome
	out             Outbox             // of the current tick

	members            []membership.Member
	membersStale       bool                                    // updateMembers has not run yet
	successors         map[entity.InstanceID]entity.InstanceID // by leaving daemon; never iterated
	drainVersions      map[entity.BackendServerID]uint64       // of the newest gossip record about a server; odd: draining; never iterated
	drain              drainState
	fleet              fleetState
	effectiveServices  []entity.Service // with the servers on managed instances
	documentsRequestAt time.Time        // when the next peer is asked for documents
	isolated           bool             // the configuration may be out of date; new requests are refused
	viewStale          bool             // the published view is out of date
	viewConfigCurrent  bool
	viewPublishedAt    time.Time
}

// New returns a core in the state of a newly started daemon.
func New(cfg Config) *Core {
	return &Core{
		Config:        cfg,
		requests:      entity.NewTable[entity.RequestID, request](),
		attempts:      entity.NewTable[attemptKey, attempt](),
		callers:       make(map[CallerID]entity.RequestID),
		successors:    make(map[entity.InstanceID]entity.InstanceID),
		drainVersions: make(map[entity.BackendServerID]uint64),
		fleet:         newFleetState(),
		membersStale:  true,
		isolated:      true,
	}
}

// Tick applies the inputs, runs every system once and returns what the caller
// has to perform. The time must not decrease from call to call.
func (c *Core) Tick(now time.Time, inputs []Input) Outbox {
	c.now = now
	c.out = Outbox{}
	for _, in := range inputs {
		c.handleInput(in)
	}
	c.runTimers()
	c.runSystems()
	c.updateIsolation()
	c.requestDocuments()
	c.runFleet()
	c.runDrain()
	c.processSystemOutputs()
	c.collectAdmission()
	c.deliverChanges()
	c.expireFinished()
	c.publishView()
	return c.out
}

// handleInput passes one input to the system that handles it.
func (c *Core) handleInput(in Input) {
	switch in := in.(type) {
	case Submit:
		c.handleSubmit(in)
	case Fetch:
		c.handleFetch(in)
	case Cancel:
		c.handleCancel(in)
	case CallerGone:
		c.handleCallerGone(in)
	case AttemptTokens:
		c.handleAttemptTokens(in)
	case AttemptDone:
		c.handleAttemptDone(in)
	case AttemptFailed:
		c.handleAttemptFailed(in)
	case ExportResult:
		c.handleExportResult(in)
	case PeerMessage:
		c.handlePeerMessage(in)
	case PlatformResult:
		c.handlePlatformResult(in)
	case InstanceList:
		c.handleInstanceList(in)
	case ReclaimNotice:
		c.handleReclaimNotice(in)
	case Drain:
		c.startDrain(c.now.Add(c.Limits.DrainGrace), false)
	case BackendDraining:
		c.handleBackendDraining(in)
	case EngineLoad:
		c.Grants.LoadReport(c.now, in.Backend, in.Load)
	case EngineCache:
		c.Grants.CacheEvent(c.now, in.Backend, in.Event)
	case ApplyChange:
		c.Configuration.Apply(c.now, in.Change)
	case CloudOutcome:
		c.handleCloudOutcome(in)
	case PriceList:
		c.handlePriceList(in)
	case ReadHistory:
		c.Configuration.History(in.Service)
	}
}

// runSystems calls Tick on each system.
func (c *Core) runSystems() {
	c.Membership.Tick(c.now)
	c.Configuration.Tick(c.now)
	c.Journal.Tick(c.now)
	c.Grants.Tick(c.now)
	c.Admission.Tick(c.now)
}

// processSystemOutputs applies the outputs of the systems until none of them can
// lead to further outputs. Each round consumes what the previous one has produced;
// the bound on the rounds only guards against a system that never stops producing.
func (c *Core) processSystemOutputs() {
	const maxRounds = 64
	for range maxRounds {
		if !c.collectSystemOutputs() {
			return
		}
	}
}

// collectSystemOutputs applies the outputs of each system once and reports
// whether any of them may lead to further outputs. Events and operations do not.
func (c *Core) collectSystemOutputs() bool {
	produced := c.collectMembership()
	produced = c.collectConfiguration() || produced
	produced = c.collectJournal() || produced
	produced = c.collectGrants() || produced
	produced = c.collectFleet() || produced
	return produced
}

// Deadline returns when Tick has to be called next if there are no inputs; the
// zero time means never.
func (c *Core) Deadline() time.Time {
	at := duetime.EarliestNonZero(c.Membership.Deadline(), c.Configuration.Deadline())
	at = duetime.EarliestNonZero(at, c.Journal.Deadline())
	at = duetime.EarliestNonZero(at, c.Grants.Deadline())
	at = duetime.EarliestNonZero(at, c.Admission.Deadline())
	at = duetime.EarliestNonZero(at, c.documentsRequestAt)
	at = duetime.EarliestNonZero(at, c.drainDeadline())
	at = duetime.EarliestNonZero(at, c.fleetDeadline())
	if len(c.timers) > 0 {
		at = duetime.EarliestNonZero(at, c.timers[0].at)
	}
	return at
}

// emit adds an event to the outbox; r is the request concerned, or nil.
func (c *Core) emit(n event.Number, r *request, detail string) {
	e := event.Event{Number: n, At: c.now, Detail: detail}
	if r != nil {
		e.Service = r.work.Service
		e.Request = r.id
		e.Attempt = r.currentAttempt
		if a := c.attempts.Get(attemptKey{r.id, r.currentAttempt}); a != nil {
			e.Backend = a.backend.ID
		}
	}
	c.out.Events = append(c.out.Events, e)
}

// knownMember returns a daemon that membership knows and does not hold dead.
func (c *Core) knownMember(id entity.InstanceID) (membership.Member, bool) {
	m, ok := c.Membership.Get(id)
	return m, ok && m.State != membership.Dead
}

// send adds a reliable message to another daemon to the outbox. A message to a
// daemon that is dead or unknown is dropped.
func (c *Core) send(to entity.InstanceID, m Message) {
	member, ok := c.knownMember(to)
	if !ok {
		return
	}
	c.out.Sends = append(c.out.Sends, Envelope{To: to, Addr: member.Addr, Message: m})
}
