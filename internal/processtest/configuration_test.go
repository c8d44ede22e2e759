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
	// inForceLimit is the time in which an accepted change is in force.
	inForceLimit = 14 * time.Second
	// isolationLimit is the longest time for which a daemon that hears neither
	// table nor peers takes callers, with a margin for the poll before.
	isolationLimit = configuration.DefaultStaleAfter + 4*time.Second
)

// revisionWatch looks at the daemons' revisions until it is stopped.
type revisionWatch struct {
	stop chan struct{}
	wg   sync.WaitGroup
}

// watchRevisions fails the test when a daemon's revision goes back.
func (c *cluster) watchRevisions() *revisionWatch {
	w := &revisionWatch{stop: make(chan struct{})}
	for i := range c.daemons {
		w.wg.Go(func() { c.watchRevision(i, w.stop) })
	}
	return w
}

func (c *cluster) watchRevision(i int, stop <-chan struct{}) {
	highest := uint64(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(poll):
		}
		s, ok := c.status(i)
		if !ok {
			continue
		}
		if s.Daemon.Revision < highest {
			c.t.Errorf("daemon %d went from revision %d back to %d", i, highest, s.Daemon.Revision)
		}
		highest = s.Daemon.Revision
	}
}

func (w *revisionWatch) end() {
	close(w.stop)
	w.wg.Wait()
}

// TestConfiguration_NeverRevertsWithStaleReads: the table answers reads with
// older rows and is slow, and one datagram in twenty is lost.
func TestConfiguration_NeverRevertsWithStaleReads(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{daemons: 4})
	c.tableFaults(standin.FaultSettings{StaleReads: true, DelayMS: 100, Seed: 1})
	c.network.setLoss(0.05)
	w := c.watchRevisions()
	defer w.end()
	for n := range 4 {
		revision := c.mustApply(n, modelService, c.modelDocument(c.addresses.Engines, n+2))
		c.await(inForceLimit, "the change to be in force", func() bool { return c.inForce(revision) })
	}
}

// TestConfiguration_DaemonStartsWhileTheTableIsDown: a daemon without a disk
// learns what is in force from its peers.
func TestConfiguration_DaemonStartsWhileTheTableIsDown(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	revision := c.mustApply(0, modelService, c.modelDocument(c.addresses.Engines, 7))
	c.await(inForceLimit, "the change to be in force", func() bool { return c.inForce(revision) })
	c.tableFaults(standin.FaultSettings{Down: true})
	c.daemons[2].kill()
	c.restartDaemon(c.daemons[2])
	c.await(30*time.Second, "the restarted daemon to have the revision", func() bool {
		s, ok := c.status(2)
		if ok && s.Daemon.Current && s.Daemon.Revision < revision {
			t.Fatalf("takes revision %d for current; %d was accepted", s.Daemon.Revision, revision)
		}
		return ok && s.Daemon.Current && s.Daemon.Revision == revision
	})
	if r := c.submit(2, ask{prompt: "after the restart"}); !r.answered() {
		t.Errorf("after the restart: %s", r)
	}
}

// TestConfiguration_TwoOperatorsAtOnce: of two changes of the same document at
// two daemons one is accepted; the other operator is shown both sides.
func TestConfiguration_TwoOperatorsAtOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	for round := range 5 {
		d, _, err := c.admin(0).Document(context.Background(), modelService)
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
				out, err := c.apply(n, modelService, text, d.Revision)
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
						t.Errorf("the conflict does not show both sides: %+v", f)
					}
				default:
					t.Errorf("%+v %v", out, err)
				}
			})
		}
		wg.Wait()
		if applied != 1 || conflicts != 1 {
			t.Fatalf("round %d: %d applied, %d conflicts", round, applied, conflicts)
		}
		c.await(inForceLimit, "the accepted document everywhere", func() bool { return c.allHold(winner) })
	}
}

// allHold reports whether a text is in force on all daemons.
func (c *cluster) allHold(text string) bool {
	for i := range c.daemons {
		d, found, err := c.admin(i).Document(context.Background(), modelService)
		if err != nil || !found || d.Text != text {
			return false
		}
	}
	return true
}

// TestConfiguration_LostReplyOfAnAcceptedWrite: the operator gets one clear
// outcome, and the change stands in the history once.
func TestConfiguration_LostReplyOfAnAcceptedWrite(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	d, _, err := c.admin(0).Document(context.Background(), modelService)
	if err != nil {
		t.Fatal(err)
	}
	text := c.modelDocument(c.addresses.Engines, 42)
	for _, lost := range []int{1, 2, 3} {
		c.tableFaults(standin.FaultSettings{LoseNextWrites: lost})
		text += "\n# changed\n"
		out, err := c.apply(0, modelService, text, d.Revision)
		if err != nil || out.Status != configuration.Applied {
			t.Fatalf("%d replies lost: %+v %v", lost, out, err)
		}
		d.Revision = out.Revision
		c.await(inForceLimit, "the change everywhere", func() bool { return c.allHold(text) })
	}
	history, err := c.admin(1).History(context.Background(), modelService)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, h := range history {
		if seen[h.Text] {
			t.Errorf("a change stands in the history twice: revision %d", h.Revision)
		}
		seen[h.Text] = true
	}
}

// TestConfiguration_IsolatedDaemonTakesNoCallers: a daemon that hears neither
// table nor peers refuses new callers as not run after the stated time, also
// if the change that it cannot know of is accepted elsewhere; and serves again
// afterwards.
func TestConfiguration_IsolatedDaemonTakesNoCallers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	w := c.watchRevisions()
	defer w.end()
	c.network.isolate(0, len(c.daemons), true)
	c.daemons[0].table.setCut(true)
	cut := time.Now()
	revision := c.mustApply(1, modelService, c.modelDocument(c.addresses.Engines, 9))
	time.Sleep(time.Until(cut.Add(isolationLimit)))
	for n := range 3 {
		r := c.submit(0, ask{prompt: "isolated", deadline: 3 * time.Second})
		if r.code != "isolated" || r.verdict != verdict.NotRun {
			t.Errorf("call %d: %s", n, r)
		}
	}
	if n := c.runsOf("isolated", c.addresses.Engines); n != 0 {
		t.Errorf("an isolated daemon ran %d requests", n)
	}
	if r := c.submit(1, ask{prompt: "not isolated"}); !r.answered() {
		t.Errorf("at another daemon: %s", r)
	}
	c.network.isolate(0, len(c.daemons), false)
	c.daemons[0].table.setCut(false)
	c.await(30*time.Second, "the daemon to be current again", func() bool { return c.inForce(revision) })
	c.await(10*time.Second, "callers to be served again", func() bool {
		return c.submit(0, ask{prompt: "back"}).answered()
	})
}
