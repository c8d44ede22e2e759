package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

const (
	// maxSends bounds the sends of one request, refused ones too.
	maxSends = 4
	// silentObjectives is how many latency objectives a repeatable request waits
	// for the first sign of an answer before another backend server is tried.
	silentObjectives = 2.0
	// silentFactor is how much longer than expected it waits at least.
	silentFactor = 2.5
	// leastLeft is the time that a request must have left to be worth a send.
	leastLeft = 5 * time.Millisecond
)

// Place chooses the backend server for the next send of a request.
func (c *Core) Place(now time.Time, t *Ticket) (Attempt, *Refusal) {
	if !c.fresh(now) {
		return Attempt{}, c.giveUp(t, "stale-configuration", staleRetry)
	}
	if !c.keyValid(t) {
		return Attempt{}, c.giveUp(t, "key-taken-away", staleRetry)
	}
	if c.late(now, t) {
		return Attempt{}, c.giveUp(t, "deadline", 0)
	}
	choice, ok := c.choose(now, t)
	c.note(now, t, choice, ok)
	if !ok {
		return Attempt{}, c.giveUp(t, "no-backend-server", emptyRetry)
	}
	if r := c.turnAway(now, t, choice); r != nil {
		return Attempt{}, r
	}
	if t.Sends == 0 {
		c.budget.First(now, t.Service)
	} else if !c.pay(now, t) {
		return Attempt{}, c.giveUp(t, "retry-budget", emptyRetry)
	}
	t.paid = false
	return c.send(now, t, choice), nil
}

// pay takes a repeated send from the retry budget, once.
func (c *Core) pay(now time.Time, t *Ticket) bool {
	if !t.paid {
		_, t.paid = c.budget.Allow(now, t.Service)
	}
	return t.paid
}

// note counts a request in the demand once, whether it is sent or not.
func (c *Core) note(now time.Time, t *Ticket, choice placement.Choice, chosen bool) {
	if t.noted {
		return
	}
	t.noted = true
	prompt := t.Request.Work.Prompt
	if chosen {
		prompt = choice.Uncached
	}
	c.demand.add(now, t, prompt)
}

func (c *Core) late(now time.Time, t *Ticket) bool {
	return !t.Deadline.IsZero() && t.Deadline.Sub(now) < leastLeft
}

func (c *Core) choose(now time.Time, t *Ticket) (placement.Choice, bool) {
	w := &t.Request.Work
	q := placement.Query{
		Service: t.Service, DataCentre: c.cfg.Self.DataCentre, Rank: t.priority,
		Prompt: w.Prompt, Output: w.expectedOutput(), Parts: w.Parts, Exclude: t.tried,
	}
	return c.placer.Choose(now, q, func(id entity.BackendServerID) bool { return c.usable(now, id) })
}

// send books a send and describes it.
func (c *Core) send(now time.Time, t *Ticket, choice placement.Choice) Attempt {
	row := c.servers.Get(choice.Server)
	t.load = c.placer.Take(now, choice, t.Request.Work.Parts)
	t.Sends++
	t.first = false
	t.tried = append(t.tried, choice.Server)
	c.notePlaced(choice.Server, t)
	a := Attempt{
		Server: choice.Server, Address: row.Address, Priority: t.priority,
		Left: t.patience(now), Model: t.Route.ModelWork, SilentBy: silentBy(now, t, choice.Cost),
	}
	if t.Org != nil {
		a.Org = t.Org.ID
	}
	return a
}

// patience returns the time that the request has left; 0 without a deadline.
func (t *Ticket) patience(now time.Time) time.Duration {
	if t.Deadline.IsZero() {
		return 0
	}
	return max(t.Deadline.Sub(now), time.Millisecond)
}

// silentBy returns when a repeatable request without a sign of an answer should
// be tried elsewhere.
func silentBy(now time.Time, t *Ticket, expected time.Duration) time.Time {
	if !t.Route.Repeatable() || t.Route.Objective == 0 || t.Ran+1 >= t.Route.MaxServers {
		return time.Time{}
	}
	wait := time.Duration(silentObjectives * float64(t.Route.Objective))
	return now.Add(max(wait, time.Duration(silentFactor*float64(expected))))
}

// Began notes the first event or the head of an answer.
func (c *Core) Began(now time.Time, t *Ticket) {
	if t.first || t.load == nil {
		return
	}
	t.first = true
	c.placer.Began(now, t.load)
	c.count(now, t)
}

// count counts the request once in its organisation's usage.
func (c *Core) count(now time.Time, t *Ticket) {
	if t.counted || t.Org == nil {
		return
	}
	t.counted = true
	if !c.timeKnown {
		c.uncounted = append(c.uncounted, began{t.Org.ID, now})
		return
	}
	c.usage.CountStarted(c.usage.Window(c.sinceEpoch(now)), t.Org.ID)
}

// began is a request that began to run before the true time was known.
type began struct {
	organisation entity.OrganisationID
	at           time.Time
}

func (c *Core) sinceEpoch(now time.Time) time.Duration {
	return c.trueTime + time.Duration(now.UnixNano())
}

// failureWeights say how much an outcome speaks against a backend server.
var failureWeights = map[Outcome]float64{
	NotSent: 1, Rejected: 0.3, Misdirected: 1, Failed: 0.4, Broken: 0.8, Silent: 0.8,
}

// Ended notes how the present attempt ended and decides what follows: another
// attempt (nil), or the final answer. After Answered, nothing follows.
func (c *Core) Ended(now time.Time, t *Ticket, o Outcome) *Refusal {
	c.release(now, t, o == Answered)
	if n := len(t.tried); n > 0 && failureWeights[o] > 0 {
		c.placer.Failed(now, t.tried[n-1], failureWeights[o])
	}
	c.noteCrash(now, t, o)
	switch o {
	case Answered, Abandoned:
		t.Ran++
		return nil
	case NotSent:
		t.Sends-- // never arrived
	case Failed, Broken, Silent:
		t.Ran++
	}
	if c.crash.refused(now, t.Request.Content) || !c.mayRepeat(now, t) {
		return c.giveUp(t, o.String(), emptyRetry)
	}
	return nil
}

// noteCrash passes on what an outcome says of crashes.
func (c *Core) noteCrash(now time.Time, t *Ticket, o Outcome) {
	if len(t.tried) == 0 {
		return
	}
	id := t.tried[len(t.tried)-1]
	switch {
	case o == Answered:
		c.crash.registry.Cleared(t.Request.Content)
	case o == Broken:
		c.crash.broke(now, id, t.Request.Content)
	case o == NotSent:
		c.serverDied(now, id)
	}
}

// serverDied notes that a backend server has died.
func (c *Core) serverDied(now time.Time, id entity.BackendServerID) {
	if row := c.servers.Get(id); row != nil && row.State == Ready {
		c.crash.died(now, id, row.DataCentre)
	}
}

// release frees what the present attempt holds. Whole says that its answer was
// complete.
func (c *Core) release(now time.Time, t *Ticket, whole bool) {
	if t.load != nil {
		c.placer.End(now, t.load, whole)
		t.load = nil
	}
}

func (c *Core) mayRepeat(now time.Time, t *Ticket) bool {
	if len(t.tried) >= maxSends || c.late(now, t) {
		return false
	}
	if t.Ran == 0 {
		return true
	}
	return t.Route.Repeatable() && t.Ran < t.Route.MaxServers
}

// MayReplace reports whether a failure that a backend server has answered may
// be replaced by the answer of another one.
func (c *Core) MayReplace(now time.Time, t *Ticket) bool {
	if !t.Route.Repeatable() || t.Ran+1 >= t.Route.MaxServers || c.late(now, t) {
		return false
	}
	return len(t.tried) < maxSends && c.pay(now, t)
}

// giveUp returns the final answer of a request that gets no further send.
func (c *Core) giveUp(t *Ticket, code string, back time.Duration) *Refusal {
	if t.Ran == 0 {
		return &Refusal{Status: Unavailable, Code: code, RetryAfter: back}
	}
	if code == "deadline" || code == Silent.String() {
		return Refuse(TimedOut, code)
	}
	return Refuse(BadReply, code)
}

// Finish frees what a request holds when its final answer is given.
func (c *Core) Finish(now time.Time, t *Ticket) {
	c.release(now, t, false)
	if t.Ran == 0 && t.Org != nil {
		c.quota.Release(t.Org.ID, t.cost)
		t.cost = 0
	}
}
