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

// Config holds the parts of a core and its limits.
type Config struct {
	Self          membership.Member
	Membership    *membership.Membership
	Configuration *configuration.Configuration
	Journal       *journal.Journal
	Grants        *grant.Grants
	Admission     *admission.Limiter
	Retry         *retry.Budget
	Fleet         *fleet.System // nil: no cloud, and so no managed services
	Rand          *rand.Rand
	Limits        Limits
}

// Limits bounds what a core holds and how long it waits.
type Limits struct {
	MaxRequests  int           // unfinished requests at once
	KeepFinished time.Duration // how long an outcome is kept for callers
	MaxFinished  int           // outcomes kept at once
	DrainGrace   time.Duration // longest planned stop
	FirstTimeout time.Duration // default of the service documents
	TokenTimeout time.Duration // default of the service documents
}

// DefaultLimits returns the limits of a small instance.
func DefaultLimits() Limits {
	return Limits{
		MaxRequests:  4096,
		KeepFinished: time.Minute,
		MaxFinished:  2048,
		DrainGrace:   30 * time.Second,
		FirstTimeout: 10 * time.Second,
		TokenTimeout: 5 * time.Second,
	}
}

// Core is the state of one daemon.
type Core struct {
	Config
	now      time.Time
	requests *entity.Table[entity.RequestID, request]
	attempts *entity.Table[attemptKey, attempt]
	callers  map[CallerID]entity.RequestID // never iterated
	timers   timerQueue
	dirty    []*request
	finished []entity.RequestID // in order of their end
	active   int                // requests that are not finished
	out      Outbox

	members     []membership.Member
	membersOld  bool
	successors  map[entity.InstanceID]entity.InstanceID // never iterated
	leaving     map[entity.BackendServerID]uint64       // news versions; never iterated
	drain       drainState
	fleet       fleetState
	inForce     []entity.Service // with the backend servers of ours
	askAt       time.Time        // next question to a peer for documents
	isolated    bool
	viewOld     bool
	viewCurrent bool
	viewAt      time.Time
}

// New returns a core at the start of its daemon's life.
func New(cfg Config) *Core {
	return &Core{
		Config:     cfg,
		requests:   entity.NewTable[entity.RequestID, request](),
		attempts:   entity.NewTable[attemptKey, attempt](),
		callers:    make(map[CallerID]entity.RequestID),
		successors: make(map[entity.InstanceID]entity.InstanceID),
		leaving:    make(map[entity.BackendServerID]uint64),
		fleet:      newFleetState(),
		membersOld: true,
		isolated:   true,
	}
}

// Tick takes the inputs, runs every system once and returns what the caller
// has to perform. Times must not go back from call to call.
func (c *Core) Tick(now time.Time, inputs []Input) Outbox {
	c.now = now
	c.out = Outbox{}
	for _, in := range inputs {
		c.step(in)
	}
	c.runTimers()
	c.runSystems()
	c.watchCurrency()
	c.askForDocuments()
	c.runFleet()
	c.runDrain()
	c.settle()
	c.collectAdmission()
	c.deliver()
	c.forget()
	c.publishView()
	return c.out
}

// step gives one input to its system.
func (c *Core) step(in Input) {
	switch in := in.(type) {
	case Submit:
		c.submit(in)
	case Fetch:
		c.fetch(in)
	case Cancel:
		c.cancel(in)
	case CallerGone:
		c.callerGone(in)
	case AttemptTokens:
		c.attemptTokens(in)
	case AttemptDone:
		c.attemptDone(in)
	case AttemptFailed:
		c.attemptFailed(in)
	case Exported:
		c.exported(in)
	case PeerMessage:
		c.peerMessage(in)
	case PlatformResult:
		c.platformResult(in)
	case InstanceList:
		c.instanceList(in)
	case ReclaimNotice:
		c.reclaimNotice(in)
	case Drain:
		c.startDrain(c.now.Add(c.Limits.DrainGrace), false)
	case BackendLeaving:
		c.backendLeaving(in)
	case EngineLoad:
		c.Grants.LoadReport(c.now, in.Backend, in.Load)
	case EngineCache:
		c.Grants.CacheEvent(c.now, in.Backend, in.Event)
	case ApplyChange:
		c.Configuration.Apply(c.now, in.Change)
	case CloudOutcome:
		c.cloudOutcome(in)
	case PriceList:
		c.priceList(in)
	case ReadHistory:
		c.Configuration.History(in.Service)
	}
}

// runSystems gives each system its tick.
func (c *Core) runSystems() {
	c.Membership.Tick(c.now)
	c.Configuration.Tick(c.now)
	c.Journal.Tick(c.now)
	c.Grants.Tick(c.now)
	c.Admission.Tick(c.now)
}

// settle passes the outputs of the systems on until none is left. Each round
// consumes what the one before has produced; the bound only guards against a
// fault in a system.
func (c *Core) settle() {
	const maxRounds = 64
	for range maxRounds {
		if !c.collect() {
			return
		}
	}
}

// collect drains each system once and reports whether there was anything.
func (c *Core) collect() bool {
	any := c.collectMembership()
	any = c.collectConfiguration() || any
	any = c.collectJournal() || any
	any = c.collectGrants() || any
	any = c.collectFleet() || any
	return any
}

// Deadline returns when Tick is due next without inputs; zero for never.
func (c *Core) Deadline() time.Time {
	at := duetime.Earliest(c.Membership.Deadline(), c.Configuration.Deadline())
	at = duetime.Earliest(at, c.Journal.Deadline())
	at = duetime.Earliest(at, c.Grants.Deadline())
	at = duetime.Earliest(at, c.Admission.Deadline())
	at = duetime.Earliest(at, c.askAt)
	at = duetime.Earliest(at, c.drainDeadline())
	at = duetime.Earliest(at, c.fleetDeadline())
	if len(c.timers) > 0 {
		at = duetime.Earliest(at, c.timers[0].at)
	}
	return at
}

// emit adds an event about a request.
func (c *Core) emit(n event.Number, r *request, detail string) {
	e := event.Event{Number: n, At: c.now, Detail: detail}
	if r != nil {
		e.Service = r.work.Service
		e.Request = r.id
		e.Attempt = r.current
		if a := c.attempts.Get(attemptKey{r.id, r.current}); a != nil {
			e.Backend = a.backend.ID
		}
	}
	c.out.Events = append(c.out.Events, e)
}

// member returns a daemon that is not known to be dead.
func (c *Core) member(id entity.InstanceID) (membership.Member, bool) {
	m, ok := c.Membership.Get(id)
	return m, ok && m.State != membership.Dead
}

// send adds a reliable message to another daemon.
func (c *Core) send(to entity.InstanceID, m Message) {
	member, ok := c.member(to)
	if !ok {
		return
	}
	c.out.Sends = append(c.out.Sends, Envelope{To: to, Addr: member.Addr, Message: m})
}
