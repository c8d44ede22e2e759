package processtest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

// leavingLimit is the time after which a leaving backend server gets no work.
const leavingLimit = 3 * time.Second

// newWorkAfter lists the executions that began on a backend server after a
// moment.
func (c *cluster) newWorkAfter(b standin.BackendEndpoint, at time.Time) []standin.Run {
	var out []standin.Run
	for _, r := range c.runs(b) {
		if r.At.After(at) {
			out = append(out, r)
		}
	}
	return out
}

// firstLearned returns when the first daemon took a backend server for
// leaving; zero: none has.
func (c *cluster) firstLearned(b standin.BackendEndpoint) time.Time {
	var first time.Time
	for i := range c.daemons {
		for _, e := range c.events(i, timeline.Filter{}) {
			leaving := e.Event.Number == event.BackendLeaving && string(e.Event.Backend) == b.ID
			if leaving && (first.IsZero() || e.Event.At.Before(first)) {
				first = e.Event.At
			}
		}
	}
	return first
}

// checkLeaving lets the host of an engine be reclaimed under load and checks
// that the engine gets no work later than the limit after the first daemon has
// learned of it.
func (c *cluster) checkLeaving(l *runningLoad) {
	c.t.Helper()
	e := c.addresses.Engines[0]
	first := c.firstLearned(e)
	if first.IsZero() {
		c.t.Fatal("no daemon has learned that the engine leaves")
	}
	l.safe()
	if runs := c.newWorkAfter(e, first.Add(leavingLimit)); len(runs) > 0 {
		c.t.Errorf("%d runs began later than %s after the first daemon had learned, the last %s after it",
			len(runs), leavingLimit, runs[len(runs)-1].At.Sub(first).Round(time.Millisecond))
	}
	if len(c.newWorkAfter(c.addresses.Engines[1], first.Add(leavingLimit))) == 0 {
		c.t.Error("no work at all came later")
	}
}

func TestLeaving_NoNewWorkForALeavingEngine(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	host := c.hostOf(c.addresses.Engines[0])
	l := c.startLoad(c.loadConfig(40, 12*time.Second))
	time.Sleep(time.Second)
	c.reclaim(host, time.Minute)
	c.await(8*time.Second, "a daemon to learn of it", func() bool { return !c.firstLearned(c.addresses.Engines[0]).IsZero() })
	c.checkLeaving(l)
}

// TestLeaving_OneDaemonCutOffFromItsPeers: the daemon that gets no news keeps
// being asked by callers. It is cut off long before the notice, so that it
// takes itself for the only one.
func TestLeaving_OneDaemonCutOffFromItsPeers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	host := c.hostOf(c.addresses.Engines[0])
	c.network.isolate(0, len(c.daemons), true)
	time.Sleep(7 * time.Second)
	cutOff := c.startLoad(c.loadConfigAt(0, 20, 12*time.Second))
	cfg := c.loadConfig(30, 12*time.Second)
	cfg.Addresses, cfg.Seed = cfg.Addresses[1:], 2
	l := c.startLoad(cfg)
	time.Sleep(time.Second)
	c.reclaim(host, time.Minute)
	c.await(8*time.Second, "a daemon to learn of it", func() bool { return !c.firstLearned(c.addresses.Engines[0]).IsZero() })
	c.checkLeaving(l)
	cutOff.safe()
}

// TestLeaving_CutOffDaemonThatReadsTheListLate: the daemon that is cut off reads
// the platform's list at other moments than the others, so that they learn of
// the notice seconds before it.
func TestLeaving_CutOffDaemonThatReadsTheListLate(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	host := c.hostOf(c.addresses.Engines[0])
	const listInterval, phase = 5 * time.Second, 4300 * time.Millisecond
	c.daemons[0].kill()
	s, ok := c.status(1)
	if !ok {
		t.Fatal("no status")
	}
	started := s.Daemon.StartedAt
	next := started.Add((time.Since(started)/listInterval + 1) * listInterval)
	time.Sleep(time.Until(next.Add(phase)))
	c.restartDaemon(c.daemons[0])
	c.await(togetherLimit, "the daemons to know each other", c.together)
	c.network.isolate(0, len(c.daemons), true)
	l := c.startLoad(c.loadConfigAt(0, 40, 13*time.Second))
	next = started.Add((time.Since(started)/listInterval + 2) * listInterval)
	time.Sleep(time.Until(next.Add(-500 * time.Millisecond)))
	c.reclaim(host, time.Minute)
	c.await(8*time.Second, "a daemon to learn of it", func() bool { return !c.firstLearned(c.addresses.Engines[0]).IsZero() })
	first := c.firstLearned(c.addresses.Engines[0])
	l.safe()
	if runs := c.newWorkAfter(c.addresses.Engines[0], first.Add(leavingLimit)); len(runs) > 0 {
		t.Errorf("%d runs began later than %s after the first daemon had learned, the last %s after it",
			len(runs), leavingLimit, runs[len(runs)-1].At.Sub(first).Round(time.Millisecond))
	}
}

// TestLeaving_EngineTakenOutOfTheDocument: once the change is in force
// everywhere, the engine gets nothing more.
func TestLeaving_EngineTakenOutOfTheDocument(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	l := c.startLoad(c.loadConfig(40, 8*time.Second))
	time.Sleep(time.Second)
	revision := c.mustApply(1, modelService, c.modelDocument(c.addresses.Engines[1:], 1))
	c.await(14*time.Second, "the change to be in force", func() bool { return c.inForce(revision) })
	known := time.Now()
	l.safe()
	if runs := c.newWorkAfter(c.addresses.Engines[0], known.Add(leavingLimit)); len(runs) > 0 {
		t.Errorf("%d runs began later than %s after the change was in force", len(runs), leavingLimit)
	}
}

// TestPlannedStop_UnderStreamingLoad: each stream at the daemon that stops
// ends with its final event or is sent on; none is cut.
func TestPlannedStop_UnderStreamingLoad(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{betweenTokens: 20 * time.Millisecond})
	const streams = 16
	replies := make([]reply, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			a := ask{prompt: fmt.Sprint("stream ", i), maxTokens: 100 + 60*(i%8), stream: true, deadline: 35 * time.Second}
			if i%2 == 1 {
				a.key = fmt.Sprint("stream-", i)
			}
			replies[i] = c.submit(0, a)
		})
	}
	time.Sleep(time.Second)
	cfg := c.loadConfig(10, 6*time.Second)
	l := c.startLoad(cfg)
	c.daemons[0].terminate()
	wg.Wait()
	for i, r := range replies {
		if r.err != nil || r.code != "" || (r.last != "done" && r.last != "moved") {
			t.Errorf("stream %d: %s", i, r)
		}
	}
	l.uncut()
}

// TestPlannedStop_RollingRestart: all daemons are restarted one after another
// under load.
func TestPlannedStop_RollingRestart(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	cfg := c.loadConfig(20, 18*time.Second)
	cfg.MaxTokens = 100
	l := c.startLoad(cfg)
	time.Sleep(time.Second)
	for _, d := range c.daemons {
		d.terminate()
		c.restartDaemon(d)
		c.await(20*time.Second, "the restarted daemon to serve", func() bool {
			s, ok := c.status(d.index)
			return ok && s.Daemon.Current && s.Daemon.NotReady == ""
		})
		time.Sleep(time.Second)
	}
	l.uncut()
}

// TestPlannedStop_PlainCallsEnd: calls of a plain service that run when the
// daemon is asked to stop are answered by it.
func TestPlannedStop_PlainCallsEnd(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{plainDelay: 2 * time.Second})
	const calls = 8
	replies := make([]reply, calls)
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() { replies[i] = c.call(0, fmt.Sprint("write-down ", i), fmt.Sprint("key-", i)) })
	}
	time.Sleep(time.Second)
	c.daemons[0].terminate()
	wg.Wait()
	for i, r := range replies {
		sentOn := r.status == 303
		if !r.answered() && !sentOn {
			t.Errorf("write-down %d: %s", i, r)
		}
		if n := c.runsOf(fmt.Sprint("write-down ", i), c.addresses.Plains); n != 1 {
			t.Errorf("write-down %d ran %d times", i, n)
		}
	}
}

// TestPlannedStop_ComesBackOnOtherPorts: a daemon that starts again under its
// name with other addresses is known by the new ones.
func TestPlannedStop_ComesBackOnOtherPorts(t *testing.T) {
	t.Parallel()
	c := startCluster(t, options{})
	c.daemons[0].terminate()
	c.startDaemon(c.daemons[0])
	want := c.daemons[0].report.Callers
	c.await(20*time.Second, "the other daemons to name the new address", func() bool {
		for i := 1; i < len(c.daemons); i++ {
			if !strings.Contains(c.exchange(i, http.MethodGet, "/v1/addresses", nil, "").text, want) {
				return false
			}
		}
		return true
	})
}
