package exchange

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
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
	if r := c.shed(now, t, choice); r != nil {
		return Attempt{}, r
	}
	forwarder, r := c.chooseForwarder(now, t)
	if r != nil {
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
	c.logTakenInStop(now, t, choice)
	return c.startAttempt(now, t, choice, forwarder), nil
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

// chooseOfVersions chooses among the usable backend servers that the request has not tried and
// that are allowed. A stream goes to a server whose version is known, if there is one, so that
// it can be continued.
func (c *Core) chooseOfVersions(now time.Time, t *Ticket, allowed func(*serverRow) bool) (placement.Choice, bool) {
	if t.Route.Kind == Stream && t.Route.Resumable {
		return c.chooseForStream(now, t, allowed)
	}
	return c.chooseAmong(now, t, func(id entity.BackendServerID) bool { return allowed(c.servers.Get(id)) })
}

// chooseAmong chooses among the usable backend servers that the request has not tried and
// that are eligible.
func (c *Core) chooseAmong(now time.Time, t *Ticket, eligible func(entity.BackendServerID) bool) (placement.Choice, bool) {
	w := &t.Request.Work
	q := placement.Query{
		Service: t.Service, DataCentre: c.cfg.Self.DataCentre, Rank: t.priority,
		Prompt: w.Prompt, Output: w.expectedOutput(), Parts: w.Parts, Exclude: t.tried,
		SampleLoad: c.sampleLoad(now, t.Service),
	}
	// A limit counts requests and not their sizes: large ones on servers with limits
	// relieve the others most. Small ones get there what large ones leave.
	choose := func(saved float64) (placement.Choice, bool) {
		return c.placer.Choose(now, q, func(id entity.BackendServerID) bool {
			return eligible(id) && c.mayContinue(t, id) && c.mayReceive(now, id, saved)
		})
	}
	if c.statements.rows.Len() > 0 && c.demand.small(t) {
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
	if r := c.rejectResting(now, t); r != nil {
		return r
	}
	if r := c.rejectBrittle(now, t); r != nil {
		return r
	}
	if r := c.rejectUnrecorded(now, t); r != nil {
		return r
	}
	return c.finalRefusal(t, "no-backend-server", noServerRetryDelay)
}
