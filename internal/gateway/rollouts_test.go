package gateway

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/logging"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/rollout"
)

// fakeRollouts holds the row of one service's state.
type fakeRollouts struct {
	row        provider.RolloutRow // Version 0: there is none
	writes     int
	loseAnswer bool // of the next write, which takes effect
}

func (f *fakeRollouts) List(context.Context) ([]provider.RolloutRow, error) {
	if f.row.Version == 0 {
		return nil, nil
	}
	return []provider.RolloutRow{f.row}, nil
}

func (f *fakeRollouts) Get(context.Context, entity.ServiceName) (provider.RolloutRow, error) {
	if f.row.Version == 0 {
		return provider.RolloutRow{}, provider.ErrNotFound
	}
	return f.row, nil
}

func (f *fakeRollouts) Commit(_ context.Context, s rollout.State, ifVersion uint64) error {
	if ifVersion != f.row.Version {
		return provider.ErrConditionFailed
	}
	f.writes++
	f.row = provider.RolloutRow{Service: s.Service, Version: f.row.Version + 1, State: s}
	if f.loseAnswer {
		f.loseAnswer = false
		return provider.ErrUnknownOutcome
	}
	return nil
}

// leaseTable is a table whose lease row names the daemon under epoch 7.
type leaseTable struct{ provider.Table }

func (leaseTable) Get(context.Context, string, string, bool) (provider.Row, error) {
	return provider.Row{Version: 7, Value: []byte(`{}`)}, nil
}

// newRolloutTasks returns the tasks of a daemon that holds the lease.
func newRolloutTasks(t *testing.T, stored *fakeRollouts) *rolloutTasks {
	t.Helper()
	log, err := logging.New(io.Discard, logging.Options{Level: "info", Format: "json"})
	if err != nil {
		t.Fatal(err)
	}
	g := New(Config{Rollouts: stored, Table: leaseTable{}, Log: log, Settings: Settings{
		Name: "n0", UsageWindow: time.Second, Rollout: exchange.RolloutBounds{Share: 0.1, Slack: 50, RollbackAfter: 5 * time.Second},
	}})
	g.withCore(func(c *exchange.Core, now time.Time) { c.LeaseAcquired(now.Add(-time.Hour), clock.Now(), 7) })
	return &rolloutTasks{g: g, lease: &leaderTasks{g: g}, failing: make(map[entity.ServiceName]rollout.Stage)}
}

// TestRolloutTasks_LostAnswer: a commit whose answer was lost may have taken effect, and must then
// not be made again.
func TestRolloutTasks_LostAnswer(t *testing.T) {
	stored := &fakeRollouts{loseAnswer: true}
	tasks := newRolloutTasks(t, stored)
	tasks.order(5)
	due := tasks.mustBeDue(t, rollout.Canary)
	if _, err := tasks.commit(t.Context(), &due); !errors.Is(err, provider.ErrUnknownOutcome) {
		t.Fatalf("commit whose answer is lost: %v, want ErrUnknownOutcome", err)
	}
	if outcome, err := tasks.commit(t.Context(), &due); err != nil || outcome != alreadyStored || stored.writes != 1 {
		t.Errorf("second try: %v %v after %d writes, want the first one to be found", outcome, err, stored.writes)
	}
	tasks.commitDue(t.Context())
	if stored.writes != 1 || len(tasks.due()) != 0 {
		t.Errorf("%d writes, due %v; want one write and nothing due", stored.writes, tasks.due())
	}
}

// TestRolloutTasks_LateLeader: a leader that was suspended must not write over what another one
// has decided, nor without the lease.
func TestRolloutTasks_LateLeader(t *testing.T) {
	stored := &fakeRollouts{}
	tasks := newRolloutTasks(t, stored)
	tasks.order(5)
	due := tasks.mustBeDue(t, rollout.Canary)
	other := due
	other.Stage, other.Sequence = rollout.RolledBack, 3
	stored.row = provider.RolloutRow{Service: "app", Version: 9, State: other}
	if _, err := tasks.commit(t.Context(), &due); !errors.Is(err, errSuperseded) || stored.writes != 0 {
		t.Errorf("commit after another leader's: %v, %d writes", err, stored.writes)
	}
	if len(tasks.due()) != 0 || tasks.g.rolloutStatus()[0].Stage != rollout.RolledBack {
		t.Errorf("due %v, status %+v; want the other leader's stage to be adopted", tasks.due(), tasks.g.rolloutStatus())
	}
	tasks.order(6)
	due = tasks.mustBeDue(t, rollout.Canary)
	tasks.lease.stepDown("test")
	if _, err := tasks.commit(t.Context(), &due); !errors.Is(err, errNotLeader) || stored.writes != 0 {
		t.Errorf("commit without the lease: %v, %d writes", err, stored.writes)
	}
}

// TestRolloutTasks_RestoreLosesTheStage: the platform must read the stage again that it has acted
// on, whatever an older copy of the table service says.
func TestRolloutTasks_RestoreLosesTheStage(t *testing.T) {
	for _, copyHasIt := range []bool{false, true} {
		stored := &fakeRollouts{}
		tasks := newRolloutTasks(t, stored)
		tasks.order(5)
		tasks.commitDue(t.Context())
		older := stored.row
		tasks.g.withCore(func(c *exchange.Core, now time.Time) {
			s := older.State
			s.Stage, s.Sequence = rollout.Completed, s.Sequence+2 // the copy lacks Promoting too
			c.RestoreRollout(now, s)
		})
		stored.row = provider.RolloutRow{}
		if copyHasIt {
			stored.row = older
		}
		tasks.g.withCore(func(c *exchange.Core, now time.Time) { c.TableRestored(now) })
		if !tasks.reconcile(t.Context(), 8) {
			t.Fatal("the stored states were not read")
		}
		tasks.commitDue(t.Context())
		if got := stored.row.State.Stage; got != rollout.Completed {
			t.Errorf("canary in the copy %v: stage %s is stored after the restore, want completed", copyHasIt, got)
		}
	}
}

// order applies an order with an identity.
func (t *rolloutTasks) order(version uint64) {
	t.g.withCore(func(c *exchange.Core, now time.Time) {
		c.SetTrueTime(time.Hour)
		c.SetRolloutOrder(now, rollout.Order{Service: "app", To: "v2", Duration: time.Minute, Version: version})
	})
}

func (t *rolloutTasks) due() (due []rollout.State) {
	t.g.withCore(func(c *exchange.Core, now time.Time) { due = c.RolloutsToCommit(now) })
	return due
}

// mustBeDue returns the only state that is due.
func (t *rolloutTasks) mustBeDue(tt *testing.T, stage rollout.Stage) rollout.State {
	tt.Helper()
	due := t.due()
	if len(due) != 1 || due[0].Stage != stage {
		tt.Fatalf("due: %+v, want stage %s", due, stage)
	}
	return due[0]
}
