package exchange

import (
	"cmp"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// rolloutTable holds the newest roll-out of each service, and which versions of the services may
// be used without one.
type rolloutTable struct {
	rows            *entity.Table[entity.ServiceName, rolloutRow]
	versions        *entity.Table[entity.ServiceName, serviceVersions]
	ordersConfirmed time.Time // start of the last read that showed all orders
	ordersPosition  uint64    // version of the table service up to which all orders are known
	found           announcements[BadRollout]
	held            []heldFailure // oldest first
}

func newRolloutTable() rolloutTable {
	return rolloutTable{
		rows:     entity.NewTable[entity.ServiceName, rolloutRow](),
		versions: entity.NewTable[entity.ServiceName, serviceVersions](),
	}
}

// rolloutRow is this daemon's view of the newest order of a service.
type rolloutRow struct {
	state       rollout.State // the furthest one known; its stage is Unknown until the leader's decision is known
	ordered     bool          // this daemon has read the order itself
	learnedAt   time.Time     // when this daemon learned of the order
	promotingAt time.Time     // when it learned of the promotion
	endedAt     time.Time     // when it learned of the last stage
	rowStage    rollout.Stage // that the state's row certainly has; Unknown: not known
	proposed    rollout.Stage // that the leader last decided on, for the log
	doubted     bool          // the leader has logged its doubt of the version

	// wholeAnswers is the number of the version's answers when all daemons were first seen to
	// send all new requests to it; negative: they have not been.
	wholeAnswers int

	epoch   uint64    // of the lease holder that last stated the stage
	heardAt time.Time // when it did, as far as this daemon knows; zero: never
	share   float64   // of new requests that the new version gets, by that statement
	unheard bool      // logged

	bad        string // why the new version gets nothing; "": it was not found bad
	split      rollout.Split
	judge      *rollout.Judge
	judgedAt   time.Time
	own        *entity.Table[string, routeSamples]             // by route
	received   *entity.Table[reportKey, routeSamples]          // the newest reports
	reports    *entity.Table[entity.InstanceID, rolloutReport] // by daemon
	longestRun time.Duration                                   // of an answer of an old server, over all daemons
	floor      *entity.Table[ServerCount, int]                 // the least target numbers of servers
}

// routeSamples are the samples of both groups on a route, as one process has counted them.
type routeSamples struct{ old, ordered rollout.Samples }

// of returns the samples of a group.
func (s *routeSamples) of(g rollout.Group) *rollout.Samples {
	if g == rollout.New {
		return &s.ordered
	}
	return &s.old
}

// reportKey identifies the samples of one process on one route.
type reportKey struct {
	process entity.InstanceID
	route   string
}

// SetRolloutOrder applies the newest order of a service.
func (c *Core) SetRolloutOrder(now time.Time, o rollout.Order) {
	if err := o.Check(); err != nil {
		c.logRolloutIgnored(&o, err.Error())
		return
	}
	if !c.cfg.Bounds.Rollout.Enabled() {
		c.logRolloutIgnored(&o, "the settings define no roll-outs")
		return
	}
	if c.index != nil && c.index.byName[o.Service] == nil {
		c.logRolloutIgnored(&o, "no such service")
		return
	}
	v := c.rolloutVersions(o.Service)
	delete(v.void, o.Version)
	if row := c.rollouts.rows.Get(o.Service); row != nil && o.Version < row.state.Order {
		if !c.tableRestoredAt.After(row.learnedAt) {
			c.logRolloutIgnored(&o, "a newer order is known")
			return
		}
		c.voidRollout(row)
	}
	row := c.mergeRollout(now, rollout.State{Service: o.Service, Order: o.Version, To: o.To, Duration: o.Duration, OrderedAt: c.orderedAt(now, &o)}, "order")
	if row != nil && !row.ordered {
		row.ordered = true
		c.logRollout(now, event.RolloutOrdered, row, event.A("duration_ms", o.Duration.Milliseconds()), event.A("from", row.state.From))
	}
}

// maxUnseenRatio limits how much earlier than it is seen an order counts as given, as a ratio of
// its duration.
const maxUnseenRatio = 0.33

// orderedAt returns the true time when an order that is seen now was given; 0 if the true time is
// not known. If the table service has just answered again, the order may be as old as the last
// read without it: the deadline must not be taken for later than it is.
func (c *Core) orderedAt(now time.Time, o *rollout.Order) time.Duration {
	if c.recentlyRecovered(now) && !c.rollouts.ordersConfirmed.IsZero() {
		earliest := now.Add(-time.Duration(maxUnseenRatio * float64(o.Duration)))
		if c.rollouts.ordersConfirmed.After(earliest) {
			earliest = c.rollouts.ordersConfirmed
		}
		return c.rolloutTime(earliest)
	}
	return c.rolloutTime(now)
}

// rolloutTime returns the true time; 0 if it is not known.
func (c *Core) rolloutTime(now time.Time) time.Duration {
	at, known := c.TrueTime(now)
	if !known {
		return 0
	}
	return at
}

// WithdrawRollout records that the row of a service's order was removed.
func (c *Core) WithdrawRollout(now time.Time, s entity.ServiceName) {
	row := c.rollouts.rows.Get(s)
	if row == nil {
		return
	}
	c.logRollout(now, event.RolloutWithdrawn, row)
	c.voidRollout(row)
}

// voidRollout drops a roll-out whose order does not stand any more.
func (c *Core) voidRollout(row *rolloutRow) {
	v := c.rolloutVersions(row.state.Service)
	v.void[row.state.Order] = true
	c.leaveVersions(row, row.bad == "" && row.state.Stage != rollout.RolledBack)
	c.rollouts.rows.Delete(row.state.Service)
}

// RolloutOrdersConfirmed records that a read of the operator's entries that began at the given
// time, and whose orders have been applied, showed all of them. A version of a service that
// appears counts as ordered by nobody only after such a read.
func (c *Core) RolloutOrdersConfirmed(at time.Time) {
	if !at.After(c.rollouts.ordersConfirmed) {
		return
	}
	c.rollouts.ordersConfirmed = at
	for _, s := range c.rollouts.rows.Keys() {
		if row := c.rollouts.rows.Get(s); !row.ordered && at.After(row.learnedAt) {
			c.WithdrawRollout(at, s)
		}
	}
	c.settleVersions(at)
}

// RestoreRollout applies a state that was read from its row.
func (c *Core) RestoreRollout(now time.Time, s rollout.State) {
	if !c.cfg.Bounds.Rollout.Enabled() {
		return
	}
	if known := c.rollouts.rows.Get(s.Service); known != nil && known.state.Order > s.Order {
		known.rowStage = rollout.Unknown
		if s.Stage == rollout.Completed && known.state.Stage == rollout.Unknown && s.To != known.state.To {
			c.rolloutVersions(s.Service).serve([]string{s.To})
			known.state.From = []string{s.To}
		}
		return
	}
	if row := c.mergeRollout(now, s, "row"); row != nil {
		row.rowStage = s.Stage
		row.state.Sequence = max(row.state.Sequence, s.Sequence)
	}
}

// mergeRollout applies what a message, a row or an order says of a roll-out. The newest order
// counts, and the furthest stage of it. It returns nil if the order does not stand.
func (c *Core) mergeRollout(now time.Time, s rollout.State, source string) *rolloutRow {
	v := c.rolloutVersions(s.Service)
	row := c.rollouts.rows.Get(s.Service)
	if v.void[s.Order] || row != nil && s.Order < row.state.Order {
		return nil
	}
	if row == nil || s.Order > row.state.Order {
		row = c.openRollout(now, row, &s)
	}
	if s.OrderedAt > 0 && (row.state.OrderedAt == 0 || s.OrderedAt < row.state.OrderedAt) {
		row.state.OrderedAt = s.OrderedAt
	}
	if s.Stage > row.state.Stage {
		c.enterStage(now, row, &s, source)
	}
	return row
}

// openRollout begins the view of an order that is new here, which replaces another one.
func (c *Core) openRollout(now time.Time, replaced *rolloutRow, s *rollout.State) *rolloutRow {
	if replaced != nil {
		c.leaveVersions(replaced, replaced.mayHaveCompleted())
	}
	v := c.rolloutVersions(s.Service)
	delete(v.abandoned, s.To)
	row := &rolloutRow{
		state: *s, learnedAt: now, judge: rollout.NewJudge(), wholeAnswers: -1,
		own:      entity.NewTable[string, routeSamples](),
		received: entity.NewTable[reportKey, routeSamples](),
		reports:  entity.NewTable[entity.InstanceID, rolloutReport](),
		floor:    entity.NewTable[ServerCount, int](),
	}
	row.state.Stage = rollout.Unknown
	if len(row.state.From) == 0 {
		row.state.From = c.presentVersions(s.Service, s.To)
	}
	if replaced != nil {
		row.state.Sequence = max(row.state.Sequence, replaced.state.Sequence)
	}
	c.rollouts.rows.Put(s.Service, row)
	return row
}

// mayHaveCompleted reports whether a roll-out may have come to its completion although this daemon
// does not know: a table service that comes back from a copy shows an earlier stage to those that
// have just started.
func (r *rolloutRow) mayHaveCompleted() bool {
	return r.bad == "" && (r.state.Stage == rollout.Canary || r.state.Stage == rollout.Promoting)
}

// enterStage records that a roll-out has come further.
func (c *Core) enterStage(now time.Time, row *rolloutRow, s *rollout.State, source string) {
	row.state.Stage, row.state.Sequence = s.Stage, max(s.Sequence, row.state.Sequence)
	if len(s.From) > 0 {
		row.state.From = s.From
	}
	switch s.Stage {
	case rollout.Promoting:
		row.promotingAt = now
	case rollout.Completed:
		row.endedAt = now
		c.rolloutVersions(s.Service).serve([]string{row.state.To})
	case rollout.RolledBack:
		row.endedAt, row.bad = now, cmp.Or(row.bad, "rolled back")
	}
	c.logRollout(now, event.RolloutStageChanged, row, event.A("source", source), event.A("sequence", row.state.Sequence))
}

// logRollout logs an event of a roll-out with its present state.
func (c *Core) logRollout(now time.Time, number event.Number, row *rolloutRow, attrs ...event.Attr) {
	s := &row.state
	c.logEvent(event.Event{Number: number, Service: s.Service, Attrs: append([]event.Attr{
		event.A("order", s.Order), event.A("to", s.To), event.A("stage", s.Stage),
		event.A("left_ms", (s.Deadline() - c.rolloutTime(now)).Milliseconds()),
	}, attrs...)})
}

func (c *Core) logRolloutIgnored(o *rollout.Order, reason string) {
	c.logEvent(event.Event{Number: event.RolloutOrderIgnored, Service: o.Service, Attrs: []event.Attr{
		event.A("order", o.Version), event.A("to", o.To), event.A("duration_ms", o.Duration.Milliseconds()), event.A("reason", reason),
	}})
}
