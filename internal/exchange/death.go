package exchange

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// A daemon learns in several ways that the process of a backend server has died, and
// often not the daemon whose request the death broke off: that one avoids the server
// from then on. So a daemon whose request broke off or got no answer, or whose idle
// connection was closed, dials the server, and each daemon that finds a server dead tells
// all others. A server that is no longer
// listed may go on serving for a while, so that this alone proves nothing.

// deathProof is how a daemon has learned that a process has died.
type deathProof string

const (
	proofRefused     deathProof = "refused"     // nothing listens at its address
	proofUnreachable deathProof = "unreachable" // its address does not respond, while other servers do
	proofRestarted   deathProof = "restarted"   // its entry is of a new process
	proofReplaced    deathProof = "replaced"    // its address belongs to another server
	proofAnnounced   deathProof = "announced"   // another daemon has found out
)

// Probe asks whether a backend server's process still listens.
type Probe struct {
	Process entity.ServerProcess
	Address string
	// Path is the service to which the probe is to prove this daemon's path; "": the probe is
	// to tell whether the process has died.
	Path  entity.ServiceName
	begun time.Time // when a probe of a path was requested
}

// ProbeResult is the result of dialling a backend server's address.
type ProbeResult uint8

const (
	// Reachable: the connection was established.
	Reachable ProbeResult = iota + 1
	// Refused: nothing listens at the address.
	Refused
	// Unreachable: there was no response in time.
	Unreachable
)

// deathRetention is how long a daemon remembers that a process has died. Runs on it that
// end later are due to its death.
const deathRetention = time.Minute

// deathLog holds the processes of backend servers that have died, and the probes of those
// that may have.
type deathLog struct {
	dead           *entity.Table[entity.ServerProcess, time.Time] // when their deaths were recorded
	probing        *entity.Table[entity.ServerProcess, probeState]
	probes         []Probe              // to be made
	lastAnswerAt   time.Time            // when any backend server last began to answer
	lastAnswerFrom entity.ServerProcess // that server's process
}

// probeState is the state of the last probe of a process.
type probeState struct {
	startedAt time.Time
	underWay  bool
	again     bool // make another one after it, since a run has ended meanwhile
}

func newDeathLog() deathLog {
	return deathLog{dead: entity.NewTable[entity.ServerProcess, time.Time](), probing: entity.NewTable[entity.ServerProcess, probeState]()}
}

// anotherAnswered reports whether another process than the given one was the last to begin to
// answer this daemon, after the given time.
func (l *deathLog) anotherAnswered(p entity.ServerProcess, after time.Time) bool {
	return l.lastAnswerAt.After(after) && l.lastAnswerFrom != p
}

// probe requests a probe. While one of the same process is being made, another one
// follows it.
func (l *deathLog) probe(now time.Time, p Probe) {
	if state := l.probing.Get(p.Process); state != nil && state.underWay {
		state.again = true
		return
	}
	l.probing.Put(p.Process, &probeState{startedAt: now, underWay: true})
	l.probes = append(l.probes, p)
}

// recentlyProbed reports whether a probe of a process began within minSilenceProbeInterval.
func (l *deathLog) recentlyProbed(now time.Time, p entity.ServerProcess) bool {
	state := l.probing.Get(p)
	return state != nil && now.Sub(state.startedAt) < minSilenceProbeInterval
}

// minSilenceProbeInterval is the least time between a probe of a process and the next one
// because of a run that got no answer. Many do at a server that is merely busy.
const minSilenceProbeInterval = time.Second

// isDead reports whether a process is known to have died.
func (l *deathLog) isDead(now time.Time, p entity.ServerProcess) bool {
	at := l.dead.Get(p)
	return at != nil && now.Sub(*at) < deathRetention
}

// forget drops the deaths that were recorded long ago.
func (l *deathLog) forget(now time.Time) {
	for _, p := range l.dead.Keys() {
		if !l.isDead(now, p) {
			l.dead.Delete(p)
		}
	}
	for _, p := range l.probing.Keys() {
		if state := l.probing.Get(p); !state.underWay && now.Sub(state.startedAt) > minSilenceProbeInterval {
			l.probing.Delete(p)
		}
	}
}

// process returns the process of a backend server that this daemon knows.
func (r *serverRow) process() entity.ServerProcess {
	return entity.ServerProcess{Server: r.ID, Born: r.Born}
}

// ConnectionsLost records that backend servers have closed idle connections, as the end of
// their process does. Those that may have ended are probed: each daemon that had a connection
// learns of the end of a process, whether or not it ran a request there. The next process may
// have another version.
func (c *Core) ConnectionsLost(now time.Time, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.servers.All(func(_ entity.BackendServerID, row *serverRow) bool {
		p := row.process()
		if row.listed && c.inService(row) && slices.Contains(addresses, row.Address) && !c.deaths.isDead(now, p) && !c.deaths.recentlyProbed(now, p) {
			c.deaths.probe(now, Probe{Process: p, Address: row.Address})
		}
		return true
	})
}

// TakeProbes returns the probes that are to be made. ProbeEnded must be called with the
// result of each.
func (c *Core) TakeProbes() []Probe {
	out := c.deaths.probes
	c.deaths.probes = nil
	return out
}

// ProbeEnded records the result of a probe.
func (c *Core) ProbeEnded(now time.Time, p Probe, result ProbeResult) {
	if p.Path != "" {
		c.pathProbeEnded(now, p, result)
		return
	}
	state := c.deaths.probing.Get(p.Process)
	if state == nil {
		return
	}
	state.underWay = false
	switch {
	case result == Refused:
		c.recordRefusal(now, p.Process)
	case result == Unreachable && c.pathDoubtful(p.Process):
	case result == Unreachable && c.deaths.anotherAnswered(p.Process, state.startedAt):
		c.recordDeath(now, now, p.Process, proofUnreachable)
	case state.again:
		c.deaths.probe(now, p)
	}
}

// recordAnswer records that a process has begun to answer a request that was sent at the
// given time. It was alive then: its earlier failures have other reasons than its death.
func (c *Core) recordAnswer(now time.Time, p entity.ServerProcess, sentAt time.Time) {
	c.deaths.lastAnswerAt, c.deaths.lastAnswerFrom = now, p
	c.noteAnswering(now, p)
	c.crash.dropUnexplained(p, sentAt)
	if at := c.deaths.dead.Get(p); at != nil && sentAt.After(*at) {
		c.deaths.dead.Delete(p)
		c.crash.registry.RemoveDeaths(p.Server, p.Born)
		c.logEvent(event.Event{Number: event.ServerDeathDisproved, Backend: p.Server, Attrs: []event.Attr{event.A("born", p.Born)}})
	}
}

// noteAnswering records that a process has just begun or ended an answer.
func (c *Core) noteAnswering(now time.Time, p entity.ServerProcess) {
	if row := c.servers.Get(p.Server); row != nil && row.process() == p {
		row.answeredAt = now
	}
}

// answersNow reports whether a process has answered this daemon a moment ago, so that it does not stand still.
func (c *Core) answersNow(now time.Time, p entity.ServerProcess) bool {
	row := c.servers.Get(p.Server)
	return row != nil && row.process() == p && !row.answeredAt.IsZero() && now.Sub(row.answeredAt) < answeringTime
}

// minDeathInterval is the least time between the proofs of the deaths of two processes that
// started one after the other under one ID.
const minDeathInterval = 500 * time.Millisecond

// recordDeath records that the process of a backend server was found dead at the given time,
// unless it was draining. A later proof is of a process that has started after it under its
// ID, and whose entry this daemon has not read yet.
func (c *Core) recordDeath(now, at time.Time, p entity.ServerProcess, proof deathProof) {
	row := c.servers.Get(p.Server)
	if row != nil && row.Born == p.Born && !c.inService(row) {
		return
	}
	known := c.deaths.isDead(now, p)
	if known && at.Sub(*c.deaths.dead.Get(p)) < minDeathInterval {
		return
	}
	c.deaths.dead.Put(p, &at)
	c.countFall(p)
	if row != nil && (row.process() == p || c.diedAfterStart(row, at)) {
		row.diedAt = at
	}
	c.logEvent(event.Event{Number: event.ServerDeathProved, Backend: p.Server, Attrs: []event.Attr{
		event.A("proof", proof), event.A("born", p.Born), event.A("unexplained", len(c.crash.unexplainedRuns(p))),
		event.A("again", known), event.A("age_ms", now.Sub(at).Milliseconds()),
	}})
	if proof != proofAnnounced {
		c.crash.deadProcesses.add(datedProcessDeath{p, at})
	}
	c.blameUnexplained(now, p)
}

// bornMargin is how much later than a process's start by its own clock the proof of a death at
// its ID must be for the process to have died.
const bornMargin = 250 * time.Millisecond

// diedAfterStart reports whether a proof of a death at a server's ID at the given time is later
// than the start of the process that its entry names, so that this process has died too.
func (c *Core) diedAfterStart(r *serverRow, at time.Time) bool {
	if at.IsZero() || r.Born == 0 || !c.trueTimeKnown {
		return false
	}
	return c.sinceUnixEpoch(at) > time.Duration(r.Born)*time.Millisecond+bornMargin
}

// startedAt returns when a process started that states the given time in its entry, by this
// instance's clock; now if that cannot be told.
func (c *Core) startedAt(now time.Time, born int64) time.Time {
	if !c.trueTimeKnown {
		return now
	}
	ago := c.sinceUnixEpoch(now) - time.Duration(born)*time.Millisecond
	return now.Add(-max(ago, 0))
}
