// Package grant decides on which backend server and when an attempt runs.
//
// Each backend server has one coordinator among the live daemons. It keeps
// the backend server's only queue, its slots and its drain state. A daemon
// that has an attempt to run requests a grant from the coordinator, then talks
// to the backend server directly and reports completion. Correctness does not
// depend on there being only one coordinator: two cause some overload.
package grant

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/duetime"
	"github.com/gooseberryslip/gooseberryslip/internal/system/quarantine"
	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
)

// Config holds a daemon's identity and the durations. Zero durations and
// counts stand for the defaults.
type Config struct {
	Self     entity.InstanceID
	Location entity.Location
	Rand     *rand.Rand
	Policy   routing.Policy // nil: prefix affinity with bounded load

	RequestTimeout time.Duration // time without a reply after which a request is sent elsewhere
	ReportInterval time.Duration // between two reports to a coordinator
	SilenceTimeout time.Duration // time without a confirmation after which a grant is reclaimed
	RebuildWindow  time.Duration // how long a new coordinator waits for reports before it grants
	ReprobeDelay   time.Duration // how long a request is queued before other servers are probed; doubled with each probe
	FlushDelay     time.Duration // how long a release waits, to be sent with other messages
	MaxDeferral    time.Duration // time without candidates after which an acquisition without a deadline is refused
	MaxProbes      int           // backend servers probed before a request may queue
	Quarantine     quarantine.Config
}

const (
	defaultRequestTimeout = 250 * time.Millisecond
	defaultReportInterval = 10 * time.Second
	defaultSilenceTimeout = 25 * time.Second
	defaultRebuildWindow  = 100 * time.Millisecond
	defaultReprobeDelay   = 100 * time.Millisecond
	defaultFlushDelay     = 5 * time.Millisecond
	defaultMaxDeferral    = 30 * time.Second
	defaultMaxProbes      = 3
)

func (c Config) withDefaults() Config {
	c.RequestTimeout = cmp.Or(c.RequestTimeout, defaultRequestTimeout)
	c.ReportInterval = cmp.Or(c.ReportInterval, defaultReportInterval)
	c.SilenceTimeout = cmp.Or(c.SilenceTimeout, defaultSilenceTimeout)
	c.RebuildWindow = cmp.Or(c.RebuildWindow, defaultRebuildWindow)
	c.ReprobeDelay = cmp.Or(c.ReprobeDelay, defaultReprobeDelay)
	c.FlushDelay = cmp.Or(c.FlushDelay, defaultFlushDelay)
	c.MaxDeferral = cmp.Or(c.MaxDeferral, defaultMaxDeferral)
	c.MaxProbes = cmp.Or(c.MaxProbes, defaultMaxProbes)
	if c.Policy == nil {
		c.Policy = routing.NewAffinity()
	}
	return c
}

// Grants is one daemon's part of the grant system, as requester and as
// coordinator; see the package comment. It is not safe for concurrent use.
type Grants struct {
	cfg             Config
	members         memberList
	services        *entity.Table[entity.ServiceName, service]
	servers         *entity.Table[entity.BackendServerID, server]
	acquisitions    *entity.Table[acquisitionKey, acquisition]
	drainStates     *entity.Table[entity.BackendServerID, drainState]
	reports         *entity.Table[entity.InstanceID, reportTimer] // by coordinator
	suspects        *quarantine.Registry
	lossesAnnounced *entity.Table[entity.DataCentreID, time.Time] // when a loss was last announced
	outbox          outbox
	announcements   []announcement
	schedule        schedule
	ready           Ready
	sequence        uint32
	pool            []routing.Candidate // reused by filter
}

// New returns a Grants that knows no members but itself and no services.
func New(cfg Config) *Grants {
	cfg = cfg.withDefaults()
	return &Grants{
		cfg:             cfg,
		members:         newMemberList(Member{ID: cfg.Self, Location: cfg.Location}),
		services:        entity.NewTable[entity.ServiceName, service](),
		servers:         entity.NewTable[entity.BackendServerID, server](),
		acquisitions:    entity.NewTable[acquisitionKey, acquisition](),
		drainStates:     entity.NewTable[entity.BackendServerID, drainState](),
		reports:         entity.NewTable[entity.InstanceID, reportTimer](),
		suspects:        quarantine.New(cfg.Quarantine),
		lossesAnnounced: entity.NewTable[entity.DataCentreID, time.Time](),
		outbox:          newOutbox(),
	}
}

// Step handles a message of another daemon.
func (g *Grants) Step(now time.Time, from entity.InstanceID, m Message) {
	g.receive(now, from, &m)
	g.deliver(now)
}

// Tick handles what is due. It may be called at any time.
func (g *Grants) Tick(now time.Time) {
	for _, t := range g.schedule.popDue(now) {
		g.handleTimer(now, t)
	}
	for _, entry := range g.suspects.Tick(now) {
		g.announceQuarantine(now, entry)
	}
	g.sendAnnouncements(now)
	g.deliver(now)
}

// Deadline returns when Tick is due next; zero: not before the next input.
func (g *Grants) Deadline() time.Time {
	due := duetime.EarliestNonZero(g.schedule.first(), g.suspects.Deadline())
	due = duetime.EarliestNonZero(due, g.outbox.flushAt)
	for i := range g.announcements {
		due = duetime.EarliestNonZero(due, g.announcements[i].nextSend)
	}
	return due
}

// Ready returns and clears what the caller must perform.
func (g *Grants) Ready() Ready {
	r := g.ready
	g.ready = Ready{}
	return r
}

// receive handles the parts of a message. Releases come before requests, so
// that the slots they free serve the requests.
func (g *Grants) receive(now time.Time, from entity.InstanceID, m *Message) {
	for i := range m.DrainNotices {
		g.applyDrainNotice(now, &m.DrainNotices[i])
	}
	for i := range m.Suspicions {
		g.applySuspicion(now, &m.Suspicions[i])
	}
	for i := range m.Releases {
		g.handleRelease(now, from, &m.Releases[i])
	}
	for i := range m.Withdrawn {
		g.handleWithdrawal(now, from, m.Withdrawn[i])
	}
	for i := range m.Queries {
		g.handleQuery(now, from, m.Queries[i])
	}
	for i := range m.Confirmed {
		g.handleConfirmation(now, from, m.Confirmed[i])
	}
	if m.Report != nil {
		g.applyReport(now, from, m.Report)
	}
	for i := range m.Requests {
		g.handleRequest(now, from, &m.Requests[i])
	}
	for i := range m.Replies {
		g.handleReply(now, from, &m.Replies[i])
	}
}

// deliver handles this daemon's messages to itself until none is left, then
// moves the due messages to other daemons into the result.
func (g *Grants) deliver(now time.Time) {
	for {
		m := g.outbox.popLocal()
		if m == nil {
			break
		}
		g.receive(now, g.cfg.Self, m)
	}
	g.ready.Send = g.outbox.flush(now, g.ready.Send)
}

// messageTo returns the message being assembled for a daemon, to append to. An
// urgent one is sent with the next Ready. Any other waits up to FlushDelay, so
// that more parts share one message.
func (g *Grants) messageTo(now time.Time, to entity.InstanceID, urgent bool) *Message {
	if to == g.cfg.Self {
		return g.outbox.messageToSelf()
	}
	return g.outbox.messageToPeer(to, now, urgent, g.cfg.FlushDelay)
}

func (g *Grants) emit(e event.Event) { g.ready.Events = append(g.ready.Events, e) }
