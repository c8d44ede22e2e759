// Package grant decides on which backend server and when an attempt runs.
//
// Each backend server has one coordinator among the live daemons. It keeps
// the backend server's only queue, its slots and its drain state. A daemon
// that wants to run an attempt asks the coordinator for a grant, then talks to
// the backend server directly and reports completion. No property of
// correctness depends on there being one coordinator: two cost some overload.
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
	Self   entity.InstanceID
	Place  entity.Place
	Rand   *rand.Rand
	Policy routing.Policy // nil: prefix affinity with bounded load

	AskTimeout     time.Duration // without a reply an ask is sent elsewhere
	ReportInterval time.Duration // between two reports to a coordinator
	SilenceLimit   time.Duration // a silent asker's grants are taken back
	RebuildWindow  time.Duration // a new coordinator waits for reports
	ReprobeAfter   time.Duration // a queued ask looks for a free slot elsewhere
	FlushDelay     time.Duration // releases wait that long for other messages
	ParkLimit      time.Duration // a want without candidates and deadline is refused
	MaxProbes      int           // backend servers asked before an ask queues
	Quarantine     quarantine.Config
}

const (
	defaultAskTimeout     = 250 * time.Millisecond
	defaultReportInterval = 10 * time.Second
	defaultSilenceLimit   = 25 * time.Second
	defaultRebuildWindow  = 100 * time.Millisecond
	defaultReprobeAfter   = 100 * time.Millisecond
	defaultFlushDelay     = 5 * time.Millisecond
	defaultParkLimit      = 30 * time.Second
	defaultMaxProbes      = 3
)

func (c Config) withDefaults() Config {
	c.AskTimeout = cmp.Or(c.AskTimeout, defaultAskTimeout)
	c.ReportInterval = cmp.Or(c.ReportInterval, defaultReportInterval)
	c.SilenceLimit = cmp.Or(c.SilenceLimit, defaultSilenceLimit)
	c.RebuildWindow = cmp.Or(c.RebuildWindow, defaultRebuildWindow)
	c.ReprobeAfter = cmp.Or(c.ReprobeAfter, defaultReprobeAfter)
	c.FlushDelay = cmp.Or(c.FlushDelay, defaultFlushDelay)
	c.ParkLimit = cmp.Or(c.ParkLimit, defaultParkLimit)
	c.MaxProbes = cmp.Or(c.MaxProbes, defaultMaxProbes)
	if c.Policy == nil {
		c.Policy = routing.NewAffinity()
	}
	return c
}

// Grants is the system; see the package. It is not safe for concurrent use.
type Grants struct {
	cfg      Config
	members  roster
	services *entity.Table[entity.ServiceName, service]
	servers  *entity.Table[entity.BackendServerID, server]
	wants    *entity.Table[wantKey, want]
	leaving  *entity.Table[entity.BackendServerID, leavingState]
	reports  *entity.Table[entity.InstanceID, reportTimer] // by coordinator
	suspects *quarantine.Registry
	losses   *entity.Table[entity.DataCentreID, time.Time] // when last told
	out      outbox
	news     []repeatedNews
	schedule schedule
	ready    Ready
	sequence uint32
	pool     []routing.Candidate // scratch
}

// New returns a system that knows no members but itself and no services.
func New(cfg Config) *Grants {
	cfg = cfg.withDefaults()
	return &Grants{
		cfg:      cfg,
		members:  newRoster(Member{ID: cfg.Self, Place: cfg.Place}),
		services: entity.NewTable[entity.ServiceName, service](),
		servers:  entity.NewTable[entity.BackendServerID, server](),
		wants:    entity.NewTable[wantKey, want](),
		leaving:  entity.NewTable[entity.BackendServerID, leavingState](),
		reports:  entity.NewTable[entity.InstanceID, reportTimer](),
		suspects: quarantine.New(cfg.Quarantine),
		losses:   entity.NewTable[entity.DataCentreID, time.Time](),
		out:      newOutbox(),
	}
}

// Step takes a message of another daemon.
func (g *Grants) Step(now time.Time, from entity.InstanceID, m Message) {
	g.receive(now, from, &m)
	g.settle(now)
}

// Tick does what is due. It may be called at any time.
func (g *Grants) Tick(now time.Time) {
	for _, t := range g.schedule.due(now) {
		g.fire(now, t)
	}
	for _, c := range g.suspects.Tick(now) {
		g.convict(now, c)
	}
	g.repeatNews(now)
	g.settle(now)
}

// Deadline returns when Tick is due next; zero: not before the next input.
func (g *Grants) Deadline() time.Time {
	due := duetime.Earliest(g.schedule.first(), g.suspects.Deadline())
	due = duetime.Earliest(due, g.out.flushAt)
	for i := range g.news {
		due = duetime.Earliest(due, g.news[i].at)
	}
	return due
}

// Ready drains what the caller must perform.
func (g *Grants) Ready() Ready {
	r := g.ready
	g.ready = Ready{}
	return r
}

// receive handles the parts of a message. Releases come first, so that the
// slots they free serve the asks.
func (g *Grants) receive(now time.Time, from entity.InstanceID, m *Message) {
	for i := range m.Leaving {
		g.learnLeaving(now, &m.Leaving[i])
	}
	for i := range m.Suspicions {
		g.learnSuspicion(now, &m.Suspicions[i])
	}
	for i := range m.Releases {
		g.releaseAt(now, from, &m.Releases[i])
	}
	for i := range m.Withdrawn {
		g.withdrawAt(now, from, m.Withdrawn[i])
	}
	for i := range m.Queries {
		g.confirm(now, from, m.Queries[i])
	}
	for i := range m.Confirmed {
		g.confirmedAt(now, from, m.Confirmed[i])
	}
	if m.Report != nil {
		g.reconcile(now, from, m.Report)
	}
	for i := range m.Asks {
		g.askAt(now, from, &m.Asks[i])
	}
	for i := range m.Replies {
		g.reply(now, from, &m.Replies[i])
	}
}

// settle delivers what this daemon has to tell itself until nothing is left,
// then moves due messages to the result.
func (g *Grants) settle(now time.Time) {
	for {
		m := g.out.takeLocal()
		if m == nil {
			break
		}
		g.receive(now, g.cfg.Self, m)
	}
	g.ready.Send = g.out.flush(now, g.ready.Send)
}

// send returns the message that is being gathered for a daemon. An urgent one
// leaves with the next Ready; others wait a little for company.
func (g *Grants) send(now time.Time, to entity.InstanceID, urgent bool) *Message {
	if to == g.cfg.Self {
		return g.out.local()
	}
	return g.out.to(to, now, urgent, g.cfg.FlushDelay)
}

func (g *Grants) emit(e event.Event) { g.ready.Events = append(g.ready.Events, e) }
