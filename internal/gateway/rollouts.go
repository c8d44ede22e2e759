package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

const (
	// rolloutInterval is the time between two checks for stages to commit.
	rolloutInterval = 100 * time.Millisecond
	// rolloutCallTimeout bounds one call to the table service. A deadline that is near leaves
	// time for a second try.
	rolloutCallTimeout = 700 * time.Millisecond
)

// rolloutTasks commits the stages of roll-outs while this daemon holds the lease.
type rolloutTasks struct {
	g          *Gateway
	lease      *leaderTasks
	reconciled uint64                               // epoch of the lease in which the stored states were last compared
	failing    map[entity.ServiceName]rollout.Stage // whose last commit failed and was logged
}

// runRollouts reads the stored states of roll-outs, and commits their stages while this daemon
// holds the lease. It runs beside the other leader tasks, whose calls may take long.
func (g *Gateway) runRollouts(runCtx context.Context) {
	g.retryUntilDone(runCtx, g.readRolloutStates)
	t := &rolloutTasks{g: g, lease: &leaderTasks{g: g}, failing: make(map[entity.ServiceName]rollout.Stage)}
	for clock.Wait(runCtx, rolloutInterval) {
		fence, held := t.lease.fence()
		if held && !t.lease.settling() && t.reconcile(runCtx, fence.Epoch) {
			t.commitDue(runCtx)
		}
	}
}

// commitDue commits the states that are due.
func (t *rolloutTasks) commitDue(runCtx context.Context) {
	var due []rollout.State
	t.g.withCore(func(c *exchange.Core, now time.Time) { due = c.RolloutsToCommit(now) })
	for i := range due {
		outcome, err := t.commit(runCtx, &due[i])
		t.noteOutcome(&due[i], outcome, err)
	}
}

// errSuperseded: the stored state does not permit the one to be written.
var errSuperseded = errors.New("a later stage is stored")

// errNotLeader: this daemon may not write, as it does not hold the lease for certain.
var errNotLeader = errors.New("the lease is not held for certain")

// errNotDue: the state is not due any more.
var errNotDue = errors.New("the decision has changed since")

// commitOutcome says what a commit has found or done.
type commitOutcome uint8

const (
	nothingWritten commitOutcome = iota
	alreadyStored                // by an earlier try whose answer was lost, or by another daemon
	stageWritten
	stageRewritten // the table service had lost a stage that was known
)

// commit writes a state if it may follow the stored one, which is read first.
func (t *rolloutTasks) commit(runCtx context.Context, s *rollout.State) (commitOutcome, error) {
	row, err := t.read(runCtx, s.Service)
	if err != nil {
		return nothingWritten, err
	}
	outcome, permitted := stageWritten, mayCommit
	if t.knows(s) {
		outcome, permitted = stageRewritten, mayRewrite
	}
	if row.Version != 0 && row.Err == nil {
		t.g.withCore(func(c *exchange.Core, now time.Time) { c.RestoreRollout(now, row.State) })
		if row.State.Order == s.Order && row.State.Stage == s.Stage {
			return alreadyStored, nil
		}
		if !permitted(&row.State, s) {
			return nothingWritten, errSuperseded
		}
	}
	if _, ok := t.lease.fenceForCall(runCtx); !ok {
		return nothingWritten, errNotLeader
	}
	if !t.isDue(s) {
		return nothingWritten, errNotDue // the calls before have taken some time
	}
	ctx, cancel := context.WithTimeout(runCtx, rolloutCallTimeout)
	defer cancel()
	if err := t.g.Rollouts.Commit(ctx, *s, row.Version); err != nil {
		return nothingWritten, err
	}
	return outcome, nil
}

// knows reports whether this daemon knows that the roll-out has reached the stage of a state.
func (t *rolloutTasks) knows(s *rollout.State) bool {
	return slices.ContainsFunc(t.g.rolloutStatus(), func(r exchange.RolloutStatus) bool {
		return r.Service == s.Service && r.Order == s.Order && r.Stage == s.Stage
	})
}

// isDue reports whether a state should still be written.
func (t *rolloutTasks) isDue(s *rollout.State) bool {
	var due []rollout.State
	t.g.withCore(func(c *exchange.Core, now time.Time) { due = c.RolloutsToCommit(now) })
	return slices.ContainsFunc(due, func(d rollout.State) bool {
		return d.Service == s.Service && d.Order == s.Order && d.Stage == s.Stage
	})
}

// read returns the row of a service's state. A missing row has version 0.
func (t *rolloutTasks) read(runCtx context.Context, service entity.ServiceName) (provider.RolloutRow, error) {
	ctx, cancel := context.WithTimeout(runCtx, rolloutCallTimeout)
	defer cancel()
	row, err := t.g.Rollouts.Get(ctx, service)
	if errors.Is(err, provider.ErrNotFound) {
		return provider.RolloutRow{Service: service}, nil
	}
	if err == nil && row.Err != nil {
		t.g.event(event.RolloutStateIgnored, "", event.A("service", service), event.A("error", row.Err.Error()))
	}
	return row, err
}

// mayCommit reports whether a state may replace the stored one: that of an earlier order, or an
// earlier stage of the same one.
func mayCommit(stored, next *rollout.State) bool {
	if stored.Order != next.Order {
		return stored.Order < next.Order
	}
	return stored.Stage.MayFollow(next.Stage)
}

// mayRewrite reports whether a state that was committed before the table service was restored
// may replace the one that is stored now. Stages between the two may have been lost.
func mayRewrite(stored, next *rollout.State) bool {
	if stored.Order != next.Order {
		return stored.Order < next.Order
	}
	return !stored.Stage.Ended() && stored.Stage < next.Stage
}

// noteOutcome tells the core that a state has been written, and logs what came of the try. Of
// several failures in a row the first is logged.
func (t *rolloutTasks) noteOutcome(s *rollout.State, outcome commitOutcome, err error) {
	switch {
	case outcome == alreadyStored:
		delete(t.failing, s.Service)
		t.g.event(event.RolloutCommitted, "", append(t.attrs(s), event.A("stored_before", true))...)
	case err == nil:
		delete(t.failing, s.Service)
		t.g.withCore(func(c *exchange.Core, now time.Time) { c.RolloutCommitted(now, *s) })
		number := event.RolloutCommitted
		if outcome == stageRewritten {
			number = event.RolloutRewritten
		}
		t.g.event(number, "", t.attrs(s)...)
	case errors.Is(err, errSuperseded):
		delete(t.failing, s.Service)
		t.g.event(event.RolloutSuperseded, "", t.attrs(s)...)
	case t.failing[s.Service] != s.Stage:
		t.failing[s.Service] = s.Stage
		t.g.event(event.RolloutCommitFailed, "", append(t.attrs(s), event.A("error", err.Error()))...)
	}
}

// attrs returns a state with what it was decided on, for the log.
func (t *rolloutTasks) attrs(s *rollout.State) []event.Attr {
	out := []event.Attr{
		event.A("service", s.Service), event.A("to", s.To), event.A("order", s.Order), event.A("stage", s.Stage.String()), event.A("sequence", s.Sequence),
	}
	for _, r := range t.g.rolloutStatus() {
		if r.Service != s.Service {
			continue
		}
		out = append(out, event.A("left_ms", r.Left.Milliseconds()), event.A("share", r.Share), event.A("bad", r.Bad),
			event.A("old_ready", r.OldReady), event.A("new_ready", r.NewReady), event.A("old_running", r.OldRunning))
	}
	return out
}

// rolloutStatus returns what this daemon knows of all roll-outs.
func (g *Gateway) rolloutStatus() (out []exchange.RolloutStatus) {
	g.withCore(func(c *exchange.Core, now time.Time) { out = c.Rollouts(now) })
	return out
}

// reconcile passes the stored states to the core, once in each epoch of the lease: when the lease
// was acquired and when it was renewed after a restore of the table service, which may have lost
// states. The core then has them written again. It reports whether that is done.
func (t *rolloutTasks) reconcile(runCtx context.Context, epoch uint64) bool {
	if t.reconciled == epoch {
		return true
	}
	ctx, cancel := context.WithTimeout(runCtx, rolloutCallTimeout)
	defer cancel()
	if err := t.g.readRolloutStates(ctx); err != nil {
		return false // the watched feeds report the outage; the next interval tries again
	}
	t.reconciled = epoch
	return true
}
