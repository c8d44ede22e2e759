package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// rolloutSend is what an attempt of a request counts for in a roll-out.
type rolloutSend struct {
	order       uint64 // see rollout.Order.Version; 0: nothing
	group       rollout.Group
	expected    time.Duration // from the sending to the first event
	events      int           // after the first one
	restCounted bool          // the time between events has been counted
	reached     bool          // the request counts as one that has reached the service, over all attempts
}

// rolloutSent records the send of a request.
func (c *Core) rolloutSent(t *Ticket, choice placement.Choice) {
	t.rollout = rolloutSend{expected: choice.Cost, reached: t.rollout.reached}
	row := c.rollouts.rows.Get(t.Service)
	switch {
	case row == nil:
	case t.serverVersion == row.state.To:
		t.rollout.order, t.rollout.group = row.state.Order, rollout.New
		row.split.CountSend()
	case c.isOld(row, t.serverVersion):
		t.rollout.order, t.rollout.group = row.state.Order, rollout.Old
	}
}

// rolloutOf returns the roll-out for which the present attempt counts, nil if there is none.
func (c *Core) rolloutOf(t *Ticket) *rolloutRow {
	if t.rollout.order == 0 {
		return nil
	}
	row := c.rollouts.rows.Get(t.Service)
	if row == nil || row.state.Order != t.rollout.order {
		return nil
	}
	return row
}

// countReached counts once a request that has certainly reached the service.
func (c *Core) countReached(row *rolloutRow, t *Ticket) {
	if !t.rollout.reached {
		t.rollout.reached = true
		row.split.CountReached(rollout.CanaryShare(c.cfg.Bounds.Rollout.Share))
	}
}

// rolloutStarted counts the time to the first event.
func (c *Core) rolloutStarted(now time.Time, t *Ticket) {
	row := c.rolloutOf(t)
	if row == nil {
		return
	}
	c.countReached(row, t)
	c.countSample(now, row, t, func(s *rollout.Samples) { s.First.Record(now.Sub(t.sentAt), t.rollout.expected) })
}

// countSample adds to the samples of the attempt's route and group.
func (c *Core) countSample(now time.Time, row *rolloutRow, t *Ticket, record func(*rollout.Samples)) {
	c.countSampleOf(now, row, t.Route.Name, t.rollout.group, record)
}

func (c *Core) countSampleOf(now time.Time, row *rolloutRow, route string, g rollout.Group, record func(*rollout.Samples)) {
	if row.state.Stage.Ended() {
		return
	}
	var sample rollout.Samples
	record(&sample)
	own := row.own.Get(route)
	if own == nil {
		own = &routeSamples{}
		row.own.Put(route, own)
	}
	own.of(g).Add(sample)
	row.judge.Add(now, route, g, sample)
}

// restEvents is the number of events after the first one over which the time between events
// (rollout.Samples.Rest) is measured, so that a long stream need not end before it counts.
const restEvents = 6

// RecordEvents records that further events of a stream have arrived after the first ones, and
// reports whether to record the next ones too.
func (c *Core) RecordEvents(now time.Time, t *Ticket, events int) (more bool) {
	row := c.rolloutOf(t)
	if row == nil || t.rollout.restCounted || !t.answerStarted {
		return false
	}
	t.rollout.events += events
	if t.rollout.events >= restEvents {
		c.countRest(now, row, t)
	}
	return !t.rollout.restCounted
}

// countRest counts the time between the events that have arrived.
func (c *Core) countRest(now time.Time, row *rolloutRow, t *Ticket) {
	t.rollout.restCounted = true
	expected := c.placer.OutputDuration(t.Service, t.Request.Work.expectedOutput())
	if t.rollout.events > 0 {
		expected = c.placer.OutputDuration(t.Service, entity.Tokens(t.rollout.events*c.tokensPerEvent(t.Service)))
	}
	took := now.Sub(t.answerStartedAt)
	c.countSample(now, row, t, func(s *rollout.Samples) { s.Rest.Record(took, expected) })
}

// tokensPerEvent returns the number of tokens in an event of a service's streams.
func (c *Core) tokensPerEvent(service entity.ServiceName) int {
	if c.index == nil {
		return 1
	}
	if s := c.index.byName[service]; s != nil && s.Engine != nil {
		return max(s.Engine.TokensPerEvent, 1)
	}
	return 1
}

// rolloutEnded counts the end of an attempt. Callers that leave, and rejections, are no failures.
func (c *Core) rolloutEnded(now time.Time, t *Ticket, o Outcome) {
	row := c.rolloutOf(t)
	if row == nil {
		return
	}
	switch o {
	case Answered:
		c.countAnswer(now, row, t)
	case Failed:
		c.countReached(row, t)
		c.countSample(now, row, t, func(s *rollout.Samples) { s.Answers, s.Failures = 1, 1 })
	case Broken, Silent:
		c.countOverdue(now, row, t)
		c.holdFailure(now, t)
	case Abandoned:
		c.countOverdue(now, row, t)
	case Rejected:
		c.countReached(row, t)
	}
}

// countAnswer counts a complete answer.
func (c *Core) countAnswer(now time.Time, row *rolloutRow, t *Ticket) {
	c.countReached(row, t)
	if t.rollout.group == rollout.Old {
		row.longestRun = max(row.longestRun, now.Sub(t.sentAt))
	}
	if t.failedAnswer {
		c.countSample(now, row, t, func(s *rollout.Samples) { s.Answers, s.Failures = 1, 1 })
		return
	}
	c.countSample(now, row, t, func(s *rollout.Samples) { s.Answers = 1 })
	switch {
	case t.Route.Kind != Stream:
		c.countSample(now, row, t, func(s *rollout.Samples) { s.Rest.Record(now.Sub(t.sentAt), t.rollout.expected) })
	case !t.rollout.restCounted && t.answerStarted:
		c.countRest(now, row, t)
	}
}

// overdueFactor is the time, in multiples of the expected one, after which a first event that
// has not come counts as late when the attempt ends.
const overdueFactor = 3

// countOverdue counts a first event that was not waited for any longer.
func (c *Core) countOverdue(now time.Time, row *rolloutRow, t *Ticket) {
	waited := now.Sub(t.sentAt)
	if !t.answerStarted && waited > overdueFactor*t.rollout.expected {
		c.countSample(now, row, t, func(s *rollout.Samples) { s.First.Record(waited, t.rollout.expected) })
	}
}

// heldFailure is a broken or missing answer that counts as a failure unless the server's process
// turns out to have died, or to leave.
type heldFailure struct {
	at      time.Time
	service entity.ServiceName
	order   uint64
	route   string
	group   rollout.Group
	process entity.ServerProcess
}

const (
	// crashHold is how long a broken answer is held until the death of a process is known.
	crashHold = 1200 * time.Millisecond
	// maxHeldFailures bounds the failures that are held. The oldest are decided first.
	maxHeldFailures = 512
)

// holdFailure holds a broken or missing answer.
func (c *Core) holdFailure(now time.Time, t *Ticket) {
	c.rollouts.held = append(c.rollouts.held, heldFailure{
		at: now, service: t.Service, order: t.rollout.order, route: t.Route.Name, group: t.rollout.group, process: t.process,
	})
	c.settleFailures(now)
}

// settleFailures decides the failures that have been held long enough.
func (c *Core) settleFailures(now time.Time) {
	held := c.rollouts.held
	n := 0
	for n < len(held) && (now.Sub(held[n].at) >= crashHold || len(held)-n > maxHeldFailures) {
		c.settleFailure(now, &held[n])
		n++
	}
	c.rollouts.held = append(held[:0], held[n:]...)
}

func (c *Core) settleFailure(now time.Time, h *heldFailure) {
	row := c.rollouts.rows.Get(h.service)
	if row == nil || row.state.Order != h.order {
		return
	}
	if c.hasLeft(now, h.process) {
		c.logEvent(event.Event{Number: event.RolloutFailureExcused, Service: h.service, Backend: h.process.Server, Attrs: []event.Attr{
			event.A("order", h.order), event.A("route", h.route), event.A("new", h.group == rollout.New),
		}})
		return
	}
	c.countSampleOf(now, row, h.route, h.group, func(s *rollout.Samples) { s.Answers, s.Failures = 1, 1 })
}

// hasLeft reports whether a process has died, or leaves or has left the service.
func (c *Core) hasLeft(now time.Time, p entity.ServerProcess) bool {
	row := c.servers.Get(p.Server)
	return row == nil || row.process() != p || !c.usable(now, p.Server) || c.deaths.isDead(now, p)
}
