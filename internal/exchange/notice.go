package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
	"github.com/gooseberryslip/gooseberryslip/internal/system/quarantine"
	"github.com/gooseberryslip/gooseberryslip/internal/system/streamversion"
)

// Notice tells the other daemons what one has learned of backend servers and of content.
// It is part of each state update. In a large fleet, where the next update may be seconds
// away, it is also sent ahead of it.
type Notice struct {
	ContentDeaths []ContentDeath `cbor:"1,keyasint,omitempty"`
	DeadProcesses []ProcessDeath `cbor:"2,keyasint,omitempty"` // found dead by the sender
	// Completions are contents that have completed at the sender although servers had died
	// while they ran them.
	Completions []entity.Digest  `cbor:"3,keyasint,omitempty"`
	Limits      []LimitStatement `cbor:"4,keyasint,omitempty"`
	Trials      []ContentTrial   `cbor:"5,keyasint,omitempty"` // at the sender
	// Versions are those that the sender has recorded, see RecordVersions.
	Versions    []streamversion.KnownVersion `cbor:"6,keyasint,omitempty"`
	BadRollouts []BadRollout                 `cbor:"7,keyasint,omitempty"` // found by the sender
	Leaving     []LeavingStatement           `cbor:"8,keyasint,omitempty"` // heard by the sender
	Brittle     []BrittleStatement           `cbor:"9,keyasint,omitempty"`
	// Paces are changes of the limits of servers that start or recover.
	Paces []placement.PaceChange `cbor:"30,keyasint,omitempty"`
}

// ProcessDeath says that a process of a backend server has died, or one that has started
// after it under its ID and is not known yet.
type ProcessDeath struct {
	Server entity.BackendServerID `cbor:"1,keyasint"`
	Born   int64                  `cbor:"2,keyasint,omitempty"` // see entity.ServerProcess
	Ago    time.Duration          `cbor:"3,keyasint,omitempty"` // from the proof to the sending of the message
}

// datedProcessDeath is the death of a process with the time of its proof.
type datedProcessDeath struct {
	process entity.ServerProcess
	at      time.Time
}

// undatedProcessDeaths returns deaths as a message that is sent now states them.
func undatedProcessDeaths(now time.Time, list []datedProcessDeath) []ProcessDeath {
	var out []ProcessDeath
	for _, d := range list {
		out = append(out, ProcessDeath{Server: d.process.Server, Born: d.process.Born, Ago: now.Sub(d.at)})
	}
	return out
}

// Empty reports whether the notice says nothing.
func (n *Notice) Empty() bool {
	return len(n.ContentDeaths)+len(n.DeadProcesses)+len(n.Completions)+len(n.Limits)+len(n.Trials)+len(n.Versions)+len(n.BadRollouts)+len(n.Leaving)+len(n.Brittle)+len(n.Paces) == 0
}

// noticeDue returns what the update with the given sequence number must include. All other
// daemons have received the updates up to acked.
func (c *Core) noticeDue(now time.Time, sequence, acked uint32) Notice {
	return Notice{
		ContentDeaths: undated(now, c.crash.contentDeaths.due(sequence, acked)), DeadProcesses: undatedProcessDeaths(now, c.crash.deadProcesses.due(sequence, acked)),
		Completions: c.crash.completions.due(sequence, acked), Limits: c.statements.statements(now, c.statements.changes.due(sequence, acked)),
		Trials: undatedTrials(now, c.crash.trials.due(sequence, acked)), Versions: undatedVersions(now, c.recordedNews.due(sequence, acked)),
		BadRollouts: c.rollouts.found.due(sequence, acked), Leaving: c.statements.leavingStatements(now, c.statements.leaving.due(sequence, acked)),
		Brittle: c.statements.brittleStatements(now, c.statements.brittleNews.due(sequence, acked)),
		Paces:   c.paceChanges(now),
	}
}

// NoticePending reports whether there is anything for a notice.
func (c *Core) NoticePending() bool {
	return c.crash.contentDeaths.hasUnnoticed() || c.crash.deadProcesses.hasUnnoticed() ||
		c.crash.completions.hasUnnoticed() || c.crash.trials.hasUnnoticed() || c.statements.changes.hasUnnoticed() || c.statements.leaving.hasUnnoticed() ||
		c.recordedNews.hasUnnoticed() || c.statements.brittleNews.hasUnnoticed() || c.rollouts.found.hasUnnoticed() || c.paceChangesPending()
}

// NextNotice returns what no update or notice has told yet.
func (c *Core) NextNotice(now time.Time) Notice {
	return Notice{
		ContentDeaths: undated(now, c.crash.contentDeaths.unnoticed()), DeadProcesses: undatedProcessDeaths(now, c.crash.deadProcesses.unnoticed()),
		Completions: c.crash.completions.unnoticed(), Limits: c.statements.statements(now, c.statements.changes.unnoticed()),
		Trials: undatedTrials(now, c.crash.trials.unnoticed()), Versions: undatedVersions(now, c.recordedNews.unnoticed()),
		BadRollouts: c.rollouts.found.unnoticed(), Leaving: c.statements.leavingStatements(now, c.statements.leaving.unnoticed()),
		Brittle: c.statements.brittleStatements(now, c.statements.brittleNews.unnoticed()),
		Paces:   c.paceChanges(now),
	}
}

// ReceiveNotice applies what another daemon has learned.
func (c *Core) ReceiveNotice(now time.Time, from entity.InstanceID, notice *Notice) {
	for _, d := range notice.ContentDeaths {
		c.recordDeath(now, now.Add(-d.Ago), d.process(), proofAnnounced)
		c.recordContentDeath(now, &datedDeath{d, now.Add(-d.Ago)}, from)
	}
	for _, d := range notice.DeadProcesses {
		c.recordDeath(now, now.Add(-d.Ago), entity.ServerProcess{Server: d.Server, Born: d.Born}, proofAnnounced)
	}
	for _, d := range notice.Completions {
		c.clearContent(now, d, from)
		c.crash.completions.dropUntold(equalTo(d)) // the sender tells it until all have heard it
	}
	for _, t := range notice.Trials {
		c.crash.registry.RecordTrial(t.Digest, quarantine.Trial{At: now.Add(-t.Ago), Explained: t.Explained})
	}
	for i := range notice.BadRollouts {
		c.receiveBadRollout(now, from, &notice.BadRollouts[i])
	}
	c.placer.ReceivePaceChanges(now, notice.Paces)
	for i := range notice.Limits {
		c.receiveLimit(now, &notice.Limits[i], from)
	}
	for i := range notice.Leaving {
		c.receiveLeaving(now, &notice.Leaving[i], from)
	}
	for i := range notice.Brittle {
		c.receiveBrittle(now, &notice.Brittle[i], from)
	}
	c.receiveRecorded(now, notice.Versions)
}

// announceToNewcomer announces again what a process of another daemon that has been heard
// for the first time must know. Two daemons do so.
func (c *Core) announceToNewcomer(now time.Time) {
	if c.rankOfSelf(now) >= confirmerCount {
		return
	}
	c.announceSuspects(now)
	c.statements.announceAll()
	c.statements.announceLeaving()
	c.statements.announceBrittle()
	c.announceRecorded(now, c.recorded.Recent(now))
}

// RestoreNotice applies what a checkpoint says of suspect content and of limits.
func (c *Core) RestoreNotice(now time.Time, p *Checkpoint) { c.ReceiveNotice(now, "", &p.Notice) }

// logEvent adds an event for the log.
func (c *Core) logEvent(e event.Event) { c.events = append(c.events, e) }

// TakeEvents returns the events since the last call, for the log.
func (c *Core) TakeEvents() []event.Event {
	out := c.events
	c.events = nil
	return out
}
