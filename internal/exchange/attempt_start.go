package exchange

import (
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

// startAttempt reserves the request's load on the chosen backend server and
// describes the send.
func (c *Core) startAttempt(now time.Time, t *Ticket, choice placement.Choice, forwarder *Member) Attempt {
	row := c.servers.Get(choice.Server)
	c.beginForwarding(t, forwarder)
	if forwarder == nil {
		c.pathSent(now, t.Service)
	}
	if limit := c.limitOf(choice.Server); limit != nil {
		limit.bucket.Take(now)
	}
	t.reservation = c.placer.Reserve(now, choice, t.Request.Work.Parts)
	c.countSent(now, t)
	t.Sends++
	t.answerStarted = false
	if t.firstSentAt.IsZero() {
		t.firstSentAt = now
	}
	t.tried = append(t.tried, choice.Server)
	t.process, t.serverVersion, t.sentAt, t.reachedSince = row.process(), row.Version, now, time.Time{}
	c.beginRun(now, t, choice.Cost)
	if t.continues() {
		c.logContinuation(event.StreamContinued, t, choice.Server)
		c.countResumption(t, true)
	}
	c.recordCachedPrompt(choice.Server, t)
	c.rolloutSent(t, choice)
	a := Attempt{
		Forwarder: forwarder,
		Server:    choice.Server, Address: row.Address, ServerVersion: row.Version, Priority: t.priority,
		TimeLeft: t.timeLeft(now), Model: t.Route.ModelWork, SilenceDeadline: silenceDeadline(now, t, choice.Cost),
	}
	if t.Org != nil {
		a.Org = t.Org.ID
	}
	if len(t.trials) > 0 {
		a.SilenceDeadline = time.Time{} // only a complete answer clears content
	}
	if source := c.servers.Get(choice.CopyFrom); source != nil {
		a.CopyFrom = source.Address
	}
	return a
}

// timeLeft returns the time until the request's deadline, at least 1 ms; 0 without
// a deadline.
func (t *Ticket) timeLeft(now time.Time) time.Duration {
	if t.Deadline.IsZero() {
		return 0
	}
	return max(t.Deadline.Sub(now), time.Millisecond)
}

// silenceDeadline returns when a repeatable request that has got no event of an
// answer should be tried at another backend server. Zero means never.
func silenceDeadline(now time.Time, t *Ticket, expected time.Duration) time.Time {
	if !t.Route.Repeatable() || t.Route.Objective == 0 || t.Ran+1 >= t.Route.MaxServers {
		return time.Time{}
	}
	wait := time.Duration(silenceObjectiveFactor * float64(t.Route.Objective))
	return now.Add(max(wait, time.Duration(silenceExpectedFactor*float64(expected))))
}

const (
	// maxSoundSilence is the longest silence of a sound server. It may stand still for a second or so while its
	// kernel takes connections; when it goes on, it runs what it has until it finds the connection closed, which
	// must not be beside the next run.
	maxSoundSilence = 1600 * time.Millisecond
	// answeringTime is how long after an answer of its to another request a server does not count as standing still.
	answeringTime = 250 * time.Millisecond
)

// GivesUpSilent reports whether an attempt that has got no event by its SilenceDeadline is given up:
// there must be another backend server for the request. While the one that has it may answer yet, the retry
// budget must also allow the next send, to which it is charged.
func (c *Core) GivesUpSilent(now time.Time, t *Ticket) bool {
	mayAnswer := c.mayAnswerYet(now, t)
	if mayAnswer && t.Route.Kind == Stream && now.Sub(t.sentAt) < maxSoundSilence && !c.answersNow(now, t.process) {
		return false
	}
	found := false
	filters := c.serverFilters(now, t)
	c.servers.All(func(id entity.BackendServerID, row *serverRow) bool {
		found = row.Service == t.Service && !slices.Contains(t.tried, id) && anyAllows(filters, row) && c.mayContinue(t, id) && c.mayReceive(now, id, 0)
		return !found
	})
	return found && !t.answerStarted && (!mayAnswer || c.chargeRetry(now, t))
}

// mayAnswerYet reports whether the server of the present attempt may answer after its silence: it is not
// known to have died, and the path to it is not lost.
func (c *Core) mayAnswerYet(now time.Time, t *Ticket) bool {
	pathLost := t.forwarder == "" && c.pathLost(t.Service)
	return !pathLost && !c.deaths.isDead(now, t.process)
}

// Started records that the head or the first event of an answer has arrived.
func (c *Core) Started(now time.Time, t *Ticket) {
	if t.answerStarted || t.reservation == nil {
		return
	}
	t.answerStarted, t.answerStartedAt = true, now
	if t.firstEventAt.IsZero() {
		t.firstEventAt = now
	}
	if t.forwarder == "" {
		c.pathProved(now, t.Service, t.sentAt)
	}
	c.recordAnswer(now, t.process, t.sentAt)
	c.placer.RecordFirstEvent(now, t.reservation)
	c.learnLate(now, t)
	c.countUsage(now, t)
	c.recordStream(now, t)
	if t.resumes() {
		c.streams.MarkBegun(t.Request.Resumes) // its caller may take it up once more
	}
	c.rolloutStarted(now, t)
}

// countUsage counts the request once in its organisation's usage.
func (c *Core) countUsage(now time.Time, t *Ticket) {
	if t.usageCounted || t.Org == nil {
		return
	}
	t.usageCounted = true
	if !c.trueTimeKnown {
		c.uncountedStarts = append(c.uncountedStarts, startedRequest{t.Org.ID, now})
		return
	}
	c.usage.CountStarted(c.usage.Window(c.sinceUnixEpoch(now)), t.Org.ID)
}

// startedRequest is a request that started before the true time was known.
type startedRequest struct {
	organisation entity.OrganisationID
	at           time.Time
}

// sinceUnixEpoch returns the true time since 1970.
func (c *Core) sinceUnixEpoch(now time.Time) time.Duration {
	return c.unixTimeAtZero + time.Duration(now.UnixNano())
}
