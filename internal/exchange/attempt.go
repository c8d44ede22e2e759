package exchange

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
	"github.com/gooseberryslip/gooseberryslip/internal/system/ratelimit"
)

const (
	// maxAttempts limits the attempts of one request, including those that a backend
	// server rejected and those that reached none.
	maxAttempts = 4
	// silenceObjectiveFactor is the time, in multiples of the route's latency
	// objective, that a repeatable request waits for the first event of an answer
	// before another backend server is tried.
	silenceObjectiveFactor = 2.0
	// silenceExpectedFactor is the minimum of that time, in multiples of the
	// expected time to the first event.
	silenceExpectedFactor = 2.5
	// minTimeLeft is the time that must remain until a request's deadline for a
	// send to be worthwhile.
	minTimeLeft = 5 * time.Millisecond
)

// Place chooses the backend server for the next send of a request.
func (c *Core) Place(now time.Time, t *Ticket) (Attempt, *Refusal) {
	if !c.configurationFresh(now) {
		return Attempt{}, c.finalRefusal(t, "stale-configuration", staleRetryDelay)
	}
	if !c.keyValid(t) {
		return Attempt{}, c.finalRefusal(t, "key-taken-away", staleRetryDelay)
	}
	if c.tooLate(now, t) {
		return Attempt{}, c.finalRefusal(t, "deadline", 0)
	}
	var trials []datedTrial
	if t.Ran == 0 {
		var r *Refusal
		if trials, r = c.checkContents(now, t); r != nil {
			return Attempt{}, r
		}
	}
	if r := c.requireVersion(now, t); r != nil {
		return Attempt{}, r
	}
	choice, ok := c.chooseServer(now, t)
	c.recordDemand(now, t, choice, ok)
	if !ok {
		return Attempt{}, c.rejectUnplaced(now, t)
	}
	if r := c.rejectEarly(now, t, choice); r != nil {
		return Attempt{}, r
	}
	if !t.earnedRetry {
		c.budget.RecordFirstAttempt(now, t.Service)
		t.earnedRetry = true
	}
	if t.Sends > 0 && !c.chargeRetry(now, t) {
		return Attempt{}, c.refuseRetry(now, t)
	}
	t.retryCharged = false
	c.startTrials(now, t, choice.Server, trials)
	return c.startAttempt(now, t, choice), nil
}

// chargeRetry charges a repeated send to the retry budget, at most once per send,
// and reports whether the budget allows it.
func (c *Core) chargeRetry(now time.Time, t *Ticket) bool {
	if !t.retryCharged {
		_, t.retryCharged = c.budget.Allow(now, t.Service)
	}
	return t.retryCharged
}

// refuseRetry returns the final answer of a request that the retry budget allows no
// further send.
func (c *Core) refuseRetry(now time.Time, t *Ticket) *Refusal {
	r := c.finalRefusal(t, "retry-budget", noServerRetryDelay)
	r.Inputs = fmt.Sprintf("%s, daemons %d", c.budget.StatusOf(now, t.Service), c.sharingRetries)
	return r
}

// recordDemand counts a request in the demand once, whether or not it is sent.
func (c *Core) recordDemand(now time.Time, t *Ticket, choice placement.Choice, chosen bool) {
	if t.demandRecorded {
		return
	}
	t.demandRecorded = true
	prompt := t.Request.Work.Prompt
	if chosen {
		prompt = choice.Uncached
	}
	c.demand.add(now, t, prompt)
}

// tooLate reports whether too little time remains until the deadline for another
// send.
func (c *Core) tooLate(now time.Time, t *Ticket) bool {
	return !t.Deadline.IsZero() && t.Deadline.Sub(now) < minTimeLeft
}

// chooseServer chooses among the usable backend servers that the request has not
// tried. A stream goes to a server whose version is known, if there is one, so that it can be
// continued.
func (c *Core) chooseServer(now time.Time, t *Ticket) (placement.Choice, bool) {
	if t.Route.Kind == Stream && t.Route.Resumable {
		choice, ok := c.chooseAmong(now, t, func(id entity.BackendServerID) bool { return c.servers.Get(id).versionKnown(now) })
		if ok || t.continues() {
			return choice, ok
		}
	}
	return c.chooseAmong(now, t, func(entity.BackendServerID) bool { return true })
}

// chooseAmong chooses among the usable backend servers that the request has not tried and
// that are eligible.
func (c *Core) chooseAmong(now time.Time, t *Ticket, eligible func(entity.BackendServerID) bool) (placement.Choice, bool) {
	w := &t.Request.Work
	q := placement.Query{
		Service: t.Service, DataCentre: c.cfg.Self.DataCentre, Rank: t.priority,
		Prompt: w.Prompt, Output: w.expectedOutput(), Parts: w.Parts, Exclude: t.tried,
	}
	// A limit counts requests and not their sizes: large ones on servers with limits
	// relieve the others most. Small ones get there what large ones leave.
	choose := func(saved float64) (placement.Choice, bool) {
		return c.placer.Choose(now, q, func(id entity.BackendServerID) bool {
			return c.usable(now, id) && eligible(id) && c.mayContinue(t, id) && c.withinLimit(now, id, saved)
		})
	}
	if c.limits.rows.Len() > 0 && c.demand.small(t) {
		if choice, ok := choose(ratelimit.FullBucket - 1); ok {
			return choice, true
		}
	}
	return choose(0)
}

// rejectUnplaced rejects a request for which there is no backend server.
func (c *Core) rejectUnplaced(now time.Time, t *Ticket) *Refusal {
	if t.continues() {
		return c.rejectWithoutVersion(now, t)
	}
	if s := c.limitedServers(now, t.Service); s.count > 0 {
		return c.rejectLimited(now, t, s)
	}
	return c.finalRefusal(t, "no-backend-server", noServerRetryDelay)
}

// startAttempt reserves the request's load on the chosen backend server and
// describes the send.
func (c *Core) startAttempt(now time.Time, t *Ticket, choice placement.Choice) Attempt {
	row := c.servers.Get(choice.Server)
	if limit := c.limitOf(choice.Server); limit != nil {
		limit.bucket.Take(now)
	}
	t.reservation = c.placer.Reserve(now, choice, t.Request.Work.Parts)
	t.Sends++
	t.answerStarted = false
	if t.firstSentAt.IsZero() {
		t.firstSentAt = now
	}
	t.tried = append(t.tried, choice.Server)
	t.process, t.serverVersion, t.sentAt = row.process(), row.Version, now
	if t.continues() {
		c.logContinuation(event.StreamContinued, t, choice.Server)
	}
	c.recordCachedPrompt(choice.Server, t)
	a := Attempt{
		Server: choice.Server, Address: row.Address, ServerVersion: row.Version, Priority: t.priority,
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

// Started records that the head or the first event of an answer has arrived.
func (c *Core) Started(now time.Time, t *Ticket) {
	if t.answerStarted || t.reservation == nil {
		return
	}
	t.answerStarted, t.answerStartedAt = true, now
	if t.firstEventAt.IsZero() {
		t.firstEventAt = now
	}
	c.recordAnswer(now, t.process, t.sentAt)
	c.placer.RecordFirstEvent(now, t.reservation)
	c.countUsage(now, t)
	c.recordStream(now, t)
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

// failureWeights says how strongly an outcome counts as a failure of the backend
// server, from 0 to 1.
var failureWeights = map[Outcome]float64{
	NotSent: 1, NotListening: 1, Rejected: 0.3, Misdirected: 1, Failed: 0.4, Broken: 0.8, Silent: 0.8,
}

// Ended records how the present attempt ended. It returns nil if another attempt
// follows, else the final answer. After Answered and Abandoned it returns nil and
// nothing follows.
func (c *Core) Ended(now time.Time, t *Ticket, o Outcome) *Refusal {
	c.releaseLoad(now, t, o == Answered)
	if n := len(t.tried); n > 0 && failureWeights[o] > 0 {
		c.placer.RecordFailure(now, t.tried[n-1], failureWeights[o])
	}
	c.recordEvidence(now, t, o)
	switch o {
	case Answered, Abandoned:
		t.Ran++
		return nil
	case NotSent, NotListening:
		t.Sends-- // never arrived
	case Failed, Broken, Silent:
		t.Ran++
	}
	if t.Ran == 0 {
		c.cancelTrials(t)
	}
	if t.Ran > 0 && c.crash.anyNearlyQuarantined(now, t.contents) || !c.mayRepeat(now, t) {
		return c.finalRefusal(t, o.String(), noServerRetryDelay)
	}
	return nil
}

// recordEvidence records what an outcome says of the death of the backend server and of
// the request's content.
func (c *Core) recordEvidence(now time.Time, t *Ticket, o Outcome) {
	switch o {
	case Answered:
		c.recordCompletions(now, t)
	case Broken, Silent, Abandoned:
		c.recordUnexplainedRun(now, t, o)
	case NotListening:
		c.recordDeath(now, now, t.process, proofRefused)
	case Misdirected:
		c.recordDeath(now, now, t.process, proofReplaced)
	}
}

// recordCompletions records that the contents of an answered request have completed, unless
// the answer was a failure.
func (c *Core) recordCompletions(now time.Time, t *Ticket) {
	if t.failedAnswer {
		return
	}
	for _, content := range t.contents {
		c.crash.completed.record(now, content)
		c.recordCompletion(now, content)
	}
}

// RecordFailedAnswer records that the answer which the caller gets is a failure of the backend
// server. It does not prove that the request can be completed.
func (c *Core) RecordFailedAnswer(t *Ticket) { t.failedAnswer = true }

// releaseLoad releases the load that the present attempt has reserved. Complete
// says that its answer was complete.
func (c *Core) releaseLoad(now time.Time, t *Ticket, complete bool) {
	if t.reservation != nil {
		c.placer.Release(now, t.reservation, complete)
		t.reservation = nil
	}
}

// mayRepeat reports whether another send of the request is allowed. A request that
// has not run may be sent again on any route.
func (c *Core) mayRepeat(now time.Time, t *Ticket) bool {
	if len(t.tried) >= maxAttempts || c.tooLate(now, t) {
		return false
	}
	if t.Ran == 0 {
		return true
	}
	return t.Route.Repeatable() && t.Ran < t.Route.MaxServers
}

// MayReplace reports whether a backend server's failure answer may be discarded and
// the request sent to another one, and charges that send to the retry budget.
func (c *Core) MayReplace(now time.Time, t *Ticket) bool {
	if !t.Route.Repeatable() || t.Ran+1 >= t.Route.MaxServers || c.tooLate(now, t) {
		return false
	}
	return len(t.tried) < maxAttempts && c.chargeRetry(now, t)
}

// finalRefusal returns the final answer of a request that gets no further send. A
// retry delay is given only if the request has certainly not run.
func (c *Core) finalRefusal(t *Ticket, code string, retryAfter time.Duration) *Refusal {
	if t.Ran == 0 {
		return &Refusal{Status: Unavailable, Code: code, RetryAfter: retryAfter}
	}
	if code == "deadline" || code == Silent.String() {
		return Refuse(TimedOut, code)
	}
	return Refuse(BadReply, code)
}

// Finish releases what a request holds when its final answer is given. The quota of
// a request that has not run is refunded.
func (c *Core) Finish(now time.Time, t *Ticket) {
	c.releaseLoad(now, t, false)
	if t.Ran == 0 && t.Org != nil {
		c.quota.Release(t.Org.ID, t.quotaCost)
		t.quotaCost = 0
	}
}
