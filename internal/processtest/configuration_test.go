package processtest

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
	"github.com/gooseberryslip/gooseberryslip/internal/system/configuration"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const (
	// inForceLimit is the time within which an accepted change must be in force on
	// all daemons.
	inForceLimit = 14 * time.Second
	// isolatedServingLimit is the longest time for which a daemon that reaches
	// neither the table service nor its peers accepts requests. It includes a
	// margin for a poll that had started before the daemon was cut off.
	isolatedServingLimit = configuration.DefaultStaleAfter + 4*time.Second
)

// revisionMonitor polls the revisions of the daemons until it is stopped.
type revisionMonitor struct {
	stop chan struct{}
	wg   sync.WaitGroup
}

// monitorRevisions starts a monitor that fails the test when the revision of a
// daemon decreases.
func (c *cluster) monitorRevisions() *revisionMonitor {
	w := &revisionMonitor{stop: make(chan struct{})}
	for i := range c.daemons {
		w.wg.Go(func() { c.monitorRevision(i, w.stop) })
	}
	return w
}

func (c *cluster) monitorRevision(i int, stop <-chan struct{}) {
	highest := uint64(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
		}
		s, ok := c.daemonStatus(i)
		if !ok {
			continue
		}
		if s.Daemon.Revision < highest {
			c.t.Errorf("the revision of daemon %d decreased from %d to %d", i, highest, s.Daemon.Revision)
		}
		highest = s.Daemon.Revision
	}
}

func (w *revisionMonitor) stopAndWait() {
	close(w.stop)
	w.wg.Wait()
}

// TestConfiguration_NeverRevertsWithStaleReads: revisions never decrease although
// the table service is slow and returns older versions of rows, and one datagram
// in twenty is lost.
func TestConfiguration_NeverRevertsWithStaleReads(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{daemons: 4})
	c.setTableFaults(standin.FaultSettings{StaleReads: true, DelayMS: 100, Seed: 1})
	c.network.setLossRatio(0.05)
	w := c.monitorRevisions()
	defer w.stopAndWait()
	for n := range 4 {
		revision := c.mustApplyDocument(n, modelService, c.modelDocument(c.addresses.Engines, n+2))
		c.await(inForceLimit, "the change to be in force on all daemons", func() bool { return c.revisionInForce(revision) })
	}
}

// TestConfiguration_DaemonStartsWhileTheTableIsDown: a daemon has no local copy
// of the configuration; if the table service is down when it starts, it gets the
// revision in force from its peers.
func TestConfiguration_DaemonStartsWhileTheTableIsDown(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	revision := c.mustApplyDocument(0, modelService, c.modelDocument(c.addresses.Engines, 7))
	c.await(inForceLimit, "the change to be in force on all daemons", func() bool { return c.revisionInForce(revision) })
	c.setTableFaults(standin.FaultSettings{Down: true})
	c.daemons[2].kill()
	c.restartDaemon(c.daemons[2])
	c.await(30*time.Second, "the restarted daemon to have the revision", func() bool {
		s, ok := c.daemonStatus(2)
		if ok && s.Daemon.ConfigurationCurrent && s.Daemon.Revision < revision {
			t.Fatalf("the restarted daemon reports revision %d as current, but revision %d was accepted before", s.Daemon.Revision, revision)
		}
		return ok && s.Daemon.ConfigurationCurrent && s.Daemon.Revision == revision
	})
	if r := c.submitRequest(2, callerRequest{prompt: "after the restart"}); !r.answered() {
		t.Errorf("request to the restarted daemon: %s", r)
	}
}

// TestConfiguration_TwoOperatorsAtOnce: two operators change the same document at
// two daemons at the same time. One change is accepted; the other operator gets
// a conflict with the current and the submitted document.
func TestConfiguration_TwoOperatorsAtOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	for round := range 5 {
		d, _, err := c.adminClient(0).Document(context.Background(), modelService)
		if err != nil {
			t.Fatal(err)
		}
		texts := [2]string{
			c.modelDocument(c.addresses.Engines, 10+round), c.modelDocument(c.addresses.Engines, 100+round),
		}
		var applied, conflicts int
		var winner string
		var mu sync.Mutex
		var wg sync.WaitGroup
		for n, text := range texts {
			wg.Go(func() {
				out, err := c.applyDocument(n, modelService, text, d.Revision)
				mu.Lock()
				defer mu.Unlock()
				var f *adminapi.Failure
				switch {
				case err == nil && out.Status == configuration.Applied:
					applied++
					winner = text
				case errors.As(err, &f) && f.Code == adminapi.CodeConflict:
					conflicts++
					if f.Yours != text || f.Theirs.Text == "" {
						t.Errorf("the conflict lacks the current or the submitted document: %+v", f)
					}
				default:
					t.Errorf("want an applied change or a conflict, got outcome %+v, error %v", out, err)
				}
			})
		}
		wg.Wait()
		if applied != 1 || conflicts != 1 {
			t.Fatalf("round %d: %d changes applied and %d conflicts, want one of each", round, applied, conflicts)
		}
		c.await(inForceLimit, "the accepted document to be in force on all daemons", func() bool { return c.documentInForce(winner) })
	}
}

// documentInForce reports whether all daemons have this text as the document of
// the model service.
func (c *cluster) documentInForce(text string) bool {
	for i := range c.daemons {
		d, found, err := c.adminClient(i).Document(context.Background(), modelService)
		if err != nil || !found || d.Text != text {
			return false
		}
	}
	return true
}

// TestConfiguration_LostReplyOfAnAcceptedWrite: the table service applies a write
// but its reply is lost. The operator still gets the outcome applied, and the
// history has the change once.
func TestConfiguration_LostReplyOfAnAcceptedWrite(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	d, _, err := c.adminClient(0).Document(context.Background(), modelService)
	if err != nil {
		t.Fatal(err)
	}
	text := c.modelDocument(c.addresses.Engines, 42)
	for _, lost := range []int{1, 2, 3} {
		c.setTableFaults(standin.FaultSettings{DropNextTransactionReplies: lost})
		text += "\n# changed\n"
		out, err := c.applyDocument(0, modelService, text, d.Revision)
		if err != nil || out.Status != configuration.Applied {
			t.Fatalf("apply with %d lost replies: outcome %+v, error %v", lost, out, err)
		}
		d.Revision = out.Revision
		c.await(inForceLimit, "the change to be in force on all daemons", func() bool { return c.documentInForce(text) })
	}
	history, err := c.adminClient(1).History(context.Background(), modelService)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, h := range history {
		if seen[h.Text] {
			t.Errorf("the history has the same change twice, the second time as revision %d", h.Revision)
		}
		seen[h.Text] = true
	}
}

// TestConfiguration_IsolatedDaemonTakesNoCallers: a daemon that reaches neither
// the table service nor its peers refuses requests with the verdict not-run
// after isolatedServingLimit, so that it does not serve by an outdated document
// when a change is accepted elsewhere. It serves again once it is reconnected.
func TestConfiguration_IsolatedDaemonTakesNoCallers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	w := c.monitorRevisions()
	defer w.stopAndWait()
	c.network.setIsolated(0, len(c.daemons), true)
	c.daemons[0].table.setDisconnected(true)
	cut := time.Now()
	revision := c.mustApplyDocument(1, modelService, c.modelDocument(c.addresses.Engines, 9))
	time.Sleep(time.Until(cut.Add(isolatedServingLimit)))
	for n := range 3 {
		r := c.submitRequest(0, callerRequest{prompt: "isolated", deadline: 3 * time.Second})
		if r.code != "isolated" || r.verdict != verdict.NotRun {
			t.Errorf("request %d to the isolated daemon: want code isolated and verdict not-run, got %s", n, r)
		}
	}
	if n := c.countRuns("isolated", c.addresses.Engines); n != 0 {
		t.Errorf("%d requests that the isolated daemon refused were executed", n)
	}
	if r := c.submitRequest(1, callerRequest{prompt: "not isolated"}); !r.answered() {
		t.Errorf("request to a daemon that is not isolated: %s", r)
	}
	c.network.setIsolated(0, len(c.daemons), false)
	c.daemons[0].table.setDisconnected(false)
	c.await(30*time.Second, "the reconnected daemon to have the accepted revision", func() bool { return c.revisionInForce(revision) })
	c.await(10*time.Second, "the reconnected daemon to answer requests", func() bool {
		return c.submitRequest(0, callerRequest{prompt: "back"}).answered()
	})
}
