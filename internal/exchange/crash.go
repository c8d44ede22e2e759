package exchange

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/quarantine"
)

// A request that crashes each backend server on which it runs may be sent again
// under new IDs and to any daemon, and so may a part of a prompt in requests that have
// nothing else in common. Therefore content is refused if it was running on three backend
// servers when they died and has not completed on any since, unless a content that the
// request does not have explains the same deaths.

const (
	// refusalDeathCount is the number of backend servers that must have died while
	// they ran some content for it to be refused.
	refusalDeathCount = 3
	// deathWindow is how soon after the end of a run there must be evidence of the
	// backend server's death for the run's content to be held responsible. A server that
	// has gone dark disappears from the list after some seconds.
	deathWindow = 8 * time.Second
	// maxUnexplainedRuns limits the unexplained runs that are recorded for one process
	// of a backend server.
	maxUnexplainedRuns = 64
	// quarantinedRetryDelay is the Retry-After time of quarantined content.
	quarantinedRetryDelay = 30 * time.Second
	// writingTimeToCrash is how long an answer may have been written when a part of the
	// prompt crashes the backend server, which it does when the answer begins.
	writingTimeToCrash = 500 * time.Millisecond
)

// unexplainedRun is a run of a request that ended without a complete answer: it broke off,
// got no answer in time, or its caller left. The server's process may have died by it.
type unexplainedRun struct {
	contents     []entity.Digest // that may have ended the process; the whole request is the first
	parts        []uint64        // of the prompt, which are among the contents
	organisation entity.OrganisationID
	startedAt    time.Time // when the request was sent
	endedAt      time.Time
	repeated     entity.ServerProcess // see quarantine.Death
}

// ContentDeath says that a process of a backend server died while it ran some contents: one
// with a digest, and parts of a prompt.
type ContentDeath struct {
	Digest       entity.Digest          `cbor:"1,keyasint"`
	Server       entity.BackendServerID `cbor:"2,keyasint"`
	Born         int64                  `cbor:"3,keyasint,omitempty"` // see entity.ServerProcess
	Ago          time.Duration          `cbor:"4,keyasint,omitempty"` // from the death to the sending of the message
	Ran          time.Duration          `cbor:"5,keyasint,omitempty"` // from the sending of the request to the death
	Parts        []uint64               `cbor:"6,keyasint,omitempty"` // IDs
	Organisation entity.OrganisationID  `cbor:"7,keyasint,omitempty"` // that sent the parts
	Repeated     entity.ServerProcess   `cbor:"8,keyasint,omitzero"`  // see quarantine.Death
}

// contents returns the digests of the contents that may have ended the process.
func (d *ContentDeath) contents() []entity.Digest {
	return append([]entity.Digest{d.Digest}, partContents(d.Parts, d.Organisation)...)
}

// process returns the process that died.
func (d *ContentDeath) process() entity.ServerProcess {
	return entity.ServerProcess{Server: d.Server, Born: d.Born}
}

// datedDeath is a ContentDeath with its time instead of the time since.
type datedDeath struct {
	ContentDeath
	at time.Time
}

// sameAs reports whether another message is about the same run's content and process.
func (d datedDeath) sameAs(other datedDeath) bool {
	return d.Digest == other.Digest && d.process() == other.process()
}

// undated returns deaths as a message that is sent now states them.
func undated(now time.Time, list []datedDeath) []ContentDeath {
	var out []ContentDeath
	for _, d := range list {
		d.Ago = now.Sub(d.at)
		out = append(out, d.ContentDeath)
	}
	return out
}

// crashGuard counts the deaths of backend servers per content, and quarantines
// content that seems to cause them.
type crashGuard struct {
	registry      *quarantine.Registry
	unexplained   *entity.Table[entity.ServerProcess, []unexplainedRun]
	contentDeaths announcements[datedDeath]
	deadProcesses announcements[datedProcessDeath]
	completions   announcements[entity.Digest] // of content that had been suspect
	trials        announcements[datedTrial]
	completed     completionLog
}

func newCrashGuard() crashGuard {
	return crashGuard{
		registry:    quarantine.New(quarantine.Config{}),
		unexplained: entity.NewTable[entity.ServerProcess, []unexplainedRun](),
		completed:   newCompletionLog(),
	}
}

// quarantined reports whether too many backend servers have died while they ran the
// content.
func (g *crashGuard) quarantined(now time.Time, d entity.Digest) bool {
	return g.registry.Deaths(now, d) >= refusalDeathCount
}

// anyNearlyQuarantined reports whether nearlyQuarantined holds for one of the contents.
func (g *crashGuard) anyNearlyQuarantined(now time.Time, contents []entity.Digest) bool {
	return slices.ContainsFunc(contents, func(d entity.Digest) bool { return g.nearlyQuarantined(now, d) })
}

// nearlyQuarantined reports whether the content would be quarantined if its unexplained
// runs were due to the deaths of their servers.
func (g *crashGuard) nearlyQuarantined(now time.Time, d entity.Digest) bool {
	deaths := g.registry.Deaths(now, d)
	if deaths == 0 {
		return false
	}
	g.unexplained.All(func(_ entity.ServerProcess, runs *[]unexplainedRun) bool {
		if slices.ContainsFunc(*runs, func(run unexplainedRun) bool { return slices.Contains(run.contents, d) }) {
			deaths++
		}
		return deaths < refusalDeathCount
	})
	return deaths >= refusalDeathCount
}

// unexplainedRuns returns the unexplained runs on a process.
func (g *crashGuard) unexplainedRuns(p entity.ServerProcess) []unexplainedRun {
	if list := g.unexplained.Get(p); list != nil {
		return *list
	}
	return nil
}

// addUnexplained records an unexplained run on a process.
func (g *crashGuard) addUnexplained(p entity.ServerProcess, run unexplainedRun) {
	list := g.unexplainedRuns(p)
	if len(list) < maxUnexplainedRuns {
		list = append(list, run)
	}
	g.unexplained.Put(p, &list)
}

// dropUnexplained drops the unexplained runs on a process that ended before the given time.
func (g *crashGuard) dropUnexplained(p entity.ServerProcess, before time.Time) {
	list := g.unexplainedRuns(p)
	if len(list) == 0 {
		return
	}
	kept := slices.DeleteFunc(list, func(run unexplainedRun) bool { return run.endedAt.Before(before) })
	g.unexplained.Put(p, &kept)
}

// forget drops runs and completions that ended too long ago.
func (g *crashGuard) forget(now time.Time) {
	g.completed.forget(now)
	for _, p := range g.unexplained.Keys() {
		if list := g.unexplainedRuns(p); len(list) == 0 || now.Sub(list[len(list)-1].endedAt) > deathWindow {
			g.unexplained.Delete(p)
		}
	}
}

// recordUnexplainedRun records that a request's run ended without a complete answer. If
// its process may have died by it, that is probed.
func (c *Core) recordUnexplainedRun(now time.Time, t *Ticket, o Outcome) {
	p, row := t.process, c.servers.Get(t.process.Server)
	run := newUnexplainedRun(now, t, o)
	t.brokeOffOn = p
	switch {
	case c.deaths.isDead(now, p):
		c.blame(now, p, run)
		return
	case row == nil || row.process() != p || !c.inService(row):
		return // it drains or has gone
	case o == Broken && !row.listed:
		return // it leaves without having announced that, and breaks off what still runs
	}
	c.crash.addUnexplained(p, run)
	if o == Broken || o == Silent && !c.deaths.recentlyProbed(now, p) || !row.listed {
		c.deaths.probe(now, Probe{Process: p, Address: row.Address})
	}
}

// newUnexplainedRun returns the run of a request that ends now. Parts of its prompt can't have
// ended the process if the answer had been written for long.
func newUnexplainedRun(now time.Time, t *Ticket, o Outcome) unexplainedRun {
	run := unexplainedRun{contents: t.contents, startedAt: t.sentAt, endedAt: now, repeated: t.brokeOffOn}
	wroteUntilNow := o == Broken || o == Abandoned
	if wroteUntilNow && t.answerStarted && now.Sub(t.answerStartedAt) > writingTimeToCrash {
		run.contents = t.contents[:1]
		return run
	}
	run.parts = contentParts(&t.Request)
	if t.Org != nil {
		run.organisation = t.Org.ID
	}
	return run
}

// blameUnexplained holds the content of the unexplained runs on a process that ended
// shortly before responsible for its death.
func (c *Core) blameUnexplained(now time.Time, p entity.ServerProcess) {
	runs := c.crash.unexplainedRuns(p)
	c.crash.unexplained.Delete(p)
	for _, run := range runs {
		if now.Sub(run.endedAt) <= deathWindow {
			c.blame(now, p, run)
		}
	}
}

// blame holds the contents of a run responsible for the death of its process, and announces
// that.
func (c *Core) blame(now time.Time, p entity.ServerProcess, run unexplainedRun) {
	death := datedDeath{ContentDeath{
		Digest: run.contents[0], Server: p.Server, Born: p.Born, Ran: run.endedAt.Sub(run.startedAt),
		Parts: run.parts, Organisation: run.organisation, Repeated: run.repeated,
	}, run.endedAt}
	c.crash.contentDeaths.addUnless(death, death.sameAs)
	c.recordContentDeath(now, &death, c.cfg.Self.Name)
}

// recordContentDeath records that a process died while it ran some contents, as the given
// daemon has found.
func (c *Core) recordContentDeath(now time.Time, d *datedDeath, by entity.InstanceID) {
	for _, content := range d.contents() {
		c.recordDeathUnder(now, content, d, by)
		if c.crash.completed.after(content, d.at) {
			c.recordCompletion(now, content)
		}
	}
}

// recordDeathUnder records that a process died while it ran one content.
func (c *Core) recordDeathUnder(now time.Time, content entity.Digest, d *datedDeath, by entity.InstanceID) {
	registry := c.crash.registry
	before := registry.Deaths(now, content)
	registry.RecordDeath(d.at, quarantine.Death{
		Digest: content, Backend: d.Server, Born: d.Born, StartedAt: d.at.Add(-d.Ran), Repeated: d.Repeated,
	})
	deaths := registry.Deaths(now, content)
	if deaths == before {
		return
	}
	attrs := []event.Attr{event.A("content", ShortDigest(content)), event.A("deaths", deaths)}
	c.logEvent(event.Event{Number: event.ContentDeathRecorded, Backend: d.Server, Peer: by, Attrs: attrs})
	if deaths == refusalDeathCount {
		c.logEvent(event.Event{Number: event.ContentRefused, Attrs: attrs})
	}
}

const (
	// minSharedDeaths is the number of deaths from which on a content's deaths are kept for
	// daemons that start later.
	minSharedDeaths = refusalDeathCount - 1
	// maxSharedContents limits the contents whose deaths are kept for them.
	maxSharedContents = 32
)

// suspectDeaths returns the deaths of the contents that are refused, or nearly are.
func (c *Core) suspectDeaths(now time.Time) []datedDeath {
	var out []datedDeath
	for _, d := range c.crash.registry.ListDeaths(now, minSharedDeaths, maxSharedContents) {
		out = append(out, datedDeath{ContentDeath{
			Digest: d.Digest, Server: d.Backend, Born: d.Born, Ran: d.At.Sub(d.StartedAt), Repeated: d.Repeated,
		}, d.At})
	}
	return out
}

// announceSuspects announces again the deaths and trials of suspect contents, and which
// contents have completed after deaths.
func (c *Core) announceSuspects(now time.Time) {
	deaths := c.suspectDeaths(now)
	for _, d := range deaths {
		c.crash.contentDeaths.addUnless(d, d.sameAs)
	}
	for _, t := range c.pastTrials(deaths) {
		c.crash.trials.addUnless(t, equalTo(t))
	}
	for _, d := range c.crash.registry.ListCleared(maxSharedContents) {
		c.crash.completions.addUnless(d, equalTo(d))
	}
}

// recordCompletion records that some content has completed, as this daemon has found, and
// announces that if it was suspect.
func (c *Core) recordCompletion(now time.Time, d entity.Digest) {
	if c.clearContent(now, d, c.cfg.Self.Name) {
		c.crash.completions.addUnless(d, equalTo(d))
	}
}

// clearContent discards the deaths under content that has completed, as the given daemon
// has found. It reports whether there were any.
func (c *Core) clearContent(now time.Time, d entity.Digest, by entity.InstanceID) bool {
	n := c.crash.registry.Deaths(now, d)
	if n == 0 {
		return false
	}
	c.crash.registry.Clear(d)
	c.crash.contentDeaths.drop(func(death datedDeath) bool { return death.Digest == d })
	c.logEvent(event.Event{Number: event.SuspectContentCompleted, Peer: by, Attrs: []event.Attr{event.A("content", ShortDigest(d)), event.A("deaths", n)}})
	return true
}
