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
	return &rolloutTasks{g: g, lease: &leaderTasks{g: g}, failing: make(map[entity.ServiceName]rollout.State)}
}

func appState(stage rollout.Stage, sequence uint64) *rollout.State {
	return &rollout.State{Service: "app", Order: 5, To: "v2", Stage: stage, Duration: time.Minute, OrderedAt: time.Hour, Sequence: sequence}
}

// TestRolloutTasks_LostAnswer: a commit whose answer was lost may have taken effect, and must then
// not be made again.
func TestRolloutTasks_LostAnswer(t *testing.T) {
	stored := &fakeRollouts{loseAnswer: true}
	tasks := newRolloutTasks(t, stored)
	if err := tasks.commit(t.Context(), appState(rollout.Canary, 1), mayCommit); !errors.Is(err, provider.ErrUnknownOutcome) {
		t.Fatalf("commit whose answer is lost: %v, want ErrUnknownOutcome", err)
	}
	if err := tasks.commit(t.Context(), appState(rollout.Canary, 1), mayCommit); err != nil || stored.writes != 1 {
		t.Errorf("second try: %v after %d writes, want the first one to be found", err, stored.writes)
	}
	if err := tasks.commit(t.Context(), appState(rollout.Promoting, 2), mayCommit); err != nil || stored.row.State.Stage != rollout.Promoting {
		t.Errorf("next stage: %v, stored %+v", err, stored.row.State)
	}
}

// TestRolloutTasks_LateLeader: a leader that was suspended must not write over what another one
// has decided, nor without the lease.
func TestRolloutTasks_LateLeader(t *testing.T) {
	stored := &fakeRollouts{row: provider.RolloutRow{Service: "app", Version: 9, State: *appState(rollout.RolledBack, 3)}}
	tasks := newRolloutTasks(t, stored)
	for _, stage := range []rollout.Stage{rollout.Promoting, rollout.Completed} {
		if err := tasks.commit(t.Context(), appState(stage, 4), mayCommit); !errors.Is(err, errSuperseded) || stored.writes != 0 {
			t.Errorf("%s after rolled-back: %v, %d writes", stage, err, stored.writes)
		}
	}
	tasks.lease.stepDown("test")
	next := *appState(rollout.Canary, 1)
	next.Order++
	if err := tasks.commit(t.Context(), &next, mayCommit); !errors.Is(err, errNotLeader) || stored.writes != 0 {
		t.Errorf("commit without the lease: %v, %d writes", err, stored.writes)
	}
}
